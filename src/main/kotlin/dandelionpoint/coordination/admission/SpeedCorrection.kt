/* Corrects the capacity used in predictions by how fast tasks really run. */
package dandelionpoint.coordination.admission

/**
 * Ratio of the average expected run time at the mean speed of the workers to the average measured one: below 1 if run time estimates are
 * too low or workers are slower than estimated. Thread-safe.
 */
internal class SpeedCorrection {
    private var elapsedMs = 1.0
    private var expectedMs = 1.0

    @Volatile
    var factor = 1.0
        private set

    /** Adds a task that took [elapsed] ms and was expected to take [expected] ms. Each task has a weight of 1 % in the averages. */
    @Synchronized
    fun record(elapsed: Double, expected: Double) {
        elapsedMs += SAMPLE_WEIGHT * (elapsed - elapsedMs)
        expectedMs += SAMPLE_WEIGHT * (expected - expectedMs)
        factor = (expectedMs / maxOf(elapsedMs, 1.0)).coerceIn(1 / MAX_FACTOR, MAX_FACTOR)
    }

    private companion object {
        const val SAMPLE_WEIGHT = 0.01

        /** Bound of [factor] in both directions, against tasks that fail at once and task classes without a usable estimate. */
        const val MAX_FACTOR = 4.0
    }
}
