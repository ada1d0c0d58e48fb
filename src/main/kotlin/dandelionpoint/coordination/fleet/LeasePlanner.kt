/*
 * Decides which lease the next call to a worker contains. It renews the lease while the worker has runs, acknowledges handled ends, and
 * reads the run list of a worker that is new to this owner. For a period after a lost call, calls ask the worker to wait less, so that a
 * further loss delays the reports of few ended runs. This is not done while answers are slow: more calls would then slow the owner further.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.LeaseCall
import dandelionpoint.protocol.fleet.WorkerEntry

/**
 * A lease call that the controller has to send to [worker], whose incarnation is known to have started at [incarnationMs] when the call is
 * sent. It passes the plan to [Cell.onReport] with the answer.
 */
internal data class LeasePlan(val worker: WorkerEntry, val call: LeaseCall, val sentAt: Long, val incarnationMs: Long)

/** Plans the lease calls under the fencing token [token]. Not thread-safe. Times are in ms on the VM's monotonic clock. */
internal class LeasePlanner(private val token: Long, private val rules: FleetRules, private val areAnswersFast: () -> Boolean) {
    private var callLostAt = Long.MIN_VALUE / 2

    /** Records that a call to a worker was lost. */
    fun onCallLost(now: Long) {
        callLostAt = now
    }

    /** The next call to [worker], or null if none is due. */
    fun next(worker: TrackedWorker, now: Long): LeasePlan? {
        val call = when {
            !worker.isReleased -> return null

            !worker.hasRunList -> LeaseCall(token, seenEnd = 0, leaseUntilMs = null, waitMs = 0)

            // A call to an unresponsive worker does not renew the lease, so that its runs end at a known time.
            !worker.isResponsive -> LeaseCall(token, worker.handledEnd, leaseUntilMs = null, waitMs = 0)

            // The answer contains the clock from which the next call's lease is counted.
            worker.runs.isNotEmpty() && worker.isClockStale(now) -> LeaseCall(token, worker.handledEnd, leaseUntilMs = null, waitMs = 0)

            worker.runs.isNotEmpty() -> LeaseCall(token, worker.handledEnd, renewedLease(worker, now), waitMs(worker, now))

            // The answer shows when the untracked runs have ended.
            worker.untrackedRuns.isNotEmpty() -> LeaseCall(token, worker.handledEnd, leaseUntilMs = null, waitMs(worker, now))

            // A start time that is later than the entry's may be false: the answer shows it once more.
            !worker.hasCurrentEntry() -> LeaseCall(token, worker.handledEnd, leaseUntilMs = null, waitMs(worker, now))

            worker.handledEnd > worker.acknowledgedEnd -> LeaseCall(token, worker.handledEnd, leaseUntilMs = null, waitMs = 0)

            else -> return null
        }
        return LeasePlan(worker.entry, call, now, worker.startedAtMs)
    }

    /** End of the renewed lease on the worker's clock, or null if no renewal is allowed. */
    private fun renewedLease(worker: TrackedWorker, now: Long): Long? {
        val lengthMs = worker.leaseLength(now)
        if (lengthMs <= 0) return null
        worker.extendLease(now, lengthMs)
        return worker.workerClock(now) + lengthMs
    }

    /**
     * The start order for [order] on [worker]. Its lease ends at the latest when [Cell.tick] takes it for expired, so that an order which
     * is carried out after that is refused: it is counted from a lower bound of the worker's clock.
     */
    fun placement(worker: TrackedWorker, order: RunOrder, now: Long): Placement {
        val lengthMs = worker.leaseLength(now)
        worker.extendLease(now, lengthMs)
        return Placement(worker.entry, order, worker.workerClock(now) + lengthMs, worker.startedAtMs, worker.isClockStale(now))
    }

    private fun waitMs(worker: TrackedWorker, now: Long): Int = when {
        worker.runs.values.any { it.state == RunState.UNCERTAIN } -> 0
        now - callLostAt < rules.degradedPeriodMs && areAnswersFast() -> rules.degradedRenewMs
        else -> rules.renewMs
    }

    /** A poll of the run list that the worker answers at once. */
    fun poll(worker: TrackedWorker, now: Long): LeasePlan =
        LeasePlan(worker.entry, LeaseCall(token, worker.handledEnd, leaseUntilMs = null, waitMs = 0), now, worker.startedAtMs)
}
