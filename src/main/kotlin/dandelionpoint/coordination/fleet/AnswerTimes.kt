/*
 * How long answers of workers usually take, as their keeper sees it, to tell a lost answer from a slow one. Smoothed mean and deviation
 * as in RFC 6298. A keeper that has just started, or that runs slowly itself, waits longer before it takes an answer for lost.
 */
package dandelionpoint.coordination.fleet

import kotlin.math.abs

/** Times of the answers to one keeper. Thread-safe. */
internal class AnswerTimes(private val rules: FleetRules) {
    private var meanMs = 0.0
    private var deviationMs = 0.0
    private var hasSample = false

    /** An answer came after [elapsedMs]. */
    @Synchronized
    fun add(elapsedMs: Long) {
        if (hasSample) {
            deviationMs += DEVIATION_WEIGHT * (abs(elapsedMs - meanMs) - deviationMs)
            meanMs += MEAN_WEIGHT * (elapsedMs - meanMs)
        } else {
            meanMs = elapsedMs.toDouble()
            deviationMs = meanMs / 2
            hasSample = true
        }
    }

    /** An answer that takes longer than this, in ms, is overdue. */
    @Synchronized
    fun overdueMs(): Long = if (hasSample) {
        (meanMs + DEVIATIONS * deviationMs).toLong().coerceIn(rules.overdueMinMs, rules.startTimeoutMs)
    } else {
        rules.startTimeoutMs
    }

    private companion object {
        const val MEAN_WEIGHT = 1.0 / 8
        const val DEVIATION_WEIGHT = 1.0 / 4
        const val DEVIATIONS = 4
    }
}
