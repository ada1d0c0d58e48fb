/*
 * What the next lease call to a worker says: it renews the lease while there are runs, acknowledges handled ends, and learns the list of
 * runs of a worker that is new. After a lost call the keeper waits less in each call, so that a further loss hides few ends, unless it gets
 * slow answers: then more calls would make it slower still.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.LeaseCall
import dandelionpoint.protocol.fleet.WorkerEntry

/** A lease call that the keeper has to send to [worker]. [sentAt] goes back into [Cell.onReport]. */
internal data class LeasePlan(val worker: WorkerEntry, val call: LeaseCall, val sentAt: Long)

/** Plans the lease calls under [token]. Not thread-safe. Times are in ms on the VM's monotonic clock. */
internal class LeasePlanner(private val token: Long, private val rules: FleetRules, private val areAnswersFast: () -> Boolean) {
    private var callLostAt = Long.MIN_VALUE / 2

    /** A call to a worker was lost. */
    fun callLost(now: Long) {
        callLostAt = now
    }

    /** The next call to the worker of [seat], or null if none is due. */
    fun next(seat: WorkerSeat, now: Long): LeasePlan? {
        val call = when {
            !seat.isReleased -> return null

            !seat.isKnown -> LeaseCall(token, seenEnd = 0, leaseUntilMs = null, waitMs = 0)

            // A call that may not arrive does not renew the lease, so that the runs end at a known time.
            !seat.isAnswering -> LeaseCall(token, seat.handledEnd, leaseUntilMs = null, waitMs = 0)

            seat.runs.isNotEmpty() -> {
                seat.extendLease(now)
                LeaseCall(token, seat.handledEnd, seat.workerClock(now) + rules.leaseMs, waitMs(seat, now))
            }

            seat.handledEnd > seat.acknowledgedEnd -> LeaseCall(token, seat.handledEnd, leaseUntilMs = null, waitMs = 0)

            else -> return null
        }
        return LeasePlan(seat.entry, call, now)
    }

    private fun waitMs(seat: WorkerSeat, now: Long): Int = when {
        seat.runs.values.any { it.state == RunState.UNCERTAIN } -> 0
        now - callLostAt < rules.troubleMs && areAnswersFast() -> rules.troubledRenewMs
        else -> rules.renewMs
    }

    /** A call for the list of runs as it is now. */
    fun look(seat: WorkerSeat, now: Long): LeasePlan =
        LeasePlan(seat.entry, LeaseCall(token, seat.handledEnd, leaseUntilMs = null, waitMs = 0), now)
}
