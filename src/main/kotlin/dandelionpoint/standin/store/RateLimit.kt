package dandelionpoint.standin.store

import dandelionpoint.protocol.Clock

/**
 * A token bucket that is filled with [perSecond] units per second, up to [burst]. A call is admitted if at least one unit is available.
 * Units beyond the first are charged when the call's cost is known and may make the balance negative, so that a large call delays later
 * ones but is never refused because of its size.
 */
internal class RateLimit(private val perSecond: Int, private val clock: Clock, private val burst: Double = perSecond * BURST_SECONDS) {
    private var balance = burst
    private var updatedNanos = clock.nanos()

    /** Charges one unit and returns true, or returns false if no whole unit is available. */
    @Synchronized
    fun tryAdmit(): Boolean {
        refill()
        if (balance < 1) return false
        balance -= 1
        return true
    }

    /** Charges [units] more for an admitted call. */
    @Synchronized
    fun charge(units: Int) {
        balance -= units
    }

    private fun refill() {
        val now = clock.nanos()
        balance = minOf(burst, balance + (now - updatedNanos) * perSecond / NANOS_PER_SECOND)
        updatedNanos = now
    }

    private companion object {
        /** 100 writes at the default rate, enough for one write to each shard at the same time. */
        const val BURST_SECONDS = 0.25
        const val NANOS_PER_SECOND = 1e9
    }
}
