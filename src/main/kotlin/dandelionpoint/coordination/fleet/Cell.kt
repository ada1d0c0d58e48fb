/*
 * State of one cell: its workers and their runs under one fencing token. It does no I/O. Its functions take run orders, outcomes of
 * calls, run lists and the time, and return events; the cell's controller sends the calls and handles the events. One lock guards the
 * state. A run in a worker's run list that this cell does not track is stopped, so that a start order that a worker has carried out
 * late has no lasting effect.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.LeaseReport
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.RunningRow
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.peer.FreeCapacity
import dandelionpoint.protocol.peer.labelCode
import kotlin.math.max

/** What the controller has to do or to report. */
internal sealed interface CellEvent {
    /** The run of [order] has ended on [workerId] and no longer runs on any worker. */
    data class Ended(val order: RunOrder, val end: RunEnd, val workerId: String) : CellEvent

    /** [run] has to be stopped on [worker]. */
    data class Stop(val worker: WorkerEntry, val run: TaskRun) : CellEvent

    /** The worker's run list has to be polled at once. */
    data class PollRuns(val workerId: String) : CellEvent

    /** A worker has seen a higher fencing token: the cell has another owner. */
    data object Fenced : CellEvent
}

/**
 * A start order that the controller has to send to [worker], with the lease [leaseUntilMs] on the clock of the incarnation that started at
 * [incarnationMs]. If [isClockStale], the worker's run list has to be polled and the lease set by [Cell.withFreshLease] before.
 */
internal data class Placement(
    val worker: WorkerEntry,
    val order: RunOrder,
    val leaseUntilMs: Long,
    val incarnationMs: Long,
    val isClockStale: Boolean,
)

/**
 * The cell [name], owned under the fencing token [token]. [responseTimes] are those of the workers to the controller's calls. Times are in
 * ms on the VM's monotonic clock unless stated otherwise, and dates are those of [demand].
 */
