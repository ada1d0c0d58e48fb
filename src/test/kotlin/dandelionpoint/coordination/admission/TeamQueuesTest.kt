package dandelionpoint.coordination.admission

import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.peer.TeamLoad
import dandelionpoint.state.queue.QueuedTask
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.random.Random

/**
 * Guards against unfair shares of the slots, against admission of jobs that cannot meet their deadline or make accepted jobs miss theirs,
 * and against tasks that are lost, handed out twice, or reported as not run after they have started.
 */
class TeamQueuesTest :
    DescribeSpec({
        val clock = ManualClock()
        val capacity = ClusterCapacity(slots = 100)
        val maker = JobMaker()

        beforeTest { clock.nowMs = 0.0 }

        fun TeamQueues.codeOf(demand: JobDemand, capacityNow: ClusterCapacity = capacity) = admit(demand, capacityNow).leftOrNull()?.code

        describe("fairness") {
            it("shares the slots by quota, so that a large backlog does not crowd out a small team") {
                val quotas = mapOf("a" to 5.0, "b" to 3.0, "c" to 2.0)
                val queues = queuesOf(clock, quotas)
                quotas.keys.forEach { team -> repeat(5) { queues.submit(maker.job(team, tasks = 100), capacity) shouldBe true } }
                val counts = List(100) { queues.next()!! }.groupingBy { it.job.team }.eachCount()
                counts shouldBe mapOf("a" to 50, "b" to 30, "c" to 20)
            }
            it("counts the tasks that run on other VMs, since shares apply to the whole cluster") {
                val queues = queuesOf(clock, mapOf("a" to 1.0, "b" to 1.0))
                listOf("a", "b").forEach { queues.submit(maker.job(it, tasks = 100), capacity) }
                queues.onPeerLoad("peer", mapOf("a" to TeamLoad(running = 50, queued = 0, queuedSlotMs = 0)))
                List(50) { queues.next()!!.job.team }.toSet() shouldBe setOf("b")
                queues.removePeer("peer")
                queues.next()?.job?.team shouldBe "a"
            }
            it("gives the share of an idle team to the others") {
                shareOf(1.0, listOf(TeamDemand(8.0, 0.0), TeamDemand(1.0, 1_000.0)), 100.0) shouldBe (50.0 plusOrMinus 1e-9)
                shareOf(1.0, listOf(TeamDemand(8.0, 10.0), TeamDemand(1.0, 1_000.0)), 100.0) shouldBe (45.0 plusOrMinus 1e-9)
            }
        }

        describe("admission") {
            it("refuses a job that can never run, before it takes queue space") {
                val queues = queuesOf(clock, mapOf("a" to 1.0, "zero" to 0.0))
                queues.codeOf(JobDemand(maker.job("zero"))) shouldBe ResultCode.QUOTA_ZERO
                queues.codeOf(JobDemand(maker.job("unknown"))) shouldBe ResultCode.UNKNOWN_TEAM
                queues.codeOf(JobDemand(maker.job(), memoryMb = 2), capacity.copy(largestMemoryMb = 1)) shouldBe ResultCode.TOO_LARGE
                queues.codeOf(JobDemand(maker.job(deadlineMs = 99))) shouldBe ResultCode.DEADLINE_BELOW_TASK
                queues.codeOf(JobDemand(maker.job()), ClusterCapacity(slots = 0)) shouldBe ResultCode.NO_WORKER
                queues.loads() shouldBe emptyMap()
            }
            it("refuses a job that could not end by its deadline beside the work accepted before") {
                val queues = queuesOf(clock)
                queues.submit(maker.job(deadlineMs = 2_250, tasks = 1_000), capacity) shouldBe true
                queues.codeOf(JobDemand(maker.job(deadlineMs = 2_250, tasks = 1_000))) shouldBe ResultCode.DEADLINE_UNREACHABLE
                queues.codeOf(JobDemand(maker.job(deadlineMs = 2_250, tasks = 500))) shouldBe null
            }
            it("refuses an urgent job that would make a job accepted before it late") {
                val queues = queuesOf(clock)
                queues.submit(maker.job(deadlineMs = 2_250, tasks = 1_500), capacity) shouldBe true
                queues.codeOf(JobDemand(maker.job(deadlineMs = 1_250, tasks = 300))) shouldBe ResultCode.DEADLINE_UNREACHABLE
                queues.codeOf(JobDemand(maker.job(deadlineMs = 1_250, tasks = 50))) shouldBe null
            }
            it("leaves free the slots that the team's work on other VMs needs") {
                val queues = queuesOf(clock)
                queues.onPeerLoad("peer", mapOf("a" to TeamLoad(0, 1_000, 100_000, neededSlots = 60.0)))
                queues.codeOf(JobDemand(maker.job(deadlineMs = 5_250, tasks = 1_200))) shouldBe ResultCode.DEADLINE_UNREACHABLE
                queues.removePeer("peer")
                queues.codeOf(JobDemand(maker.job(deadlineMs = 5_250, tasks = 1_200))) shouldBe null
            }
            it("accepts an urgent request while a job of 1,200 tasks is queued, and starts it first") {
                val queues = queuesOf(clock)
                queues.submit(maker.job(tasks = 1_200), capacity)
                val urgent = maker.job(deadlineMs = 200)
                queues.submit(urgent, capacity) shouldBe true
                queues.next() shouldBe QueuedTask(urgent, 0)
            }
            it("bounds the queue in tasks, counting reservations, so that memory stays bounded") {
                val queues = queuesOf(clock, tasksPerTeam = 10)
                queues.codeOf(JobDemand(maker.job(tasks = 6))) shouldBe null
                val reserved = maker.job(tasks = 4)
                queues.codeOf(JobDemand(reserved)) shouldBe null
                queues.codeOf(JobDemand(maker.job())) shouldBe ResultCode.QUEUE_FULL
                queues.cancel(reserved.id) shouldBe 0
                queues.offer(reserved) shouldBe false
                queues.codeOf(JobDemand(maker.job(tasks = 4))) shouldBe null
            }
        }

        describe("a job that has become late") {
            it("is not started in part, and is reported once") {
                val queues = queuesOf(clock)
                val job = maker.job(deadlineMs = 1_000, tasks = 3)
                queues.submit(job, capacity)
                clock.nowMs = 950.0
                queues.next() shouldBe null
                queues.expireLate() shouldContainExactly listOf(job)
                queues.expireLate().shouldBeEmpty()
                queues.loads() shouldBe emptyMap()
            }
            it("gets no more slots once it cannot end in time, and is reported as abandoned, not as not run") {
                val queues = queuesOf(clock)
                val job = maker.job(deadlineMs = 1_000, tasks = 3)
                queues.submit(job, capacity)
                queues.started(queues.next()!!)
                clock.nowMs = 950.0
                queues.next() shouldBe null
                queues.expireLate().shouldBeEmpty()
                queues.abandonLate() shouldContainExactly listOf(job)
            }
            it("is not reported as not run once a task of it started or is being sent") {
                val queues = queuesOf(clock)
                queues.submit(maker.job(deadlineMs = 1_000, tasks = 3), capacity)
                val task = queues.next()!!
                clock.nowMs = 2_000.0
                withClue("handed out") { queues.expireLate().shouldBeEmpty() }
                queues.started(task)
                withClue("started") { queues.expireLate().shouldBeEmpty() }
                queues.finished(task, elapsedMs = 100.0)
                withClue("one task ended") { queues.expireLate().shouldBeEmpty() }
            }
        }

        describe("cancellation") {
            it("drops queued tasks once, leaves running ones alone and is idempotent") {
                val queues = queuesOf(clock)
                val job = maker.job(tasks = 10)
                queues.submit(job, capacity)
                val task = queues.next()!!
                queues.started(task)
                List(3) { queues.cancel(job.id) } shouldBe listOf(9, 0, 0)
                queues.next() shouldBe null
                queues.loads().getValue("a").running shouldBe 1
                queues.finished(task, 100.0)
                queues.loads() shouldBe emptyMap()
            }
        }

        describe("a task that did not start") {
            it("goes back to the front, ahead of earlier deadlines") {
                val queues = queuesOf(clock)
                val job = maker.job(tasks = 3)
                queues.submit(job, capacity)
                val first = queues.next()!!
                queues.next()
                queues.submit(maker.job(deadlineMs = 10_000), capacity)
                queues.putBack(first)
                queues.next() shouldBe first
            }
        }

        it("hands out each task once and keeps its counts through any sequence of calls") {
            checkAll(200, Arb.int()) { seed ->
                val random = Random(seed)
                val queues = queuesOf(clock, mapOf("a" to 1.0, "b" to 2.0), tasksPerTeam = 60)
                clock.nowMs = 0.0
                val jobs = JobMaker(seed)
                val offered = ArrayList<QueuedTask>()
                val handedOut = ArrayList<QueuedTask>()
                val ended = HashSet<QueuedTask>()
                repeat(200) {
                    clock.nowMs += random.nextInt(20)
                    when (random.nextInt(6)) {
                        0 -> jobs.job(
                            listOf("a", "b").random(random),
                            clock.nowMs.toLong() + random.nextLong(200, 3_000),
                            1 + random.nextInt(20),
                        )
                            .takeIf { queues.submit(it, capacity) }?.let { job -> repeat(job.taskCount) { offered += QueuedTask(job, it) } }

                        1, 2 -> queues.next()?.let { handedOut += it }

                        3 -> handedOut.removeRandom(random)?.let { queues.putBack(it) }

                        4 -> handedOut.removeRandom(random)?.let {
                            queues.started(it)
                            queues.finished(it, 100.0)
                            ended.add(it) shouldBe true
                        }

                        else -> offered.randomOrNull(random)?.takeIf { random.nextInt(4) == 0 }?.let { queues.cancel(it.job.id) }
                    }
                    queues.loads().values.sumOf { it.running } shouldBe handedOut.size
                    handedOut.toSet().size shouldBe handedOut.size
                    (handedOut.toSet() intersect ended).shouldBeEmpty()
                }
                handedOut.forEach { queues.finished(it, 100.0) }
                generateSequence { queues.next() }.forEach { queues.finished(it, 100.0) }
                queues.expireLate()
                queues.loads() shouldBe emptyMap()
                queues.waitingTasks() shouldBe 0
            }
        }
    })

private fun <T> MutableList<T>.removeRandom(random: Random): T? = if (isEmpty()) null else removeAt(random.nextInt(size))
