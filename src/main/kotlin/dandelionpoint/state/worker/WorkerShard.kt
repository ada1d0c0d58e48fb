/* One shard of the worker table. */
package dandelionpoint.state.worker

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Requirements of a search for a free slot. [ownOnly] restricts it to workers whose allocator is this VM, [leasedOnly] to the others,
 * [slowestBucket] to workers in that speed bucket or a faster one.
 */
internal class SlotQuery(
    val expectedMs: Double,
    val hopCostMs: Double,
    val memoryMb: Int,
    val avoid: Set<String>,
    val retryable: Boolean,
    val ownOnly: Boolean = false,
    val leasedOnly: Boolean = false,
    val slowestBucket: Int = SpeedBuckets.LAST,
) {
    val memoryTier = FreeSlotIndex.memoryTier(memoryMb)
}

/** Workers whose ids hash to this shard. Records are read and changed under [lock] only. */
internal class WorkerShard {
    private val lock = ReentrantLock()
    private val records = HashMap<String, WorkerRecord>()
    private val index = FreeSlotIndex()

    /** Free slots in the index, kept up to date by [reindex]. */
    @Volatile
    var freeSlots = 0
        private set

    /** Running tasks of this VM on workers of which it is the allocator. */
    @Volatile
    var ownBusy = 0
        private set

    /** Free slots of workers of which this VM is the allocator. */
    @Volatile
    var ownFree = 0
        private set
    private val freeByBucket = IntArray(SpeedBuckets.COUNT)
    private val leased = LinkedHashSet<WorkerRecord>()
    private val ejected = LinkedHashSet<WorkerRecord>()

    fun <T> locked(action: WorkerShard.() -> T): T = lock.withLock { action() }

    fun find(id: String): WorkerRecord? = records[id]

    fun all(): Collection<WorkerRecord> = records.values

    /** Workers of other allocators of which this VM holds slots. */
    fun leased(): List<WorkerRecord> = if (leased.isEmpty()) emptyList() else leased.toList()

    /** Workers that were ejected when they were last reindexed. */
    fun ejected(): List<WorkerRecord> = if (ejected.isEmpty()) emptyList() else ejected.toList()

    fun add(record: WorkerRecord) {
        records[record.id] = record
    }

    fun remove(record: WorkerRecord) {
        index.remove(record)
        updateCounts(record, 0)
        updateOwnCounts(record, 0, 0)
        leased.remove(record)
        ejected.remove(record)
        records.remove(record.id)
    }

    /** Updates the index and the counters. Must be called after every change of a record. */
    fun reindex(record: WorkerRecord, nowMs: Long) {
        index.update(record, nowMs)
        updateCounts(record, record.freeSlots(nowMs))
        if (!record.isOwn && record.held > 0) leased.add(record) else leased.remove(record)
        if (record.health.isEjected(nowMs)) ejected.add(record) else ejected.remove(record)
    }

    private fun updateCounts(record: WorkerRecord, free: Int) {
        freeSlots += free - record.countedFree
        freeByBucket[record.countedBucket] -= record.countedFree
        record.countedFree = free
        record.countedBucket = record.speedBucket()
        freeByBucket[record.countedBucket] += free
        updateOwnCounts(record, if (record.isOwn) record.busy else 0, if (record.isOwn) free else 0)
    }

    private fun updateOwnCounts(record: WorkerRecord, busy: Int, free: Int) {
        ownBusy += busy - record.countedBusy
        ownFree += free - record.countedFreeOwn
        record.countedBusy = busy
        record.countedFreeOwn = free
    }

    /** Adds the free slots by speed bucket to [counts]. */
    fun addFreeByBucket(counts: IntArray) {
        for (bucket in counts.indices) counts[bucket] += freeByBucket[bucket]
    }

    /** Expected finish time in ms on the best worker, computed from the index alone and without the lock; infinite if there is none. */
    fun bestFinishHint(query: SlotQuery): Double {
        var best = Double.POSITIVE_INFINITY
        val lanes = index.lanes
        for (i in lanes.indices) {
            val lane = lanes[i]
            if (isEligible(lane, query)) best = minOf(best, expectedFinishMs(lane, lane.nonEmptyBuckets, query))
        }
        return best
    }

    /** The worker with a free slot that fits [query] and has the earliest expected finish time, or null. */
    fun findBest(query: SlotQuery, nowMs: Long): WorkerRecord? {
        var best: WorkerRecord? = null
        var bestFinish = Double.POSITIVE_INFINITY
        val lanes = index.lanes
        for (i in lanes.indices) {
            val lane = lanes[i]
            if (!isEligible(lane, query) || expectedFinishMs(lane, lane.nonEmptyBuckets, query) >= bestFinish) continue
            val found = firstFitting(lane, query, nowMs) ?: continue
            val finish = expectedFinishMs(lane, 1L shl found.bucket, query)
            if (finish < bestFinish) {
                best = found
                bestFinish = finish
            }
        }
        return best
    }

    private fun firstFitting(lane: FreeSlotLane, query: SlotQuery, nowMs: Long): WorkerRecord? {
        var remaining = lane.nonEmptyBuckets
        while (remaining != 0L) {
            var record = lane.head(java.lang.Long.numberOfTrailingZeros(remaining))
            while (record != null && !fits(record, query, nowMs)) record = record.next
            if (record != null) return record
            remaining = remaining and (remaining - 1)
        }
        return null
    }

    /** True if [record] has a free slot and meets the requirements of [query]. */
    fun fits(record: WorkerRecord, query: SlotQuery, nowMs: Long): Boolean {
        if (record.freeSlots(nowMs) == 0 || record.entry.memoryMb < query.memoryMb || record.id in query.avoid) return false
        if (record.health.onProbation) return query.retryable || record.health.probesWithAnyTask(nowMs)
        return record.bucket <= query.slowestBucket
    }

    private fun isEligible(lane: FreeSlotLane, query: SlotQuery): Boolean {
        if (lane.nonEmptyBuckets == 0L || lane.memoryTier < query.memoryTier) return false
        return if (lane.isOwn) !query.leasedOnly else !query.ownOnly
    }

    /**
     * Expected finish time in ms on the best worker of [lane]. For a retryable task, a worker on probation comes first, since it would
     * otherwise get no probe until all others are busy.
     */
    private fun expectedFinishMs(lane: FreeSlotLane, nonEmptyBuckets: Long, query: SlotQuery): Double {
        if (nonEmptyBuckets == 0L) return Double.POSITIVE_INFINITY
        if (lane.onProbation) return if (query.retryable) 0.0 else Double.MAX_VALUE
        val slowness = SpeedBuckets.slowness(java.lang.Long.numberOfTrailingZeros(nonEmptyBuckets))
        if (slowness > SpeedBuckets.slowness(query.slowestBucket)) return Double.POSITIVE_INFINITY
        return query.expectedMs * slowness + lane.hops * query.hopCostMs
    }
}
