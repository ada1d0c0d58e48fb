/*
 * Guards against waiting runs of other VMs that get capacity out of order, that are kept beyond the queue's bound or their latest start,
 * that are lost, or that are started twice or after their removal.
 */
package dandelionpoint.coordination.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val SEEDS = 300
private const val STEPS = 200
private const val BOUND = 12

private fun waitingOrder(index: Int, priority: Int = 0, onTimeStartAt: Long = 0, latestStartAt: Long = 1_000, origin: String = "vm-2") =
    order(index = index, origin = origin).copy(priority = priority, onTimeStartAt = onTimeStartAt, latestStartAt = latestStartAt)

private fun urgency(order: RunOrder) = order.priority * 1_000_000L + order.onTimeStartAt

/** Carries out random operations on a queue beside a plain list of what has to be in it. */
private class RandomOperations(seed: Long) {
    private val random = Random(seed)
    private val queue = WaitingRuns(BOUND)
    private val expected = mutableListOf<RunOrder>()
    private val added = mutableSetOf<RunKey>()
    private val started = mutableListOf<RunKey>()
    private val removed = mutableListOf<RunKey>()
    private var now = 0L

    fun run() = repeat(STEPS) {
        now += random.nextLong(4)
        when (random.nextInt(10)) {
            in 0..4 -> add(it)
            5 -> withdraw()
            6 -> expire()
            7 -> loseOrigin()
            else -> start()
        }
        queue.inOrder() shouldBe expected
        queue.isEmpty shouldBe expected.isEmpty()
        (queue.size <= BOUND).shouldBeTrue()
        (started + removed + expected.map { run -> run.key }) shouldContainExactlyInAnyOrder added
    }

    private fun add(index: Int) {
        val order = waitingOrder(index, random.nextInt(3), now + random.nextLong(40), now + random.nextLong(60), "vm-${random.nextInt(4)}")
        added += order.key
        expected += order
        expected.sortBy { urgency(it) }
        val displaced = queue.add(order)
        displaced shouldBe if (expected.size > BOUND) expected.removeLast().also { removed += it.key } else null
        // A repeated request joins the waiting run.
        if (displaced?.key != order.key) queue.add(order.copy(priority = 0)) shouldBe null
    }

    private fun withdraw() {
        val order = expected.randomOrNull(random) ?: return
        expected -= order
        queue.remove(order.key).shouldBeTrue()
        queue.remove(order.key).shouldBeFalse()
        removed += order.key
    }

    private fun expire() {
        val due = expected.filter { it.latestStartAt <= now }
        expected -= due.toSet()
        queue.removeExpired(now) shouldContainExactlyInAnyOrder due
        removed += due.map { it.key }
    }

    private fun loseOrigin() {
        val origin = "vm-${random.nextInt(4)}"
        val ofOrigin = expected.filter { it.origin == origin }
        expected -= ofOrigin.toSet()
        queue.removeIf { it.origin == origin } shouldContainExactlyInAnyOrder ofOrigin
        removed += ofOrigin.map { it.key }
    }

    /** Starts a run that fits, or tries a run that was started or removed before, which has to stay so. */
    private fun start() {
        val order = expected.randomOrNull(random)
        if (order != null) {
            val fits = random.nextBoolean()
            queue.startIfWaiting(order.key) { fits } shouldBe fits
            if (fits) {
                expected -= order
                started += order.key
            }
        }
        (started + removed).randomOrNull(random)?.let { gone ->
            queue.startIfWaiting(gone) { error("$gone is started again") }.shouldBeFalse()
        }
    }
}

internal class WaitingRunsTest :
    DescribeSpec({
        it("orders runs by priority, then by their latest start on time, then by their arrival") {
            val queue = WaitingRuns()
            listOf(
                waitingOrder(0, priority = 2, onTimeStartAt = 1),
                waitingOrder(1, priority = 0, onTimeStartAt = 50),
                waitingOrder(2, priority = 0, onTimeStartAt = 20),
                waitingOrder(3, priority = 1, onTimeStartAt = -10),
                waitingOrder(4, priority = 0, onTimeStartAt = 20),
            ).forEach { queue.add(it) shouldBe null }
            queue.inOrder().map { it.task.index } shouldContainExactly listOf(2, 4, 1, 3, 0)
        }

        // Guards against a burst of long runs that fills the queue and keeps urgent ones out of it.
        it("removes the least urgent run when it is full, which may be the new one") {
            val queue = WaitingRuns(maxRuns = 2)
            queue.add(waitingOrder(0, priority = 2))
            queue.add(waitingOrder(1, priority = 1))
            queue.add(waitingOrder(2, priority = 0))?.task?.index shouldBe 0
            queue.add(waitingOrder(3, priority = 2))?.task?.index shouldBe 3
            queue.inOrder().map { it.task.index } shouldContainExactly listOf(2, 1)
        }

        it("removes a run at its latest start, not earlier") {
            val queue = WaitingRuns()
            queue.add(waitingOrder(0, latestStartAt = 100))
            queue.add(waitingOrder(1, latestStartAt = 60))
            queue.removeExpired(59).shouldBeEmpty()
            queue.removeExpired(60).map { it.task.index } shouldContainExactly listOf(1)
            queue.removeExpired(100).map { it.task.index } shouldContainExactly listOf(0)
        }

        it("keeps its order and bound, loses no run and starts none twice or after its removal, with $SEEDS random seeds") {
            (1L..SEEDS).forEach { RandomOperations(it).run() }
        }
    })
