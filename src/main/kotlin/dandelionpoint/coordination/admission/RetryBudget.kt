/* Limits the calls beyond the first for a request. */
package dandelionpoint.coordination.admission

/**
 * A token bucket that requests fill: each request adds [share] of a token, up to [burst] tokens, and each extra call takes one token. A
 * preset can change [share]. Retries (2 % of requests) and hedges (1 %) have a budget each, so that neither uses up the tokens of the
 * other. Thread-safe.
 */
internal class RetryBudget(private val burst: Double = BURST, private val share: () -> Double) {
    constructor(share: Double = RETRY_SHARE, burst: Double = BURST) : this(burst, { share })

    private var tokens = burst

    /** Counts one request. */
    @Synchronized
    fun onRequest() {
        tokens = minOf(burst, tokens + share())
    }

    /** Takes a token for one extra call. If it returns false, the budget is used up and the call must not be made. */
    @Synchronized
    fun tryTake(): Boolean {
        if (tokens < 1) return false
        tokens -= 1
        return true
    }

    companion object {
        const val RETRY_SHARE = 0.02
        const val HEDGE_SHARE = 0.01

        /** Extra calls that may be made at once after a time without any. */
        const val BURST = 10.0
    }
}
