/* Run times of the tasks of a trace line, stored as a random distribution with its seed or as a list. */
package dandelionpoint.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlin.math.exp
import kotlin.math.pow
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** [trueMs] is the run time of a task at speed 1 in ms, [declaredMs] the one that its client declares. */
@Serializable
internal data class TaskTime(val trueMs: Double, val declaredMs: Int)

/** Source of the run times of a trace line's tasks. */
@Serializable
internal sealed interface RunTimes {
    /** Returns the first [count] run times. Randomly drawn times differ from [round] to [round]. */
    fun taskTimes(count: Int, round: Int): List<TaskTime>
}

/** Recorded run times. */
@Serializable
@SerialName("list")
internal data class ListedTimes(val tasks: List<TaskTime>) : RunTimes {
    override fun taskTimes(count: Int, round: Int): List<TaskTime> {
        require(count <= tasks.size) { "the line has $count tasks, but only ${tasks.size} run times" }
        return tasks.take(count)
    }
}

/**
 * Log-normal run times with [medianMs] and [sigma], clamped to [minMs]..[maxMs]. A share [longShare] of the tasks takes [longMinMs] to
 * [longMaxMs] instead. Declared times are too long or too short by a random factor of up to [declaredFactor].
 */
@Serializable
@SerialName("drawn")
internal data class DrawnTimes(
    val seed: Long,
    val medianMs: Double,
    val sigma: Double,
    val minMs: Double,
    val maxMs: Double,
    val longShare: Double = 0.0,
    val longMinMs: Double = 0.0,
    val longMaxMs: Double = 0.0,
    val declaredFactor: Double = 4.0,
) : RunTimes {
    override fun taskTimes(count: Int, round: Int): List<TaskTime> {
        val random = Random(seed + round * ROUND_STEP)
        val gaussian = random.asJavaRandom()
        return List(count) {
            val usual = (medianMs * exp(sigma * gaussian.nextGaussian())).coerceIn(minMs, maxMs)
            val isLong = random.nextDouble() < longShare
            val trueMs = if (isLong) longMinMs + random.nextDouble() * (longMaxMs - longMinMs) else usual
            val factor = declaredFactor.pow(random.nextDouble() * 2 - 1)
            TaskTime(trueMs, (trueMs * factor).toInt().coerceAtLeast(1))
        }
    }

    private companion object {
        /** Step between the seeds of a line's rounds. It keeps them distinct from the seeds of other lines, which are random. */
        const val ROUND_STEP = 1_000_003L
    }
}
