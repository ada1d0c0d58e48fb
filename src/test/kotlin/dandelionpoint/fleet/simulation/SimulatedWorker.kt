/*
 * A simulated worker with the rules of the platform's workers: one lease for all runs, on a clock that may be slow; fencing tokens;
 * refusals; numbered ends that are listed until they are acknowledged; stops that take some time.
 */
package dandelionpoint.fleet.simulation

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.EndedRow
import dandelionpoint.protocol.fleet.LeaseCall
import dandelionpoint.protocol.fleet.LeaseOutcome
import dandelionpoint.protocol.fleet.LeaseReport
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.RunningRow
import dandelionpoint.protocol.fleet.StartOrder
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.StartRefusal
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import kotlinx.coroutines.delay

/** Capacity that a task occupies and its real run time in ms. */
internal data class TaskWork(val demand: Demand, val runMs: Long)

/** A run on the worker [workerId]. [caller] is the VM that sent the order, [origin] the one that dispatched the run. */
internal class SimulatedRun(
    val order: StartOrder,
    val workerId: String,
    val caller: String,
    val origin: String,
    val startedAt: Long,
    val work: TaskWork,
) {
    /** Time at which a stop takes effect, in ms. */
    var stopsAt = Long.MAX_VALUE

    val doneAt: Long get() = startedAt + work.runMs
}

/** The worker [entry], whose clock runs at [clockRate]. [onStart] is called before a run is added. */
internal class SimulatedWorker(
    val entry: WorkerEntry,
    private val world: SimulationWorld,
    private val clockRate: Double,
    private val workOf: (TaskRef) -> TaskWork,
    private val onStart: (SimulatedRun) -> Unit,
) {
    private val running = LinkedHashMap<TaskRun, SimulatedRun>()
    private val ended = mutableListOf<EndedRow>()
    private val highestEndedRun = HashMap<TaskRef, Int>()
    private var highestToken = 0L
    private var lastEndNumber = 0L

    /** End of the lease on the worker's clock. */
    private var leaseUntilMs = 0L

    private fun clockMs(): Long = CLOCK_OFFSET_MS + (world.now() * clockRate).toLong()

    /** Runs of [task] in progress. */
    fun runsOf(task: TaskRef): List<SimulatedRun> {
        endDueRuns()
        return running.values.filter { it.order.run.task == task }
    }

    private fun endDueRuns() {
        val now = world.now()
        val isLeaseOver = clockMs() > leaseUntilMs
        running.values.toList().forEach { run ->
            when {
                now >= run.doneAt && run.doneAt <= run.stopsAt -> end(run, RunEnd.DONE)
                now >= run.stopsAt || isLeaseOver -> end(run, RunEnd.LOST)
            }
        }
    }

    private fun end(run: SimulatedRun, end: RunEnd) {
        running.remove(run.order.run)
        highestEndedRun.merge(run.order.run.task, run.order.run.run, ::maxOf)
        ended += EndedRow(++lastEndNumber, run.order.run, end)
    }

    private fun isFenced(token: Long): Boolean {
        endDueRuns()
        if (token < highestToken) return true
        highestToken = token
        return false
    }

    private fun extendLease(untilMs: Long) {
        leaseUntilMs = maxOf(leaseUntilMs, minOf(untilMs, clockMs() + MAX_LEASE_MS))
    }

    fun start(order: StartOrder, caller: String, origin: String): StartOutcome {
        if (isFenced(order.token)) return StartOutcome.Refused(StartRefusal.FENCED)
        if (order.leaseUntilMs <= clockMs()) return StartOutcome.Refused(StartRefusal.LATE)
        // The lease is taken from the order even if the order is refused below.
        extendLease(order.leaseUntilMs)
        if (order.run in running) return StartOutcome.Started(clockMs())
        val work = workOf(order.run.task)
        val used = running.values.fold(Demand(0)) { sum, run -> sum + run.work.demand }
        return when {
            order.run.run <= (highestEndedRun[order.run.task] ?: 0) -> StartOutcome.Refused(StartRefusal.OUTDATED_RUN)

            !(entry.capacity - used).covers(work.demand) -> StartOutcome.Refused(StartRefusal.NO_ROOM)

            else -> {
                val run = SimulatedRun(order, entry.id, caller, origin, world.now(), work)
                onStart(run)
                running[order.run] = run
                StartOutcome.Started(clockMs())
            }
        }
    }

    /** Returns false if [token] is fenced. */
    fun stop(run: TaskRun, token: Long): Boolean {
        if (isFenced(token)) return false
        highestEndedRun.merge(run.task, run.run, ::maxOf)
        running[run]?.let { it.stopsAt = minOf(it.stopsAt, world.now() + world.random.nextLong(MAX_STOP_MS + 1)) }
        return true
    }

    suspend fun lease(call: LeaseCall): LeaseOutcome {
        if (isFenced(call.token)) return LeaseOutcome.Fenced
        call.leaseUntilMs?.let { extendLease(it) }
        ended.removeAll { it.number <= call.seenEnd }
        val until = world.now() + call.waitMs
        while (world.now() < until && ended.none { it.number > call.seenEnd }) {
            delay(POLL_MS)
            endDueRuns()
        }
        val now = world.now()
        val rows = running.values.map { RunningRow(it.order.run, ((now - it.startedAt) * 100 / it.work.runMs).toInt()) }
        return LeaseOutcome.Answered(LeaseReport(clockMs(), entry.startedAtMs, rows, ended.toList()))
    }

    private companion object {
        const val CLOCK_OFFSET_MS = 40_000L

        /** Longest lease that a worker grants, in ms on its clock. */
        const val MAX_LEASE_MS = 1_000L

        /** Longest time that a stop takes, in ms. */
        const val MAX_STOP_MS = 50L

        /** Interval at which a waiting lease call looks for ended runs, in ms. */
        const val POLL_MS = 4L
    }
}
