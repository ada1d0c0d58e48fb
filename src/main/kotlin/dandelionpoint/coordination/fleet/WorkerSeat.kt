/*
 * One worker as its keeper sees it: the runs it was told to start, the room that is left, its clock and its lease. A run occupies room
 * from the order on until its end is listed, or until the lease that it lives on has certainly expired.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.WorkerEntry
import kotlin.math.max

/** State of a run on a worker. */
internal enum class RunState {
    /** The order is on its way. */
    ORDERED,
    RUNNING,

    /** No answer to the order came: the next list of runs tells whether it was started. */
    UNCERTAIN,

    /** To be stopped; ends when the worker lists its end or confirms the stop. */
    STOPPING,
}

/** A run on a worker. [orderedAt] and [knownSince] are in ms on the VM's clock. */
internal class SeatedRun(val order: RunOrder, val orderedAt: Long) {
    var state = RunState.ORDERED

    /** Lists that are asked for later than this have the run, unless it has ended or never started. */
    var knownSince = Long.MAX_VALUE

    /** True once the worker has confirmed the start or listed the run. */
    var hasStarted = false
        private set

    /** True once the worker has confirmed the stop: a run that is not there yet will not start. */
    var isStopConfirmed = false
        private set

    /** The worker has the run, as its answer or list at [now] says. */
    fun seenRunning(now: Long) {
        if (!hasStarted) knownSince = now
        hasStarted = true
        if (state != RunState.STOPPING) state = RunState.RUNNING
    }

    /** The worker has confirmed the stop at [now]. The end is still to be listed: until then the run occupies its room. */
    fun stopConfirmed(now: Long) {
        state = RunState.STOPPING
        isStopConfirmed = true
        knownSince = now
    }
}

/** One worker. Not thread-safe. */
internal class WorkerSeat(var entry: WorkerEntry, private val rules: FleetRules) {
    val trust = WorkerTrust(rules)
    val runs = LinkedHashMap<TaskRef, SeatedRun>()

    /** Highest number of an end that was handled; the next call acknowledges it. */
    var handledEnd = 0L

    /** Highest number that a call has acknowledged. */
    var acknowledgedEnd = 0L

    /** True once this keeper has seen the worker's list of runs. */
    var isKnown = false

    /** False while the former keeper still has runs here. */
    var isReleased = true

    /** False while the worker leaves calls unanswered. */
    var isAnswering = true

    /** VM time at which all runs have ended at the latest if the lease is not renewed. */
    var leaseEndsAt = 0L
        private set

    /** Incarnation that the list of runs belongs to, 0 if unknown. */
    var bornMs = 0L

    private var clockMs = 0L
    private var clockReadAt = 0L

    /** The lease is renewed by a call at [now]. */
    fun extendLease(now: Long) {
        leaseEndsAt = max(leaseEndsAt, now + rules.longestLeaseMs)
    }

    /** Takes the worker's clock from an answer that came at [now]. */
    fun readClock(workerClockMs: Long, now: Long) {
        clockMs = workerClockMs
        clockReadAt = now
    }

    /** A time that the worker's clock has certainly reached at [now], up to its drift since the last answer. */
    fun workerClock(now: Long): Long = clockMs + (now - clockReadAt)

    fun used(): Demand = runs.values.fold(Demand(0)) { sum, run -> sum + run.order.demand }

    fun free(): Demand = entry.capacity - used()

    /** True if new runs may be started here at all. */
    fun isUsable(): Boolean = isKnown && isReleased && isAnswering && !entry.isDraining

    /** True if only the worker's list of runs is missing, which is on its way. */
    fun isExpected(): Boolean = !isKnown && isReleased && isAnswering && !entry.isDraining

    /** True if [order] can run here, now or when other runs have ended. */
    fun couldTake(order: RunOrder, now: Long): Boolean = isUsable() &&
        entry.pool == order.pool &&
        trust.runLimit(now) > 0 &&
        (order.requiredLabel == null || order.requiredLabel in entry.labels) &&
        entry.capacity.covers(order.demand)

    /** True if [order] fits at [now]. */
    fun fits(order: RunOrder, now: Long): Boolean = couldTake(order, now) &&
        runs.size < trust.runLimit(now) &&
        order.task !in runs &&
        (order.maxPerWorker == 0 || runs.values.count { it.order.sharesStepWith(order) } < order.maxPerWorker) &&
        free().covers(order.demand)

    /** Expected run time of [order] here, in ms. */
    fun expectedMs(order: RunOrder): Long = max(1L, (order.estimateMs / trust.speed).toLong())

    /**
     * True if [run], of which [percent] is done, is so far behind that another worker would finish it earlier. What it takes in all
     * counts for the worker's speed. Declared run times may be far too short, so that a run that makes progress is only moved once.
     */
    fun isStuck(run: SeatedRun, percent: Int, now: Long): Boolean {
        val elapsed = now - run.orderedAt
        val usualMs = max(run.order.estimateMs, 1L)
        if (elapsed < rules.stuckGraceMs + usualMs / 2) return false
        val projected = elapsed * 100 / max(percent, 1)
        if (projected < rules.stuckFactor * usualMs + rules.stuckGraceMs) return false
        if (run.order.run.run > 1) return percent == 0 && elapsed > usualMs + NO_PROGRESS_MS
        trust.observeSpeed(projected, run.order.estimateMs)
        return projected - elapsed >= 2 * usualMs
    }

    /** The worker's list of runs has to be read before it gets further runs. */
    fun forgetList() {
        handledEnd = 0
        acknowledgedEnd = 0
        isKnown = false
    }

    /** The list of runs that follows is that of the incarnation started at [bornMs]; its ends are numbered from 1. */
    fun startAnew(bornMs: Long) {
        forgetList()
        this.bornMs = bornMs
    }

    private companion object {
        /** A further run of a task without any progress is stopped after its declared run time and this, in ms. */
        const val NO_PROGRESS_MS = 600L
    }
}
