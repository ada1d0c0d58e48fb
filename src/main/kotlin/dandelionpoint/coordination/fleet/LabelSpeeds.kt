/*
 * Speeds of workers by label, for workers without observed runs of their own: those that are new or have restarted. The label of a kind of
 * machine tells the speed; one that unlike machines share, such as that of a rack or of the whole pool, does not. Speeds are relative to
 * the run times that the jobs estimate.
 */
package dandelionpoint.coordination.fleet

import java.util.concurrent.ConcurrentHashMap
import kotlin.math.abs
import kotlin.math.max

/** Speeds that were observed on the workers of this VM's cells, by label. Thread-safe. */
internal class LabelSpeeds {
    /** Smoothed speed of [runs] observed runs, and the mean of their absolute deviations from it. */
    private class Observed(val runs: Int, val speed: Double, val deviation: Double) {
        val isUniform: Boolean get() = deviation <= MAX_DEVIATION * speed

        fun tellsMoreThan(other: Observed): Boolean = if (isUniform == other.isUniform) runs > other.runs else isUniform

        fun with(observed: Double): Observed {
            val weight = max(1.0 / (runs + 1), WEIGHT)
            val error = observed - speed
            return Observed(runs + 1, speed + weight * error, deviation + weight * (abs(error) - deviation))
        }
    }

    private val byLabel = ConcurrentHashMap<String, Observed>()

    /** Records that a run on a worker with [labels] has shown [speed]. */
    fun observe(labels: Set<String>, speed: Double) = labels.forEach { label ->
        byLabel.compute(label) { _, earlier -> earlier?.with(speed) ?: Observed(runs = 1, speed, deviation = 0.0) }
    }

    /**
     * The speed of that one of [labels] for which most runs have been observed; labels on whose workers the speed differs much are used
     * only if there is no other. Null if too few runs have been observed.
     */
    fun speedOf(labels: Set<String>): Double? {
        var best: Observed? = null
        for (label in labels) {
            val observed = byLabel[label]?.takeIf { it.runs >= MIN_RUNS } ?: continue
            if (best == null || observed.tellsMoreThan(best)) best = observed
        }
        return best?.speed
    }

    private companion object {
        /** Fewer runs say little, since estimates are wrong by up to 40 %. */
        const val MIN_RUNS = 10

        /** Weight of a new observation. */
        const val WEIGHT = 0.02

        /**
         * Estimates that are wrong by up to 40 % make a mean deviation of 0.2 on workers of one speed; workers with the speeds 0.7, 0.7 and
         * 1.7 make one of 0.43 of their mean.
         */
        const val MAX_DEVIATION = 0.33
    }
}
