/* Index of the workers with free slots, by expected finish time. */
package dandelionpoint.state.worker

import java.util.concurrent.CopyOnWriteArrayList
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.roundToInt

/**
 * Workers with free slots that have the same hops, memory tier, ownership and probation, in one list per speed bucket. The workers of a
 * lane differ in expected finish time by their speed alone, so the first bucket that is not empty has the best ones for a task of any
 * length. Written under the shard's lock; [nonEmptyBuckets] is also read without it, as a hint.
 */
internal class FreeSlotLane(val hops: Int, val memoryTier: Int, val isOwn: Boolean, val onProbation: Boolean) {
    private val heads = arrayOfNulls<WorkerRecord>(SpeedBuckets.COUNT)
    private val tails = arrayOfNulls<WorkerRecord>(SpeedBuckets.COUNT)

    /** Bit n is set if bucket n has a worker. */
    @Volatile
    var nonEmptyBuckets = 0L
        private set

    fun head(bucket: Int): WorkerRecord? = heads[bucket]

    fun append(record: WorkerRecord, bucket: Int) {
        record.lane = this
        record.bucket = bucket
        record.next = null
        record.previous = tails[bucket]
        tails[bucket]?.next = record
        tails[bucket] = record
        if (heads[bucket] == null) {
            heads[bucket] = record
            nonEmptyBuckets = nonEmptyBuckets or (1L shl bucket)
        }
    }

    fun remove(record: WorkerRecord) {
        val before = record.previous
        val after = record.next
        if (before == null) heads[record.bucket] = after else before.next = after
        if (after == null) tails[record.bucket] = before else after.previous = before
        if (heads[record.bucket] == null) nonEmptyBuckets = nonEmptyBuckets and (1L shl record.bucket).inv()
        record.lane = null
        record.next = null
        record.previous = null
    }
}

/** Speed buckets on a logarithmic scale from 16 down to 1/16. A step is 9 %, which is below the noise of a measured speed. */
internal object SpeedBuckets {
    const val COUNT = 64

    /** Bucket of the workers that are unresponsive or whose last task failed; it ranks behind all others. */
    const val LAST = COUNT - 1
    private const val STEPS_PER_DOUBLING = 8
    private const val MIDDLE = COUNT / 2
    private val slowness = DoubleArray(COUNT) { 2.0.pow((it - MIDDLE).toDouble() / STEPS_PER_DOUBLING) }

    fun of(speed: Double): Int = (MIDDLE - STEPS_PER_DOUBLING * ln(speed) / ln(2.0)).roundToInt().coerceIn(0, LAST - 1)

    /** Ratio of the run time on a worker of the bucket to the run time at speed 1. */
    fun slowness(bucket: Int): Double = slowness[bucket]
}

/** The lanes of one shard. There are few, one for each combination of hops, memory tier (powers of two) and two flags. */
internal class FreeSlotIndex {
    val lanes = CopyOnWriteArrayList<FreeSlotLane>()

    /** Moves [record] to the end of the bucket for its state at [nowMs], or removes it if it has no free slot. */
    fun update(record: WorkerRecord, nowMs: Long) {
        record.lane?.remove(record)
        if (record.freeSlots(nowMs) == 0) return
        laneOf(record).append(record, record.speedBucket())
    }

    fun remove(record: WorkerRecord) {
        record.lane?.remove(record)
    }

    private fun laneOf(record: WorkerRecord): FreeSlotLane {
        val tier = memoryTier(record.entry.memoryMb)
        val probation = record.health.onProbation
        for (index in lanes.indices) {
            val lane = lanes[index]
            val isSame = lane.hops == record.hops && lane.memoryTier == tier && lane.isOwn == record.isOwn
            if (isSame && lane.onProbation == probation) return lane
        }
        return FreeSlotLane(record.hops, tier, record.isOwn, probation).also { lanes.add(it) }
    }

    companion object {
        /** Tier n has memory from 2^(n-1) to 2^n - 1 MB. */
        fun memoryTier(memoryMb: Int): Int = Int.SIZE_BITS - Integer.numberOfLeadingZeros(maxOf(0, memoryMb))
    }
}
