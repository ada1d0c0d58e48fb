/*
 * One worker as its cell's owner tracks it: the runs that it was ordered to start, its free capacity, clock and lease. A run occupies
 * capacity from its start order until the worker lists its end, or until the lease has expired with the clock drift allowed for. This holds
 * for runs that the owner does not track as well.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.LeaseReport
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import kotlin.math.max
import kotlin.math.min

/** State of a run on a worker. */
internal enum class RunState {
    /** The start order has been sent and is not answered yet. */
    ORDERED,
    RUNNING,

    /** The start order was not answered; the worker's next run list shows whether the run was started. */
    UNCERTAIN,

    /** A stop was requested. The run ends when the worker lists its end, or no longer lists it after confirming the stop. */
    STOPPING,
}

/**
 * A run on a worker. [orderedAt] and [listedAfter] are in ms on the VM's monotonic clock. [wantedAt] is the last date at which the run was
 * certainly wanted, see [RunDemand]; it does not change once the stop of the run was requested.
 */
internal class TrackedRun(val order: RunOrder, val orderedAt: Long, var wantedAt: Long = order.wantedAt) {
    var state = RunState.ORDERED

    /** When the run was first found not to have been wanted for longer than a lease, null if it has been wanted since. */
    var staleSince: Long? = null

    /** A run list that was requested later than this contains the run, unless it has ended or never started. */
    var listedAfter = Long.MAX_VALUE

    /** Total run time by the last report of the run's progress, in ms; null if there was none that shows progress. */
    var projectedMs: Long? = null
        private set

    /** Records that [percent] of the run's work were done at [now]. */
    fun recordProgress(percent: Int, now: Long) {
        if (percent >= MIN_PERCENT) projectedMs = (now - orderedAt) * 100 / percent
    }

    /** True once the worker has confirmed the start or listed the run. */
    var hasStarted = false
        private set

    /** The request to stop this run, null if there was none. */
    var stop: StopRequest? = null
        private set

    /** True once the worker has confirmed the stop. If it has not started the run by then, it never will. */
    val isStopConfirmed: Boolean get() = stop?.isConfirmed == true

    /** Requests the stop of this run on [date], from which on it is not wanted any more. */
    fun requestStop(request: StopRequest, date: Long) {
        wantedAt = min(wantedAt, date)
        state = RunState.STOPPING
        stop = request
    }

    /** Records that the worker has the run, according to its answer or run list received at [now]. */
    fun recordRunning(now: Long) {
        if (!hasStarted) listedAfter = now
        hasStarted = true
        if (state != RunState.STOPPING) state = RunState.RUNNING
    }

    /** Records that the worker confirmed the stop at [now]. The run still occupies capacity until a run list shows that it has ended. */
    fun recordStopConfirmed(now: Long) {
        stop?.recordConfirmed(now)
        listedAfter = now
    }

    private companion object {
        /** Less progress says little about the run time. */
        const val MIN_PERCENT = 20
    }
}

/**
 * One worker with its runs, lease and clock. Not thread-safe. Times are in ms on the VM's monotonic clock unless stated otherwise, and
 * dates are those of [demand].
 */
