/* Decides when to send a second copy of a request (a hedge). */
package dandelionpoint.coordination.admission

/** State of a request in progress. [expectedP95Ms] is the p95 run time of its task class, null until it is known. */
internal data class RequestProgress(
    val isIdempotent: Boolean,
    val elapsedMs: Double,
    val expectedP95Ms: Double?,
    val calls: Int,
    val remainingMs: Double,
)

/** Decides whether to hedge a request; each hedge takes a token from [budget]. */
internal class HedgeRule(private val budget: RetryBudget) {
    /**
     * True if a second copy should be sent now: the request is idempotent, has one call that takes longer than the p95 of its class,
     * and a copy of typical length would still end by the deadline. A non-idempotent request is never sent twice.
     */
    fun shouldHedge(request: RequestProgress): Boolean {
        val p95Ms = request.expectedP95Ms ?: return false
        val isSlow = request.elapsedMs > p95Ms
        val hasTime = request.remainingMs >= p95Ms
        return request.isIdempotent && request.calls == 1 && isSlow && hasTime && budget.tryTake()
    }
}
