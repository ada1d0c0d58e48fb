/*
 * Guards against work of one VM that gets capacity for which more urgent work of another VM waits at the same owner, against runs that are
 * started after their latest start, against work that is refused while capacity is free, and against a scheduling pass whose cost grows
 * with the number of runs that fit nowhere.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.RunEnd
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import java.util.PriorityQueue
import kotlin.random.Random

private const val PEER = "vm-2"
private const val CORES = 32.0

/** Has capacity for [free] runs; records the orders that it placed and counts the attempts. */
private class SharedPlacer(var free: Int = 0) : RunPlacer {
    val placed = mutableListOf<RunOrder>()
    var attempts = 0

    override fun place(order: RunOrder): RunLocation? = if (placeForPeer(order)) RunLocation.Local("akl-a") else null

    override fun placeForPeer(order: RunOrder): Boolean {
        attempts++
        if (free == 0) return false
        free--
        placed += order
        return true
    }
}

private fun peerRun(index: Int, priority: Int, onTimeStartAt: Long = 100, latestStartAt: Long = 1_000) =
    order(job = "peer", index = index, origin = PEER)
        .copy(priority = priority, onTimeStartAt = onTimeStartAt, latestStartAt = latestStartAt)

private fun submission(id: String, priority: Int, estimateMs: Long = 60, now: Long = 0) =
    Submission(job(id, estimateMs = estimateMs), queue(priority = priority), ORIGIN, arrivedAt = now, deadlineAt = now + 1_500)

/** A kind of job, as the operators' load has them. */
private class Kind(val priority: Int, val tasks: Int, val runMs: Long)

private val KINDS = listOf(Kind(0, 8, 60), Kind(1, 2, 200), Kind(2, 4, 900))
private const val OWNERS = 4
private const val WORKERS = 3
private const val WORKER_CPU_MILLI = 32_000
private const val LATENCY_MS = 1L

/**
 * A few owners, each with its own workers and clients, in virtual time. A burst of urgent jobs comes beside long ones. A task that finds no
 * room at its own owner waits at another one, chosen at random.
 */
private class OwnersUnderBurst(seed: Long) {
    private inner class Owner(val name: String) : RunPlacer {
        val waiting = WaitingRuns()
        val dispatch = Dispatch(name, waitingRuns = waiting)
        val free = IntArray(WORKERS) { WORKER_CPU_MILLI }

        override fun place(order: RunOrder): RunLocation? {
            if (placeForPeer(order)) return RunLocation.Local(name)
            if (!random.nextBoolean()) return null
            val target = owners.filter { it !== this }.random(random)
            at(now + LATENCY_MS) { target.request(order) }
            return RunLocation.Remote(target.name)
        }

        private fun request(order: RunOrder) {
            waiting.add(order)?.let { displaced -> at(now + LATENCY_MS) { end(displaced, RunEnd.NOT_STARTED) } }
            schedule()
        }

        override fun placeForPeer(order: RunOrder): Boolean {
            val worker = free.indices.filter { free[it] >= order.demand.cpuMilli }.minByOrNull { free[it] } ?: return false
            checkOrder(order)
            if (order.origin != name && now >= order.latestStartAt) violations += "$now: ${order.run} starts after ${order.latestStartAt}"
            free[worker] -= order.demand.cpuMilli
            starts++
            if (order.origin != name) startsForPeers++
            if (!running.add(order.task)) violations += "$now: ${order.run} is started twice"
            at(now + order.estimateMs) {
                running -= order.task
                free[worker] += order.demand.cpuMilli
                end(order, RunEnd.DONE)
                schedule()
            }
            return true
        }

        /** No more urgent run of another VM waits here that would fit. The pass may be about to place one that is later in its order. */
        private fun checkOrder(order: RunOrder) {
            val ahead = waiting.inOrder().firstOrNull { it.isMoreUrgentThan(order) && fits(it) }
            if (ahead !=
                null
            ) {
                violations += "$now: ${order.run} of ${order.origin} gets room at $name before ${ahead.run} of ${ahead.origin}"
            }
        }

        private fun fits(order: RunOrder) = free.any { it >= order.demand.cpuMilli }

        private fun RunOrder.isMoreUrgentThan(other: RunOrder) =
            priority < other.priority || (priority == other.priority && onTimeStartAt < other.onTimeStartAt)

        fun schedule() = handle(dispatch.schedule(now, this))

        fun submit(kind: Kind) {
            val demand = Demand(random.nextInt(13_000, 19_000))
            val job = FleetJob("$name-${nextJob++}", "", listOf(JobStep(kind.tasks, demand, kind.runMs)))
            val queue = JobQueue("q", POOL, kind.priority, stretch = 1.6, latencyTargetMs = 61)
            handle(dispatch.submit(Submission(job, queue, name, now, now + 1_515), WORKERS * 32.0, now, this))
        }

        fun handle(events: List<DispatchEvent>): Unit = events.forEach { event ->
            when (event) {
                is DispatchEvent.Finished -> outcomes += event.outcome
                is DispatchEvent.StopRun -> Unit
                is DispatchEvent.WaitingRunExpired -> at(now + LATENCY_MS) { end(event.order, RunEnd.NOT_STARTED) }
            }
        }
    }

    private class Event(val at: Long, val number: Long, val action: () -> Unit)

