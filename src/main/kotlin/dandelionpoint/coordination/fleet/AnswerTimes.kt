/*
 * How long answers of workers take, as their keeper sees it, to tell a lost answer from a slow one. A keeper that has just started, or
 * that runs slowly itself, gets slow answers: it must not take them for lost and make more calls.
 */
package dandelionpoint.coordination.fleet

import kotlin.math.abs

/** Times of the answers to one keeper: smoothed mean and deviation as in RFC 6298. Thread-safe. */
internal class AnswerTimes(private val rules: FleetRules) {
    private var meanMs = rules.overdueMs.toDouble()
    private var deviationMs = meanMs / 2

    /** An answer came after [elapsedMs], or was given up after that time. */
    @Synchronized
    fun add(elapsedMs: Long) {
        deviationMs += DEVIATION_WEIGHT * (abs(elapsedMs - meanMs) - deviationMs)
        meanMs += MEAN_WEIGHT * (elapsedMs - meanMs)
    }

    /** True if an answer that is overdue has almost certainly been lost. */
    @get:Synchronized
    val areFast: Boolean get() = meanMs + DEVIATIONS * deviationMs <= rules.overdueMs

    private companion object {
        const val MEAN_WEIGHT = 1.0 / 8
        const val DEVIATION_WEIGHT = 1.0 / 4
        const val DEVIATIONS = 4
    }
}
