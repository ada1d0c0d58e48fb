/* Rate limit of the stand-in's stores. */
package dandelionpoint.standin.store

import dandelionpoint.protocol.Clock

/**
 * A token bucket of [perSecond] units a second that holds at most [burst]. A call is admitted while a unit is left. Units beyond the
 * first are charged when the call's cost is known and may make the balance negative, so that a large call delays later ones but is
 * never refused for its size.
 */
internal class RateLimit(private val perSecond: Int, private val clock: Clock, private val burst: Double = perSecond * BURST_SECONDS) {
    private var balance = burst
    private var updatedNanos = clock.nanos()

    /** Admits a call and charges one unit, or returns false. */
    @Synchronized
    fun tryAdmit(): Boolean {
        refill()
        if (balance < 1) return false
        balance -= 1
        return true
    }

    /** Charges [units] more for a call that was admitted. */
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
        /** A quarter of a second: 100 writes at the default rate, enough for one write to each shard at once. */
        const val BURST_SECONDS = 0.25
        const val NANOS_PER_SECOND = 1e9
    }
}