    private val random = Random(seed)
    private val owners: List<Owner> = List(OWNERS) { Owner("vm-$it") }
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.number }))
    private val running = HashSet<Any>()
    private var now = 0L
    private var nextJob = 0
    private var nextEvent = 0L
    val violations = mutableListOf<String>()
    val outcomes = mutableListOf<JobOutcome>()
    var starts = 0
    var startsForPeers = 0

    private fun at(time: Long, action: () -> Unit) {
        events += Event(time, nextEvent++, action)
    }

    private fun end(order: RunOrder, end: RunEnd) {
        val owner = owners.single { it.name == order.origin }
        owner.handle(owner.dispatch.onRunEnd(order.key, end, if (end == RunEnd.DONE) "w" else "", now))
        owner.schedule()
    }

    fun run() {
        for (time in 0L until 2_000L step 5) {
            at(time) {
                val isBurst = now in 500L..1_200L
                if (random.nextDouble() < if (isBurst) 0.5 else 0.1) owners.random(random).submit(KINDS[0])
                if (random.nextDouble() < 0.4) owners.random(random).submit(KINDS[1])
                if (random.nextDouble() < 0.1) owners.random(random).submit(KINDS[2])
            }
        }
        for (time in 0L until 6_000L step 50) at(time) { owners.forEach { it.schedule() } }
        while (events.isNotEmpty()) {
            events.poll().let { event ->
                now = event.at
                event.action()
            }
        }
    }
}

internal class WaitingRunOrderTest :
    DescribeSpec({
        describe("a scheduling pass") {
            it("gives capacity to the urgent run of another VM before this VM's long task, although that was submitted first") {
                val waiting = WaitingRuns()
                val dispatch = Dispatch(ORIGIN, waitingRuns = waiting)
                val placer = SharedPlacer()
                dispatch.submit(submission("long", priority = 2, estimateMs = 900), CORES, 0, placer)
                waiting.add(peerRun(0, priority = 0))
                placer.free = 1
                dispatch.schedule(5, placer)
                placer.placed.map { it.task.jobId } shouldContainExactly listOf("peer")
            }

            it("gives capacity to this VM's urgent task before the long run of another VM that has waited longer") {
                val waiting = WaitingRuns()
                val dispatch = Dispatch(ORIGIN, waitingRuns = waiting)
                val placer = SharedPlacer()
                waiting.add(peerRun(0, priority = 2))
                dispatch.submit(submission("urgent", priority = 0), CORES, 0, placer)
                placer.free = 1
                dispatch.schedule(5, placer)
                placer.placed.map { it.task.jobId } shouldContainExactly listOf("urgent")
            }

            it("orders work of one priority by the latest start on time, whichever VM it comes from") {
                val waiting = WaitingRuns()
                val dispatch = Dispatch(ORIGIN, waitingRuns = waiting)
                val placer = SharedPlacer()
                // The objective is 1.6 x 60 ms + 60 ms, so that the task can start until 96 ms.
                dispatch.submit(submission("own", priority = 0), CORES, 0, placer)
                waiting.add(peerRun(0, priority = 0, onTimeStartAt = 97))
                waiting.add(peerRun(1, priority = 0, onTimeStartAt = 95))
                placer.free = 3
                dispatch.schedule(5, placer)
                placer.placed.map { it.task.jobId to it.task.index } shouldContainExactly listOf("peer" to 1, "own" to 0, "peer" to 0)
            }

            it("does not start a run at its latest start or later, and answers it then") {
                val waiting = WaitingRuns()
                val dispatch = Dispatch(ORIGIN, waitingRuns = waiting)
                val placer = SharedPlacer(free = 1)
                waiting.add(peerRun(0, priority = 0, latestStartAt = 50))
                dispatch.schedule(50, placer).single().shouldBeInstanceOf<DispatchEvent.WaitingRunExpired>().order.task.index shouldBe 0
                placer.placed.shouldBeEmpty()
                dispatch.hasWaitingWork shouldBe false
            }

            // Processor time of a VM is scarce, and most runs fit nowhere while the pool is full.
            it("tries no more than 32 runs that fit nowhere, and nothing less urgent after them") {
                val waiting = WaitingRuns()
                val dispatch = Dispatch(ORIGIN, waitingRuns = waiting)
                val placer = SharedPlacer()
                dispatch.submit(submission("long", priority = 2, estimateMs = 900), CORES, 0, placer)
                repeat(200) { waiting.add(peerRun(it, priority = 0)) }
                placer.attempts = 0
                dispatch.schedule(5, placer)
                placer.attempts shouldBe 32
            }

            it("starts a waiting run as soon as capacity is free, and not a second time") {
                val waiting = WaitingRuns()
                val dispatch = Dispatch(ORIGIN, waitingRuns = waiting)
                val placer = SharedPlacer()
                waiting.add(peerRun(0, priority = 0))
                dispatch.schedule(5, placer)
                dispatch.hasWaitingWork shouldBe true
                placer.free = 2
                repeat(2) { dispatch.schedule(10, placer) }
                placer.placed shouldHaveSize 1
            }
        }

        describe("a burst of urgent jobs beside long ones on the full pool of several owners") {
            it("never lets less urgent work have room at an owner where more urgent work of another VM waits") {
                (1L..40L).forEach { seed ->
                    val load = OwnersUnderBurst(seed).also { it.run() }
                    withClue("seed $seed") {
                        load.violations.shouldBeEmpty()
                        load.startsForPeers shouldBeGreaterThan 20
                        load.outcomes.any { it is JobOutcome.NotRun }.shouldBeTrue()
                        load.outcomes.count { it == JobOutcome.Completed } shouldBeGreaterThan 20
                    }
                }
            }
        }
    })
