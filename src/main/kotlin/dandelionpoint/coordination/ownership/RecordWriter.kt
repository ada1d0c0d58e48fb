/* Writes the records of finished submissions of one shard in batches. */
package dandelionpoint.coordination.ownership

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.store.Check
import dandelionpoint.protocol.store.ObjectStore
import dandelionpoint.protocol.store.Put
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.state.record.Record
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

/** Writes the records of [shard] under the epoch of its grant. */
internal class RecordWriter(
    private val shard: LocalShard,
    private val objects: ObjectStore,
    private val writer: ConditionalWriter,
    private val settings: OwnershipSettings,
    private val clock: Clock,
    private val nextWriteId: () -> String,
) {
    private class Batch(val epoch: Long, val key: String, val records: List<Record>, val transaction: Transaction)

    /** Number of batch writes tried so far; a change wakes [awaitDurable]. */
    private val batchCount = MutableStateFlow(0L)

    /** The batch whose write was sent and has no known outcome yet. */
    private var inDoubt: Batch? = null
    private var epoch = 0L
    private var sequence = 0L
    private var objectSequence = 0L

    /** Writes batches until cancelled, at most one row per [OwnershipSettings.recordEveryMs]. */
    suspend fun run() {
        while (true) {
            shard.wakeRecords.receive()
            do {
                // The interval starts with the write, so that a record which arrives during the write waits at most one interval.
                val startedNs = clock.nanos()
                val isAttempted = flushOnce()
                if (isAttempted) delay(settings.recordEveryMs - (clock.nanos() - startedNs) / OwnershipRules.NS_PER_MS)
            } while (isAttempted)
        }
    }

    /** Waits for the record of [record] to become durable, at most [OwnershipSettings.durableWaitMs]. */
    suspend fun awaitDurable(record: Record): Boolean = withTimeoutOrNull(settings.durableWaitMs) {
        batchCount.first { shard.records.isWritten(record.id) || shard.grant == null }
        shard.records.isWritten(record.id)
    } ?: false

    /** Tries to write one batch. Returns false if there is no record to write or no grant to write it under. */
    private suspend fun flushOnce(): Boolean {
        val grant = shard.grant ?: return false
        if (shard.records.unwrittenCount() == 0) return false
        val batch = inDoubt?.takeIf { it.epoch == grant.row.epoch } ?: nextBatch(grant.row.epoch) ?: return true
        // A batch of unknown outcome is repeated with its key and write id, so that it is written once.
        inDoubt = batch
        when (writer.write(batch.key, batch.transaction)) {
            is WriteOutcome.Applied -> {
                shard.records.markWritten(batch.records, batch.key)
                inDoubt = null
            }

            is WriteOutcome.Refused -> {
                inDoubt = null
                shard.updateGrant(batch.epoch) { null }
            }

            WriteOutcome.NotApplied, WriteOutcome.Unknown -> Unit
        }
        batchCount.value++
        return true
    }

    private suspend fun nextBatch(currentEpoch: Long): Batch? {
        if (epoch != currentEpoch) sequence = 0
        epoch = currentEpoch
        val records = storeLarge(nextUnwritten(), currentEpoch)
        if (records.isEmpty()) return null
        val key = OwnershipKeys.record(shard.number, currentEpoch, sequence++)
        val stored = records.map { it.copy(view = it.view.copy(recorded = true)) }
        val value = ownershipJson.encodeToString(RecordBatch(stored.map { if (it.objectKey == null) it else it.withoutResults() }))
        val checks = listOf(Check(OwnershipKeys.epoch(shard.number, currentEpoch), EPOCH_OPEN_VERSION), Check(key, 0))
        return Batch(currentEpoch, key, stored, Transaction(nextWriteId(), checks, listOf(Put(key, value))))
    }

    private fun nextUnwritten(maxBytesEach: Long = Long.MAX_VALUE): List<Record> =
        shard.records.nextUnwritten(settings.recordsPerRow, settings.bytesPerRow, maxBytesEach)

    /**
     * Writes results above the inline limit into one object and returns the records with its key. If the object store fails, returns only
     * records with smaller results.
     */
    private suspend fun storeLarge(records: List<Record>, currentEpoch: Long): List<Record> {
        val (large, small) = records.partition { it.resultBytes > settings.inlineResultBytes }
        if (large.isEmpty()) return small
        // Each key is used once, since a put of unknown outcome may be applied later.
        val key = OwnershipKeys.results(shard.number, currentEpoch, objectSequence++)
        val bytes = Json.encodeToString<ResultsById>(large.associate { it.id.text to it.view.results.orEmpty() }).encodeToByteArray()
        val isStored = withTimeoutOrNull(settings.callTimeoutMs) { objects.put(key, bytes) }?.isRight() ?: false
        return if (isStored) small + large.map { it.copy(objectKey = key) } else nextUnwritten(settings.inlineResultBytes.toLong())
    }
}
