/* Expected run times of task classes. */
package dandelionpoint.coordination.placement

import java.util.concurrent.ConcurrentHashMap

/** EWMA of the run times of each task class over all workers. At most [maxClasses] classes are kept; others use declared times. */
internal class RunTimeEstimates(private val maxClasses: Int = MAX_CLASSES) {
    private class Estimate {
        @Volatile
        var meanMs = 0.0

        @Volatile
        var samples = 0

        @Synchronized
        fun add(elapsedMs: Double) {
            val count = samples + 1
            // A task on a paused worker is not typical of its class. Without a bound, its run time would make admission refuse later jobs.
            val sampleMs = if (samples >= MIN_SAMPLES) minOf(elapsedMs, OUTLIER_FACTOR * meanMs) else elapsedMs
            meanMs += (sampleMs - meanMs) * maxOf(1.0 / count, EWMA_WEIGHT)
            samples = count
        }
    }

    private val estimates = ConcurrentHashMap<String, Estimate>()

    /** Expected run time in ms: the declared time until [MIN_SAMPLES] tasks of the class have ended. */
    fun expectedMs(taskClass: String, declaredMs: Int): Double {
        val estimate = estimates[taskClass]
        if (estimate != null && estimate.samples >= MIN_SAMPLES) return estimate.meanMs
        return if (declaredMs > 0) declaredMs.toDouble() else UNDECLARED_MS
    }

    /** True once the mean of the class is measured, so that the speed of a worker can be derived from a comparison with it. */
    fun isMeasured(taskClass: String): Boolean = (estimates[taskClass]?.samples ?: 0) >= MIN_SAMPLES

    fun add(taskClass: String, elapsedMs: Double) {
        val estimate =
            estimates[taskClass] ?: if (estimates.size >= maxClasses) null else estimates.computeIfAbsent(taskClass) { Estimate() }
        estimate?.add(maxOf(MIN_ELAPSED_MS, elapsedMs))
    }

    private companion object {
        const val MAX_CLASSES = 1_000

        /** Number of samples from which the mean is used instead of declared times. */
        const val MIN_SAMPLES = 5

        /** A sample is limited to this many times the mean. */
        const val OUTLIER_FACTOR = 8.0
        const val EWMA_WEIGHT = 0.02
        const val MIN_ELAPSED_MS = 0.01

        /** Assumed for a task without a declared time: most tasks take 50 ms to 1 s. */
        const val UNDECLARED_MS = 300.0
    }
}
