/* Group commit of the intents of one shard (mode `commit`): one conditional write for all submissions that wait. */
package dandelionpoint.coordination.ownership

import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.store.Check
import dandelionpoint.protocol.store.Put
import dandelionpoint.protocol.store.Transaction
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.serialization.encodeToString

internal class IntentLog(private val shard: LocalShard, private val context: ShardContext) {
    private class Waiting(val intent: Intent, val isDurable: CompletableDeferred<Boolean>)

    private class Batch(val epoch: Long, val waiting: List<Waiting>, val key: String, val transaction: Transaction)

    // Bounded: a full channel suspends the caller, whose wait is limited.
    private val queue = Channel<Waiting>(MAX_WAITING)
    private var epoch = 0L
    private var sequence = 0L

    /** Appends the intent to start [id]; whether it is durable under the epoch that is held. Suspends until that is known. */
    suspend fun append(id: SubmissionId, digest: String): Boolean {
        val waiting = Waiting(Intent(id.text, digest), CompletableDeferred())
        try {
            queue.send(waiting)
            return waiting.isDurable.await()
        } finally {
            waiting.isDurable.cancel()
        }
    }

    suspend fun run() {
        while (true) {
            val waiting = nextWaiting()
            if (waiting.isEmpty()) continue
            val grant = shard.grant
            val isDurable = grant != null && write(batch(grant.row.epoch, waiting))
            waiting.forEach { it.isDurable.complete(isDurable) }
        }
    }

    private suspend fun nextWaiting(): List<Waiting> {
        val waiting = mutableListOf(queue.receive())
        while (waiting.size < context.settings.recordsPerRow) {
            waiting += queue.tryReceive().getOrNull() ?: break
        }
        return waiting.filter { it.isDurable.isActive }
    }

    private fun batch(currentEpoch: Long, waiting: List<Waiting>): Batch {
        if (epoch != currentEpoch) sequence = 0
        epoch = currentEpoch
        val key = OwnershipKeys.intent(shard.number, currentEpoch, sequence++)
        val checks = listOf(Check(OwnershipKeys.epoch(shard.number, currentEpoch), EPOCH_OPEN_VERSION), Check(key, 0))
        val put = Put(key, ownershipJson.encodeToString(IntentBatch(waiting.map { it.intent })))
        return Batch(currentEpoch, waiting, key, Transaction(context.nextWriteId(), checks, listOf(put)))
    }

    /** Repeats the write of [batch] under its write id until the outcome is known. */
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
        const val MAX_WAITING = 10_000
        const val RETRY_MS = 20L
    }
}
