package dandelionpoint.load

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.arbitrary
import io.kotest.property.arbitrary.enum
import io.kotest.property.checkAll
import kotlin.random.nextInt

private const val TOLERANCE = 1e-6

private val workers = arbitrary { source ->
    List(source.random.nextInt(1..4)) { IdealWorker(source.random.nextInt(1..3), 0.5 + source.random.nextDouble() * 1.5) }
}

private val submissions = arbitrary { source ->
    List(source.random.nextInt(1..12)) { source.random.nextDouble() * 500 }.sorted().mapIndexed { index, atMs ->
        submission(List(source.random.nextInt(1..15)) { 1 + source.random.nextDouble() * 300 }, atMs, number = index)
    }
}

/**
 * Guards against a wrong baseline for response times. If the ideal schedule used more capacity than the workers have, or started a task
 * before it arrives, all measured ratios would be too high; if it wasted capacity, they would be too low.
 */
class IdealScheduleTest :
    DescribeSpec({
        describe("the ideal schedule of random work") {
            it("runs every task once, no task before its arrival and never more tasks at once than slots") {
                checkAll(PropTestConfig(seed = 1_512), submissions, workers, Arb.enum<IdealOrder>()) { work, upstream, order ->
                    val runs = idealSchedule(work, upstream, order).runs
                    runs.size shouldBe work.sumOf { it.tasks.size }
                    runs.forEach { it.startMs shouldBeGreaterThanOrEqual work[it.submission].atMs }
                    runs.forEach { run ->
                        runs.count { it.startMs <= run.startMs && run.startMs < it.endMs } shouldBeLessThanOrEqual
                            upstream.sumOf { it.slots }
                    }
                }
            }

            it("answers each submission when its last task ends, no sooner than its longest task could end on the fastest worker") {
                checkAll(PropTestConfig(seed = 1_513), submissions, workers, Arb.enum<IdealOrder>()) { work, upstream, order ->
                    val result = idealSchedule(work, upstream, order)
                    val fastest = upstream.maxOf { it.speed }
                    work.forEachIndexed { index, submission ->
                        val response = result.responseMs[index]
                        val last = result.runs.filter { it.submission == index }.maxOf { it.endMs }
                        withClue("submission $index") {
                            response shouldBeGreaterThanOrEqual submission.tasks.maxOf { it.trueMs } / fastest - TOLERANCE
                            response shouldBe (last - submission.atMs plusOrMinus TOLERANCE)
                        }
                    }
                }
            }

            it("takes at least the total work divided by the total speed of all slots, so that it uses no more than the capacity") {
                checkAll(PropTestConfig(seed = 1_514), submissions, workers) { work, upstream ->
                    val end = idealSchedule(work, upstream).runs.maxOf { it.endMs }
                    val leastMs = work.sumOf { it.workMs } / upstream.sumOf { it.slots * it.speed }
                    end shouldBeGreaterThanOrEqual leastMs - TOLERANCE
                }
            }
        }

        describe("the ideal schedule of known work") {
            val fast = IdealWorker(slots = 1, speed = 2.0)
            val slow = IdealWorker(slots = 1, speed = 0.5)

            it("waits for a busy fast slot if a free slow slot would end the task later") {
                val work = listOf(submission(listOf(100.0)), submission(listOf(100.0), atMs = 10.0, number = 1))
                idealSchedule(work, listOf(slow, fast)).responseMs.toList() shouldBe listOf(50.0, 90.0)
            }

            it("uses the slow slot if the task ends first there") {
                idealSchedule(listOf(submission(listOf(400.0, 20.0))), listOf(slow, fast)).responseMs.single() shouldBe 200.0
            }

            it("lets a short request overtake a long queue, unless the order is first come, first served") {
                val work = listOf(submission(List(10) { 100.0 }), submission(listOf(10.0), atMs = 1.0, number = 1))
                val one = listOf(IdealWorker(slots = 1, speed = 1.0))
                idealSchedule(work, one, IdealOrder.SHORTEST).responseMs[1] shouldBe 109.0
                idealSchedule(work, one, IdealOrder.ARRIVAL).responseMs[1] shouldBe 1_009.0
            }
        }
    })
