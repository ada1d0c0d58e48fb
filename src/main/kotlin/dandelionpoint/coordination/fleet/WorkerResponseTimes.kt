/*
 * Response times of workers as an owner VM measures them, to tell a lost answer from a slow one. An owner VM that has just started or is
 * slow itself sees slow answers; it must not take them for lost, since it would then make even more calls. A quantile of the latest calls
 * decides, not a mean: a few lost calls, which count with the time after which they were given up, then leave the estimate as it is.
 */
package dandelionpoint.coordination.fleet

/** Response times in ms of the latest calls of one VM. Thread-safe. */
internal class WorkerResponseTimes(private val rules: FleetRules) {
    private val latest = LongArray(WINDOW)
    private var count = 0

    /** An answer is overdue after this time in ms; null if answers are slow or too few are known, so that none is taken for lost. */
    @Volatile
    var overdueMs: Long? = null
        private set

    /** True if answers are usually fast, so that an overdue one has almost certainly been lost. */
    val areFast: Boolean get() = overdueMs != null

    /** Records an answer that arrived after [elapsedMs], or a call that timed out after that time. */
    @Synchronized
    fun add(elapsedMs: Long) {
        latest[count++ % WINDOW] = elapsedMs
        overdueMs = if (count < WINDOW) null else estimate()
    }

    private fun estimate(): Long? {
        val usual = latest.sortedArray()[QUANTILE_INDEX]
        return (FACTOR * usual).coerceAtLeast(rules.leastOverdueMs).takeIf { it <= rules.overdueMs }
    }

    private companion object {
        /** Number of calls of which the response times count. */
        const val WINDOW = 8

        /** Index of the upper quartile of a sorted window. */
        const val QUANTILE_INDEX = 5

        /** An answer is overdue after this many times the upper quartile. */
        const val FACTOR = 3
    }
}