internal class TrackedWorker(
    var entry: WorkerEntry,
    private val rules: FleetRules,
    private val demand: RunDemand = RunDemand.Always,
    labelSpeeds: LabelSpeeds = LabelSpeeds(),
) {
    val health = LeasedWorkerHealth(rules, labelSpeeds) { entry.labels }

    /** Runs that occupy capacity; changed only by [addRun] and [removeRun]. */
    val runs: Map<TaskRef, TrackedRun> get() = trackedRuns
    private val trackedRuns = LinkedHashMap<TaskRef, TrackedRun>()
    private var usedByRuns = Demand(0)

    /** Started by a former owner, or by an order that was carried out after its run had been taken for lost. */
    val untrackedRuns = LinkedHashMap<TaskRun, UntrackedRun>()

    /** Demands of the last runs that were taken for lost or for not started. */
    val pastDemands = LinkedHashMap<TaskRun, Demand>()

    /** Highest number of an ended run that was handled; the next call acknowledges it. */
    var handledEnd = 0L

    /** Highest number of an ended run that an answered call has acknowledged. */
    var acknowledgedEnd = 0L

    /** True once this owner has received the worker's run list. */
    var hasRunList = false

    /** False while the former owner still has runs on this worker. */
    var isReleased = true

    /** False after a call that the worker did not answer, until its next run list. */
    var isResponsive = true

    /** Time at which all runs have ended at the latest if the lease is not renewed. */
    var leaseEndsAt = 0L
        private set

    private var grantedUntil = 0L

    /** Start of the incarnation that the run list belongs to (wall clock, ms), 0 if unknown. */
    var startedAtMs = 0L

    private var clockMs = 0L
    private var clockRecordedAt = 0L

    /**
     * The longest lease, in ms, that a call sent at [now] may give to this worker. The lease ends at the latest one lease after the last
     * date at which each run here was wanted. A run with a confirmed stop does not count. There is no renewal while an untracked run's stop
     * is unconfirmed, so that the run ends with the lease that its former owner counts on.
     */
    fun leaseLength(now: Long): Long {
        if (untrackedRuns.values.any { !it.stop.isConfirmed }) return 0
        val oldest = runs.values.filter { !it.isStopConfirmed }.minOfOrNull { lastWantedAt(it) } ?: return rules.leaseMs
        return min(rules.leaseMs, oldest + rules.leaseMs - demand.dateOf(now))
    }

    /** The date of a VM that has been lost since, or before the stop of [run] was requested, is still the one that counts. */
    private fun lastWantedAt(run: TrackedRun): Long {
        if (run.stop == null) demand.wantedAt(run.order)?.let { run.wantedAt = max(run.wantedAt, it) }
        return run.wantedAt
    }

    /** The last date at which the run of [order], which is not started yet, was wanted; null if a VM that wants it is lost or unknown. */
    private fun lastWantedAt(order: RunOrder): Long? = demand.wantedAt(order)?.let { max(order.wantedAt, it) }

    /** Adds the run of [order], which is ordered at [now]. */
    fun addRun(order: RunOrder, now: Long) {
        removeRun(order.task)
        trackedRuns[order.task] = TrackedRun(order, now, wantedAt = lastWantedAt(order) ?: order.wantedAt)
        usedByRuns += order.demand
    }

    /** Removes the run of [task], which occupies no capacity any more. */
    fun removeRun(task: TaskRef) {
        trackedRuns.remove(task)?.let { usedByRuns -= it.order.demand }
    }

    /**
     * Runs that have not been wanted for so long at [now] that their worker's lease will end soon. Their stops, unlike the end of the
     * lease, leave the worker's other runs in progress.
     */
    fun staleRuns(now: Long): List<TrackedRun> = runs.values.filter { it.stop == null && isStale(it, now) }

    /**
     * After a step of the wall clock, or a pause of this process, demand may seem older than a lease at once. It then has the time in which
     * a heartbeat arrives to be confirmed.
     */
    private fun isStale(run: TrackedRun, now: Long): Boolean {
        val ageMs = demand.dateOf(now) - lastWantedAt(run)
        if (ageMs <= rules.demandStaleMs) run.staleSince = null
        if (ageMs <= rules.leaseMs) return ageMs > rules.demandStaleMs
        val since = run.staleSince ?: now.also { run.staleSince = now }
        return now - since > STALE_CONFIRM_MS
    }

    /** Records that a call sent at [now] renews the lease for [lengthMs]. */
    fun extendLease(now: Long, lengthMs: Long) {
        grantedUntil = max(grantedUntil, now + lengthMs)
        leaseEndsAt = max(leaseEndsAt, now + rules.longestLeaseMs(lengthMs))
    }

    /** Records the worker's clock from an answer received at [now]. */
    fun recordClock(workerClockMs: Long, now: Long) {
        clockMs = workerClockMs
        clockRecordedAt = now
    }

    /** Lower bound of the worker's clock at [now]: it may have run slow since the last answer. */
    fun workerClock(now: Long): Long = clockMs + (now - clockRecordedAt) * (PERCENT - CLOCK_DRIFT_PERCENT) / PERCENT

    /** True if the clock was read so long ago that its lower bound would make leases much shorter. */
    fun isClockStale(now: Long): Boolean = now - clockRecordedAt > rules.maxClockAgeMs

    /** Capacity that the tracked runs occupy. */
    fun used(): Demand = usedByRuns

    /** True if [other] is reached at this worker's current address. */
    fun hasAddressOf(other: WorkerEntry): Boolean = entry.host == other.host && entry.port == other.port

    /**
     * False while the run list shows a later start than the entry. The entry has then the labels and the capacity of an earlier
     * incarnation, and the present one may be of another kind. A start time of 0 is unknown.
     *
     * Invariant: no run is started by an entry or a run list of an earlier incarnation. The order goes only to the incarnation whose run
     * list was read, however long ago that was: see [dandelionpoint.protocol.fleet.StartOrder.startedAtMs].
     */
    fun hasCurrentEntry(): Boolean = entry.startedAtMs == 0L || startedAtMs <= entry.startedAtMs

    /** True if new runs may be started on this worker. */
    fun isUsable(): Boolean = hasRunList && hasCurrentEntry() && isReleased && isResponsive && !entry.isDraining

    /** True if the worker would be usable but for its first run list, which has not arrived yet. */
    fun isAwaitingRunList(): Boolean = !hasRunList && isReleased && isResponsive && !entry.isDraining

    /** True if [order] can run on this worker, now or after other runs have ended. */
    fun couldRun(order: RunOrder, now: Long): Boolean = isUsable() &&
        entry.pool == order.pool &&
        health.runLimit(now) > 0 &&
        (order.requiredLabel == null || order.requiredLabel in entry.labels) &&
        entry.capacity.covers(order.demand)

    /** True if [order] can be started on this worker at [now]. On a full pool most workers are ruled out by the first check. */
    fun fits(order: RunOrder, now: Long): Boolean = free().covers(order.demand) &&
        couldRun(order, now) &&
        runs.size < health.runLimit(now) &&
        leaseLength(now) >= rules.shortestFirstLeaseMs &&
        mayJoinLease(order, now) &&
        (order.maxPerWorker == 0 || runsOfStep(order) < order.maxPerWorker) &&
        !hasRunOfUnknownDemand()

    /**
     * A lease is never shortened, so a run is not started under one that reaches much further than its own demand allows, nor for a VM that
     * is lost or unknown.
     */
    private fun mayJoinLease(order: RunOrder, now: Long): Boolean {
        val wantedAt = lastWantedAt(order) ?: return false
        val lengthMs = wantedAt + rules.leaseMs - demand.dateOf(now)
        return lengthMs >= rules.shortestFirstLeaseMs && grantedUntil <= now + lengthMs + rules.joinMarginMs
    }

    /** The workers with the label of the rack that [order] names, if any, run it without the penalty. */
    fun isInRack(order: RunOrder): Boolean = order.rack == null || order.rack in entry.labels

    /** Estimated run time of [order] in ms on a worker of average speed that is in the same rack as this one. */
    fun averageMs(order: RunOrder): Long = if (isInRack(order)) order.estimateMs else (order.estimateMs * rules.remotePenalty).toLong()

    /** Expected run time of [order] on this worker in ms, much longer on the worker to avoid. */
    fun expectedMs(order: RunOrder): Long {
        val avoidMs = if (entry.id == order.avoid) AVOID_COST_MS else 0
        return max(1L, (averageMs(order) / health.speed).toLong()) + avoidMs
    }

    /**
     * True if [run], of which [percent] is done, is so far behind that another worker would finish it earlier. Its projected total run
     * time also enters the estimate of the worker's speed. Declared run times may be far too short, so a run that makes progress is
     * moved only once.
     */
    fun isStalled(run: TrackedRun, percent: Int, now: Long): Boolean {
        val elapsed = now - run.orderedAt
        val usualMs = max(averageMs(run.order), 1L)
        if (elapsed < rules.stalledGraceMs + usualMs / 2) return false
        val projected = elapsed * 100 / max(percent, 1)
        if (projected < rules.stalledFactor * usualMs + rules.stalledGraceMs) return false
        if (run.order.run.run > 1) return percent == 0 && elapsed > usualMs + NO_PROGRESS_MS
        health.observeSpeed(projected, usualMs)
        return projected - elapsed >= 2 * usualMs
    }

    /** True while a run of [task] is, or may be, in progress on this worker. */
    fun hasTask(task: TaskRef): Boolean = task in runs || untrackedRuns.keys.any { it.task == task }

    /** True if [listed], the worker's new entry in the list of workers, shows a later start than its run list. */
    fun hasRestarted(listed: WorkerEntry): Boolean =
        startedAtMs != 0L && listed.startedAtMs > startedAtMs && listed.startedAtMs != entry.startedAtMs

    /**
     * True if [report], the answer to the call of [plan], comes from an earlier incarnation. The call has then been sent before the present
     * incarnation was known. A call that was sent later is answered by the present incarnation or a later one: a start time that is earlier
     * than the known one shows that the known one was false.
     */
    fun isOutdated(plan: LeasePlan, report: LeaseReport): Boolean =
        report.startedAtMs != 0L && report.startedAtMs < startedAtMs && plan.incarnationMs != startedAtMs

    /** Discards what is known from run lists: the worker gets no further runs before its run list has been read again. */
    fun forgetRunList() {
        forgetEnds()
        hasRunList = false
    }

    /** Discards the numbers of the ended runs, so that the next call acknowledges none and all listed ends count. */
    fun forgetEnds() {
        handledEnd = 0
        acknowledgedEnd = 0
    }

    /** The worker has restarted at [startedAtMs]. The new incarnation numbers its ended runs from 1. */
    fun onRestart(startedAtMs: Long) {
        forgetRunList()
        health.forgetSpeed()
        this.startedAtMs = startedAtMs
    }

    private companion object {
        /** A repeated run of a task that makes no progress is stopped this long after its declared run time, in ms. */
        const val NO_PROGRESS_MS = 600L
        const val PERCENT = 100

        /** Heartbeats that were made after a step of the wall clock or a pause arrive within this time, in ms. */
        const val STALE_CONFIRM_MS = 350L

        /** Added to the expected run time on a worker to avoid, in ms, so that it is the last choice. */
        const val AVOID_COST_MS = 1_000_000L

        /** The clock of a worker runs at most this much slow. */
        const val CLOCK_DRIFT_PERCENT = 2
    }
}
