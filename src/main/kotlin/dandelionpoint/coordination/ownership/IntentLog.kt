/* Group commit of the intents of one shard (mode `commit`): one conditional write for all pending submissions. */
package dandelionpoint.coordination.ownership

import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.store.Check
import dandelionpoint.protocol.store.Put
import dandelionpoint.protocol.store.Transaction
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.serialization.encodeToString

/** Writes the intents of [shard] in batches. [append] only returns while [run] is active. */
internal class IntentLog(private val shard: LocalShard, private val context: ShardContext) {
    private class Pending(val intent: Intent, val isDurable: CompletableDeferred<Boolean>)

    private class Batch(val epoch: Long, val pending: List<Pending>, val key: String, val transaction: Transaction)

    // Bounded: a full channel suspends the caller, whose wait is limited by OwnershipSettings.startWaitMs.
    private val queue = Channel<Pending>(MAX_PENDING)
    private var epoch = 0L
    private var sequence = 0L

    /** Appends the intent to start [id] and suspends until the outcome is known. Returns whether it is durable under the current epoch. */
    suspend fun append(id: SubmissionId, digest: String): Boolean {
        val pending = Pending(Intent(id.text, digest), CompletableDeferred())
        try {
            queue.send(pending)
            return pending.isDurable.await()
        } finally {
            pending.isDurable.cancel()
        }
    }

    /** Writes batches until cancelled. */
    suspend fun run() {
        while (true) {
            val pending = nextPending()
            if (pending.isEmpty()) continue
            val grant = shard.grant
            val isDurable = grant != null && write(batch(grant.row.epoch, pending))
            pending.forEach { it.isDurable.complete(isDurable) }
        }
    }

    /** Waits for an intent and returns it with the others that are queued, without those whose caller was cancelled meanwhile. */
    private suspend fun nextPending(): List<Pending> {
        val pending = mutableListOf(queue.receive())
        while (pending.size < context.settings.recordsPerRow) {
            pending += queue.tryReceive().getOrNull() ?: break
        }
        return pending.filter { it.isDurable.isActive }
    }

    private fun batch(currentEpoch: Long, pending: List<Pending>): Batch {
        if (epoch != currentEpoch) sequence = 0
        epoch = currentEpoch
        val key = OwnershipKeys.intent(shard.number, currentEpoch, sequence++)
        val checks = listOf(Check(OwnershipKeys.epoch(shard.number, currentEpoch), EPOCH_OPEN_VERSION), Check(key, 0))
        val put = Put(key, ownershipJson.encodeToString(IntentBatch(pending.map { it.intent })))
        return Batch(currentEpoch, pending, key, Transaction(context.nextWriteId(), checks, listOf(put)))
    }

    /** Repeats the write of [batch] under its write id until the outcome is known. After a refusal the epoch is lost: the grant ends. */
    private suspend fun write(batch: Batch): Boolean {
        while (true) {
            when (context.writer.write(batch.key, batch.transaction)) {
                is WriteOutcome.Applied -> return true

                is WriteOutcome.Refused -> {
                    shard.updateGrant(batch.epoch) { null }
                    return false
                }

                WriteOutcome.NotApplied, WriteOutcome.Unknown -> delay(RETRY_MS)
            }
        }
    }

    private companion object {
        const val MAX_PENDING = 10_000
        const val RETRY_MS = 20L
    }
}
