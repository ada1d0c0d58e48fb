/*
 * Response times of workers as the cell's owner measures them, to tell a lost answer from a slow one. An owner VM that has just started
 * or is slow itself sees slow answers; it must not take them for lost, since it would then make even more calls.
 */
package dandelionpoint.coordination.fleet

import kotlin.math.abs

/** Smoothed mean and deviation of response times in ms, as in RFC 6298, for one cell. Thread-safe. */
internal class WorkerResponseTimes(private val rules: FleetRules) {
    private var meanMs = rules.overdueMs.toDouble()
    private var deviationMs = meanMs / 2

    /** Records an answer that arrived after [elapsedMs], or a call that timed out after that time. */
    @Synchronized
    fun add(elapsedMs: Long) {
        deviationMs += DEVIATION_WEIGHT * (abs(elapsedMs - meanMs) - deviationMs)
        meanMs += MEAN_WEIGHT * (elapsedMs - meanMs)
    }

    /** True if answers usually arrive within [FleetRules.overdueMs], so that an overdue one has almost certainly been lost. */
    @get:Synchronized
    val areFast: Boolean get() = meanMs + DEVIATIONS * deviationMs <= rules.overdueMs

    private companion object {
        const val MEAN_WEIGHT = 1.0 / 8
        const val DEVIATION_WEIGHT = 1.0 / 4
        const val DEVIATIONS = 4
    }
}
