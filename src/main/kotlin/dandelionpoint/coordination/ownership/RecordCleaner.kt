/* Deletes expired records, intents and epoch rows of the shards that this VM owns, and drops expired entries from memory. */
package dandelionpoint.coordination.ownership

import arrow.core.getOrElse
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.Table
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.protocol.store.TransactionResult
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/** Cleans all [shards] every [OwnershipSettings.cleanEveryMs]. */
internal class RecordCleaner(private val shards: List<LocalShard>, private val table: Table, private val context: ShardContext) {
    private val settings = context.settings

    suspend fun run() {
        while (true) {
            delay(settings.cleanEveryMs)
            shards.forEach { shard ->
                shard.dropOldRecords()
                val grant = shard.grant
                if (grant?.role == ShardRole.OWNER) clean(shard.number, grant.row)
            }
        }
    }

    /** Deletes records and intents only below the durable [ShardRow.unknownBelow], where an id without a record never starts. */
    private suspend fun clean(shard: Int, row: ShardRow) {
        deleteWhile(OwnershipKeys.records(shard)) { newestRecord(it) < row.unknownBelow }
        deleteWhile(OwnershipKeys.intents(shard)) { newestIntent(it) < row.unknownBelow }
        deleteWhile(OwnershipKeys.epochs(shard)) { it.key < OwnershipKeys.epoch(shard, row.epoch - 1) }
    }

    /** Deletes the rows below [prefix] in key order up to the first that is not [isOld]. An error ends the pass; the next one goes on. */
    private suspend fun deleteWhile(prefix: String, isOld: (Row) -> Boolean) {
        do {
            val page = withTimeoutOrNull(settings.callTimeoutMs) { table.scan(prefix, null, ROWS_PER_PAGE) }
                ?.getOrElse { null } ?: return
            val old = page.rows.takeWhile(isOld).map { it.key }
            val isDeleted = old.isNotEmpty() && delete(old)
        } while (isDeleted && old.size == page.rows.size && page.next != null)
    }

    private suspend fun delete(keys: List<String>): Boolean {
        val answer = withTimeoutOrNull(settings.callTimeoutMs) { table.transact(Transaction(context.nextWriteId(), deletes = keys)) }
        return answer?.getOrElse { null } is TransactionResult.Committed
    }

    /** Creation time of the newest id in a record row, in ms. */
    private fun newestRecord(row: Row): Long =
        ownershipJson.decodeFromString<RecordBatch>(row.value).records.maxOfOrNull { it.id.createdAtMs } ?: 0L

    /** Creation time of the newest id in an intent row, in ms. */
    private fun newestIntent(row: Row): Long =
        ownershipJson.decodeFromString<IntentBatch>(row.value).intents.maxOfOrNull { SubmissionId(it.id).createdAtMs } ?: 0L

    private companion object {
        const val ROWS_PER_PAGE = 64
    }
}