internal class Cell(
    val name: String,
    val token: Long,
    private val rules: FleetRules = FleetRules(),
    private val demand: RunDemand = RunDemand.Always,
    val responseTimes: WorkerResponseTimes = WorkerResponseTimes(rules),
    private val labelSpeeds: LabelSpeeds = LabelSpeeds(),
) {
    private val lock = Any()
    private val workers = LinkedHashMap<String, TrackedWorker>()

    /** Workers that former owners of the cell may still use, null for all. */
    private var usedByFormers: Set<String>? = emptySet()
    private var acceptsRuns = true
    private val stops = RunStops(rules, demand)
    private val leases = LeasePlanner(token, rules, areAnswersFast = { responseTimes.areFast })

    /** Updates the list of the cell's workers. A worker that is no longer listed gets no new runs and is dropped once it has none left. */
    fun updateWorkers(entries: List<WorkerEntry>) = synchronized(lock) {
        entries.forEach { entry ->
            val worker = workers.getOrPut(entry.id) {
                TrackedWorker(entry, rules, demand, labelSpeeds).also { it.isReleased = isReleased(entry.id) }
            }
            if (worker.hasRestarted(entry)) worker.onRestart(entry.startedAtMs)
            worker.entry = entry
        }
        val listed = entries.map { it.id }.toSet()
        workers.values.filter { it.entry.id !in listed }.forEach { it.entry = it.entry.copy(isDraining = true) }
        workers.values.removeIf { it.entry.id !in listed && it.runs.isEmpty() }
        Unit
    }

    /**
     * Sends no lease calls to the workers in [ids], or to any worker if null, and starts no runs there: former owners of the cell may still
     * use them. The other workers are released.
     */
    fun awaitRelease(ids: Set<String>?) = synchronized(lock) {
        usedByFormers = ids
        workers.values.forEach { it.isReleased = isReleased(it.entry.id) }
    }

    private fun isReleased(id: String): Boolean = usedByFormers?.let { id !in it } ?: false

    /** Accepts no more runs. */
    fun close() = synchronized(lock) { acceptsRuns = false }

    fun workerIds(): Set<String> = synchronized(lock) { workers.keys.toSet() }

    val workerCount: Int get() = synchronized(lock) { workers.size }

    /** Workers on which runs of this owner are, or may be, in progress. */
    fun usedWorkerIds(): Set<String> =
        synchronized(lock) { workers.values.filter { it.runs.isNotEmpty() }.mapTo(HashSet()) { it.entry.id } }

    /** Incarnations of the VMs that dispatched the runs in progress. */
    val origins: Set<String> get() = synchronized(lock) {
        workers.values.flatMapTo(HashSet()) { it.runs.values.map { run -> run.order.origin } }
    }

    fun runCount(): Int = synchronized(lock) { workers.values.sumOf { it.runs.size } }

    /** Free capacity and relative speed of each usable worker that can take a run, by pool. */
    fun freeCapacity(now: Long): Map<String, List<FreeCapacity>> = synchronized(lock) {
        if (!acceptsRuns) return@synchronized emptyMap()
        workers.values
            .filter {
                it.isUsable() && it.leaseLength(now) >= rules.shortestFirstLeaseMs && it.runs.size < it.health.runLimit(now) &&
                    it.free().cpuMilli > 0
            }
            .groupBy({ it.entry.pool }) { FreeCapacity(it.free(), it.health.speed.toFloat(), it.entry.labels.map(::labelCode)) }
    }

    /** Cores by pool of the workers that are usable or only await their first run list, for estimates of the waiting time. */
    fun cores(): Map<String, Int> = synchronized(lock) {
        workers.values.filter { it.isUsable() || it.isAwaitingRunList() }.groupBy { it.entry.pool }.mapValues { (_, same) ->
            (same.sumOf { it.entry.capacity.cpuMilli.toLong() } / MILLI).toInt()
        }
    }

    /** True while a run of [task] is, or may be, in progress on a worker of the cell. */
    fun hasTask(task: TaskRef): Boolean = synchronized(lock) { workers.values.any { it.hasTask(task) } }

    /**
     * Chooses a worker other than [excluded] for [order], only [workerId] if given, and reserves capacity there. Returns null if the run
     * cannot be started. A task has at most one run in the cell: it is not started while another run of it is tracked or listed, of an
     * earlier submission of its job for example.
     */
    fun place(order: RunOrder, now: Long, excluded: String? = null, workerId: String? = null): Placement? = synchronized(lock) {
        if (hasTask(order.task)) return@synchronized null
        val candidates = query { it.candidates(order, now, excluded) }.filter { workerId == null || it.workerId == workerId }
        val worker = candidates.choose { it }?.let { workers[it.workerId] } ?: return@synchronized null
        worker.addRun(order, now)
        leases.placement(worker, order, now)
    }

    /** The result of [query] for the workers, which it must not change or keep; an empty list if the cell accepts no runs. */
    fun <T> query(query: (Collection<TrackedWorker>) -> List<T>): List<T> =
        synchronized(lock) { if (acceptsRuns) query(workers.values) else emptyList() }

    /** True if a worker other than the one to avoid can run [order], now or after other runs have ended. */
    fun couldRunElsewhere(order: RunOrder, now: Long): Boolean = synchronized(lock) { workers.values.canRunElsewhere(order, now) }

    /**
     * [placement] with a lease from the clock that a poll has just read, or null if there is no fresh reading or no such run any more. Null
     * also if the worker has restarted: the order was placed by the labels and the capacity of the incarnation before.
     */
    fun withFreshLease(placement: Placement, now: Long): Placement? = synchronized(lock) {
        val worker = workers[placement.worker.id]?.takeIf { it.isUsable() && !it.isClockStale(now) } ?: return@synchronized null
        if (worker.startedAtMs != placement.incarnationMs) return@synchronized null
        val run = worker.runs[placement.order.task]?.takeIf { it.order.run == placement.order.run } ?: return@synchronized null
        leases.placement(worker, run.order, now)
    }

    /** Applies the outcome of the start order for [placement]. */
    fun onStart(placement: Placement, outcome: StartOutcome, now: Long): List<CellEvent> = synchronized(lock) {
        val worker = workers[placement.worker.id] ?: return@synchronized emptyList()
        val run = worker.runs[placement.order.task]?.takeIf { it.order.run == placement.order.run } ?: return@synchronized emptyList()
        when (outcome) {
            is StartOutcome.Started -> {
                if (placement.incarnationMs == worker.startedAtMs) worker.recordClock(outcome.clockMs, now)
                run.recordRunning(now)
                emptyList()
            }

            is StartOutcome.Refused -> worker.onRefused(run, outcome.refusal, now)

            is StartOutcome.NotSent -> {
                worker.health.eject(now, UNREACHABLE_MS)
                listOf(worker.end(run, RunEnd.NOT_STARTED))
            }

            is StartOutcome.Unknown -> {
                run.listedAfter = now
                if (run.state == RunState.ORDERED) run.state = RunState.UNCERTAIN
                emptyList()
            }
        }
    }

    /** The next lease call to the worker [id], or null if there is no lease to renew, no end to acknowledge and no run list to read. */
    fun planLease(id: String, now: Long): LeasePlan? = synchronized(lock) { workers[id]?.let { leases.next(it, now) } }

    /** A poll of the worker's run list that is answered at once, for use after a call without an answer. */
    fun planPoll(id: String, now: Long): LeasePlan? = synchronized(lock) { workers[id]?.let { leases.poll(it, now) } }

    /** A call to a worker was lost. For a while, lease calls then wait less for an end, since further calls may be lost too. */
    fun onCallLost(now: Long) = synchronized(lock) { leases.onCallLost(now) }

    /** True while the worker has runs, so that its lease has to be renewed without delay. */
    fun hasRuns(id: String): Boolean = synchronized(lock) { workers[id]?.runs?.isNotEmpty() == true }

    /** Applies the worker's run list [report], its answer to [plan]. */
    fun onReport(plan: LeasePlan, report: LeaseReport, now: Long): List<CellEvent> = synchronized(lock) {
        val worker = workers[plan.worker.id] ?: return@synchronized emptyList()
        if (worker.isOutdated(plan, report)) return@synchronized emptyList()
        // The new incarnation may already have runs of this cell. Those that it does not list are handled below like any missing run.
        if (report.startedAtMs != 0L && report.startedAtMs != worker.startedAtMs) worker.onRestart(report.startedAtMs)
        // An acknowledged end is not listed again, so a higher number than the worker's own was acknowledged.
        if (report.ended.any { it.number <= plan.call.seenEnd }) worker.forgetEnds()
        val events = mutableListOf<CellEvent>()
        worker.recordClock(report.clockMs, now)
        worker.isResponsive = true
        worker.acknowledgedEnd = max(worker.acknowledgedEnd, plan.call.seenEnd)
        report.ended.sortedBy { it.number }.forEach { events += worker.applyEnd(it, now) }
        report.running.forEach { events += applyRunning(worker, it, plan.sentAt, now) }
        events += handleMissingRuns(worker, plan, report, now)
        stops.forgetUnlisted(worker, report, plan.sentAt)
        worker.hasRunList = true
        events
    }

    private fun applyRunning(worker: TrackedWorker, row: RunningRow, listRequestedAt: Long, now: Long): List<CellEvent> {
        val run = worker.runs[row.run.task]?.takeIf { it.order.run == row.run }
            ?: return stops.stopUntracked(worker, row.run, listRequestedAt, now)
        run.recordRunning(now)
        run.recordProgress(row.percent, now)
        run.stop?.onListed(listRequestedAt)
        if (run.stop == null) {
            if (!worker.isStalled(run, row.percent, now)) return emptyList()
            worker.health.eject(now)
        }
        return stops.stop(worker, run, now)
    }

    /** Handles runs that [report] should list but does not: stops those that may still start, and ends the others as lost. */
    private fun handleMissingRuns(worker: TrackedWorker, plan: LeasePlan, report: LeaseReport, now: Long): List<CellEvent> {
        val present = report.running.map { it.run }.toSet()
        return worker.runs.values.filter { it.order.run !in present && it.listedAfter < plan.sentAt }.flatMap { run ->
            if (!run.hasStarted && !run.isStopConfirmed) {
                // The start order may still reach the worker.
                stops.stop(worker, run, now)
            } else {
                if (run.hasStarted) worker.health.eject(now, UNREACHABLE_MS) else worker.health.orderLost(now, UNREACHABLE_MS)
                // Its end may be hidden by an acknowledgement of a higher number than the worker's own.
                if (run.hasStarted) worker.forgetEnds()
                listOf(worker.end(run, RunEnd.LOST))
            }
        }
    }

    /**
     * The worker has confirmed the stop of [run]. A run that never started has no end that would complete the pending lease call, so the
     * run list is polled at once.
     */
    fun onStopped(workerId: String, run: TaskRun, now: Long): List<CellEvent> = synchronized(lock) {
        val worker = workers[workerId] ?: return@synchronized emptyList()
        worker.untrackedRuns[run]?.stop?.recordConfirmed(now)
        val tracked = worker.runs[run.task]?.takeIf { it.order.run == run } ?: return@synchronized emptyList()
        tracked.recordStopConfirmed(now)
        if (tracked.hasStarted) emptyList() else listOf(CellEvent.PollRuns(workerId))
    }

    /** The worker did not answer the call of [plan]. */
    fun onNoAnswer(plan: LeasePlan) {
        synchronized(lock) { workers[plan.worker.id]?.isResponsive = false }
    }

    /**
     * The address that the call of [plan] was sent to belongs to another worker or incarnation. The runs that were ordered there before are
     * lost. The answer says nothing about a worker that has moved to another address meanwhile.
     */
    fun onOtherIncarnation(plan: LeasePlan, now: Long): List<CellEvent> = synchronized(lock) {
        val worker = workers[plan.worker.id] ?: return@synchronized emptyList()
        if (!worker.hasAddressOf(plan.worker)) return@synchronized emptyList()
        worker.isResponsive = false
        worker.health.eject(now)
        worker.forgetRunList()
        worker.runs.values.filter { it.orderedAt <= plan.sentAt }.map { worker.end(it, RunEnd.LOST) }
    }

    /** Stops the runs that [matches] selects. */
    fun stopRuns(now: Long, matches: (RunOrder) -> Boolean): List<CellEvent> = synchronized(lock) {
        workers.values.flatMap { worker ->
            worker.runs.values.filter { matches(it.order) && it.stop == null }.flatMap { stops.stop(worker, it, now) }
        }
    }

    /**
     * Stops runs that have not been wanted for long, repeats unconfirmed stops, and ends the runs of unresponsive workers whose lease has
     * expired: its length, the clock drift and a margin have passed since the last renewal was sent.
     */
    fun tick(now: Long): List<CellEvent> = synchronized(lock) {
        if (workers.values.all { it.runs.isEmpty() && it.untrackedRuns.isEmpty() }) return@synchronized emptyList()
        workers.values.forEach { stops.forgetExpired(it, now) }
        val ended = workers.values.filter { it.runs.isNotEmpty() && now > it.leaseEndsAt && !it.isResponsive }.flatMap { worker ->
            worker.health.eject(now)
            worker.runs.values.toList().map { worker.end(it, RunEnd.LOST) }
        }
        val stale = workers.values.flatMap { worker -> worker.staleRuns(now).flatMap { stops.stop(worker, it, now) } }
        ended + stale + workers.values.flatMap { stops.repeat(it, now) }
    }

    /** Ends all runs as lost without calls to the workers, which now belong to another owner. */
    fun abandon(): List<CellEvent> = synchronized(lock) {
        acceptsRuns = false
        workers.values.flatMap { worker -> worker.runs.values.toList().map { worker.end(it, RunEnd.LOST) } }
    }

    private companion object {
        const val MILLI = 1_000

        /** How long a worker is avoided after it could not be reached, in ms. */
        const val UNREACHABLE_MS = 500L
    }
}
