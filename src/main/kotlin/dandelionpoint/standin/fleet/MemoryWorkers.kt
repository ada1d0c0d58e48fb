/*
 * In-memory stand-in of leased workers: capacity, fencing tokens, leases, numbered run ends, and fault switches. All runs of a worker end
 * when its lease expires. A worker ignores calls with a token below the highest that it has received.
 */
package dandelionpoint.standin.fleet

import dandelionpoint.protocol.Clock
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
import dandelionpoint.protocol.fleet.WorkerPort
import dandelionpoint.protocol.millis
import kotlinx.coroutines.delay

/** Faults of one worker. */
internal enum class WorkerFault {
    NONE,

    /** Each run fails as soon as it is started. */
    FAILS,

    /** Runs make no progress. */
    HANGS,

    /** Calls have no effect and get no answer. */
    MUTE,

    /** Starts take effect, but their answer is lost. */
    LOSES_ANSWERS,
}

/** A start of a run, for assertions in tests. Times are in ms; [endedAt] is null until the run has ended. */
internal class StartRecord(val run: TaskRun, val workerId: String, val startedAt: Long, var endedAt: Long? = null)

/** All workers. [demandOf] is the capacity that a task occupies, [runMs] its run time in ms. */
internal class MemoryWorkers(
    private val clock: Clock = Clock.System,
    private val demandOf: (TaskRef) -> Demand = { Demand(1_000) },
    private val runMs: (TaskRef) -> Long = { DEFAULT_RUN_MS },
) : WorkerPort {
    /** A run in progress; [totalMs] is its whole run time. */
    private class Running(val run: TaskRun, val demand: Demand, val record: StartRecord, val totalMs: Long)

    private inner class Worker(val entry: WorkerEntry) {
        val running = LinkedHashMap<TaskRef, Running>()
        val ended = mutableListOf<EndedRow>()
        val highestEndedRun = HashMap<TaskRef, Int>()
        var highestToken = 0L
        var leaseUntilMs = 0L
        var lastEndNumber = 0L

        fun end(running: Running, end: RunEnd) {
            this.running.remove(running.run.task)
            highestEndedRun[running.run.task] = running.run.run
            running.record.endedAt = clock.millis()
            ended += EndedRow(++lastEndNumber, running.run, end)
        }
    }

    private val lock = Any()
    private val workers = HashMap<String, Worker>()
    private val faults = HashMap<String, WorkerFault>()
    private val starts = mutableListOf<StartRecord>()

    /** Adds a worker. */
    fun add(entry: WorkerEntry) = synchronized(lock) { workers[entry.id] = Worker(entry) }

    /** Sets the fault of the worker [id]; [WorkerFault.NONE] ends it. */
    fun setFault(id: String, fault: WorkerFault) = synchronized(lock) { faults[id] = fault }

    /** All starts so far. */
    fun starts(): List<StartRecord> = synchronized(lock) {
        workers.values.forEach { endDueRuns(it) }
        starts.toList()
    }

    private fun fault(id: String) = faults[id] ?: WorkerFault.NONE

    /** Ends the runs that are finished by now, and all runs if the lease has expired. */
    private fun endDueRuns(worker: Worker) {
        val now = clock.millis()
        if (worker.running.isNotEmpty() && now > worker.leaseUntilMs) {
            worker.running.values.toList().forEach { worker.end(it, RunEnd.LOST) }
        }
        if (fault(worker.entry.id) == WorkerFault.HANGS) return
        worker.running.values.filter { now >= it.record.startedAt + it.totalMs }.forEach { worker.end(it, RunEnd.DONE) }
    }

    override suspend fun start(worker: WorkerEntry, order: StartOrder, timeoutMs: Long): StartOutcome {
        if (synchronized(lock) { fault(worker.id) } == WorkerFault.MUTE) {
            delay(timeoutMs)
            return StartOutcome.Unknown("injected fault: no answer")
        }
        val outcome = synchronized(lock) { startUnlessRefused(workers.getValue(worker.id), order) }
        return if (synchronized(lock) { fault(worker.id) } == WorkerFault.LOSES_ANSWERS) {
            StartOutcome.Unknown("injected fault: answer lost")
        } else {
            outcome
        }
    }

    private fun startUnlessRefused(worker: Worker, order: StartOrder): StartOutcome {
        endDueRuns(worker)
        val now = clock.millis()
        val task = order.run.task
        val used = worker.running.values.fold(Demand(0)) { sum, running -> sum + running.demand }
        val refusal = when {
            order.startedAtMs != worker.entry.startedAtMs -> StartRefusal.OTHER_INCARNATION
            order.token < worker.highestToken -> StartRefusal.FENCED
            order.leaseUntilMs <= now -> StartRefusal.LATE
            worker.running[task]?.run == order.run -> return StartOutcome.Started(now)
            order.run.run <= (worker.highestEndedRun[task] ?: 0) -> StartRefusal.OUTDATED_RUN
            !(worker.entry.capacity - used).covers(demandOf(task)) -> StartRefusal.NO_ROOM
            else -> null
        }
        if (refusal != null) return StartOutcome.Refused(refusal)
        worker.highestToken = order.token
        worker.leaseUntilMs = maxOf(worker.leaseUntilMs, order.leaseUntilMs)
        val record = StartRecord(order.run, worker.entry.id, now)
        starts += record
        val running = Running(order.run, demandOf(task), record, runMs(task))
        worker.running[task] = running
        if (fault(worker.entry.id) == WorkerFault.FAILS) worker.end(running, RunEnd.FAILED)
        return StartOutcome.Started(now)
    }

    override suspend fun stop(worker: WorkerEntry, run: TaskRun, token: Long, timeoutMs: Long): Boolean = synchronized(lock) {
        val target = workers.getValue(worker.id)
        if (fault(worker.id) == WorkerFault.MUTE || token < target.highestToken) return@synchronized false
        endDueRuns(target)
        target.highestToken = token
        val running = target.running[run.task]?.takeIf { it.run == run }
        if (running != null) target.end(running, RunEnd.LOST)
        target.highestEndedRun.merge(run.task, run.run, ::maxOf)
        true
    }

    override suspend fun lease(worker: WorkerEntry, call: LeaseCall, timeoutMs: Long): LeaseOutcome {
        val until = clock.millis() + call.waitMs
        while (true) {
            if (synchronized(lock) { fault(worker.id) } == WorkerFault.MUTE) {
                delay(timeoutMs)
                return LeaseOutcome.NoAnswer("injected fault: no answer")
            }
            synchronized(lock) { reportIfDue(workers.getValue(worker.id), call, until) }?.let { return it }
            delay(POLL_MS)
        }
    }

    /** Returns null if the call must wait longer, because no run has ended since [LeaseCall.seenEnd]. */
    private fun reportIfDue(worker: Worker, call: LeaseCall, until: Long): LeaseOutcome? {
        if (call.token < worker.highestToken) return LeaseOutcome.Fenced
        worker.highestToken = call.token
        endDueRuns(worker)
        call.leaseUntilMs?.let { worker.leaseUntilMs = maxOf(worker.leaseUntilMs, it) }
        worker.ended.removeAll { it.number <= call.seenEnd }
        if (worker.ended.isEmpty() && clock.millis() < until) return null
        val now = clock.millis()
        val running = worker.running.values.map {
            val percent = if (fault(worker.entry.id) == WorkerFault.HANGS) 0 else (now - it.record.startedAt) * 100 / it.totalMs
            RunningRow(it.run, percent.toInt())
        }
        return LeaseOutcome.Answered(LeaseReport(now, worker.entry.startedAtMs, running, worker.ended.toList()))
    }

    private companion object {
        const val DEFAULT_RUN_MS = 60L
        const val POLL_MS = 2L
    }
}
