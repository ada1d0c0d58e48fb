/* The worker table: all workers of the platform's list, sharded by id. */
package dandelionpoint.state.worker

import dandelionpoint.protocol.store.VmEntry
import dandelionpoint.protocol.store.VmRole

/** Workers in shards, each with its own lock. */
internal class WorkerTable(private val settings: HealthSettings, shardCount: Int = SHARDS) {
    private val shards = Array(shardCount) { WorkerShard() }

    val freeSlots: Int get() = shards.sumOf { it.freeSlots }

    /** Running tasks of this VM on workers of which it is the allocator. */
    val ownBusy: Int get() = shards.sumOf { it.ownBusy }

    /** Free slots of workers of which this VM is the allocator. */
    val ownFree: Int get() = shards.sumOf { it.ownFree }

    /** Runs [action] on worker [id] under the lock of its shard; null if the worker is unknown. */
    fun <T> withWorker(id: String, action: WorkerShard.(WorkerRecord) -> T): T? = shardOf(id).locked { find(id)?.let { action(it) } }

    /** Runs [action] on every worker, shard by shard. It must not add or remove workers. */
    fun forEach(action: WorkerShard.(WorkerRecord) -> Unit) {
        for (shard in shards) shard.locked { all().forEach { action(it) } }
    }

    /** Runs [action] on the workers of other allocators of which this VM holds slots. */
    fun forEachLeased(action: WorkerShard.(WorkerRecord) -> Unit) {
        for (shard in shards) shard.locked { leased().forEach { action(it) } }
    }

    /** Puts workers whose ejection has ended back into the index. */
    fun endEjections(nowMs: Long) {
        for (shard in shards) shard.locked { ejected().forEach { if (!it.health.isEjected(nowMs)) reindex(it, nowMs) } }
    }

    /** Workers that this VM ejected itself, with the remaining time in ms. */
    fun ejectedLocally(nowMs: Long): Map<String, Long> {
        val ejected = HashMap<String, Long>()
        for (shard in shards) {
            shard.locked {
                ejected().filter { it.health.ejectedLocally && it.health.isEjected(nowMs) }
                    .forEach { ejected[it.id] = it.health.ejectedUntilMs - nowMs }
            }
        }
        return ejected
    }

    /** Free slots by speed bucket. */
    fun freeByBucket(): IntArray {
        val counts = IntArray(SpeedBuckets.COUNT)
        for (shard in shards) shard.locked { addFreeByBucket(counts) }
        return counts
    }

    /** Finds the best worker for [query] and runs [action] on it under the lock of its shard; null if no worker fits. */
    fun <T> withBestWorker(query: SlotQuery, nowMs: Long, action: WorkerShard.(WorkerRecord) -> T): T? {
        var excluded = 0L
        repeat(shards.size) {
            val best = bestShard(query, excluded)
            if (best < 0) return null
            val result = shards[best].locked { findBest(query, nowMs)?.let { action(it) } }
            if (result != null) return result
            excluded = excluded or (1L shl best)
        }
        return null
    }

    /** Adds new workers and updates known ones. A worker that is not listed and has no running task is removed. */
    fun update(
        entries: List<VmEntry>,
        nowMs: Long,
        onRemove: (WorkerRecord) -> Unit = {},
        onChange: WorkerShard.(WorkerRecord, isNew: Boolean) -> Unit,
    ) {
        val byShard = entries.filter { it.role == VmRole.WORKER && it.slots > 0 }.groupBy { shardOf(it.id) }
        for (shard in shards) {
            shard.locked {
                val listed = byShard[shard].orEmpty().associateBy { it.id }
                removeUnlisted(listed, nowMs, onRemove)
                listed.values.forEach { addOrUpdate(it, onChange) }
            }
        }
    }

    private fun WorkerShard.addOrUpdate(entry: VmEntry, onChange: WorkerShard.(WorkerRecord, isNew: Boolean) -> Unit) {
        val known = find(entry.id)
        if (known == null || (known.entry.slots != entry.slots && known.busy == 0)) {
            known?.let { remove(it) }
            val record = WorkerRecord(entry, settings)
            add(record)
            onChange(record, true)
        } else {
            known.update(entry)
            onChange(known, false)
        }
    }

    private fun WorkerShard.removeUnlisted(listed: Map<String, VmEntry>, nowMs: Long, onRemove: (WorkerRecord) -> Unit) {
        for (record in all().filter { it.id !in listed }) {
            record.isUnlisted = true
            reindex(record, nowMs)
            if (record.busy == 0) remove(record)
            onRemove(record)
        }
    }

    private fun bestShard(query: SlotQuery, excluded: Long): Int {
        var best = -1
        var bestFinish = Double.POSITIVE_INFINITY
        for (index in shards.indices) {
            if (excluded and (1L shl index) != 0L) continue
            val finish = shards[index].bestFinishHint(query)
            if (finish < bestFinish) {
                bestFinish = finish
                best = index
            }
        }
        return best
    }

    private fun shardOf(id: String): WorkerShard = shards[Math.floorMod(id.hashCode() * HASH_MIX, shards.size)]

    private companion object {
        const val SHARDS = 8

        /** Spreads ids that differ only in their last characters. */
        const val HASH_MIX = -0x61c88647
    }
}
