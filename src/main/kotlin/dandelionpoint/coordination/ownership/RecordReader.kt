/* Reads records, intents and results from the platform's table and object store. */
package dandelionpoint.coordination.ownership

import arrow.core.getOrElse
import dandelionpoint.protocol.store.ObjectStore
import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.Table
import dandelionpoint.state.record.Record
import dandelionpoint.state.record.RecordEntry
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json

/** Results of a batch that are too large for the record row, by id. */
internal typealias ResultsById = Map<String, List<String>>

/** Reads rows at a limited rate: [vmCount] VMs share [OwnershipSettings.recoveryReadsPerSecond]. */
internal class RecordReader(
    private val table: Table,
    private val objects: ObjectStore,
    private val settings: OwnershipSettings,
    private val vmCount: () -> Int,
) {
    // One load at a time, so that the rate limit holds for the VM and not for each shard.
    private val loading = Mutex()

    /** Passes the rows below [prefix] to [onRow], no faster than this VM's share of the rate limit. Returns false if a read failed. */
    suspend fun load(prefix: String, onRow: (Row) -> Unit): Boolean = loading.withLock {
        var after: String? = null
        do {
            val page = withTimeoutOrNull(settings.callTimeoutMs) { table.scan(prefix, after, ROWS_PER_PAGE) }
                ?.getOrElse { null } ?: return false
            page.rows.forEach(onRow)
            after = page.next
            delay(pauseMs(page.rows))
        } while (after != null)
        true
    }

    private fun pauseMs(rows: List<Row>): Long {
        val reads = 1 + rows.sumOf { it.value.length } / BYTES_PER_READ
        return reads * MS_PER_SECOND * vmCount().coerceAtLeast(1) / settings.recoveryReadsPerSecond
    }

    /** The record of [entry] with its results if they can be read, otherwise as it is in memory. */
    suspend fun withResults(entry: RecordEntry.Finished): Record {
        val record = entry.record
        val isComplete = record.view.results != null || (record.objectKey == null && !entry.resultsDropped)
        if (isComplete) return record
        val results =
            if (record.objectKey != null) readObject(record, record.objectKey) else readRow(record, entry.rowKey)
        return if (results == null) record else record.copy(view = record.view.copy(results = results))
    }

    private suspend fun readObject(record: Record, key: String): List<String>? {
        val bytes = withTimeoutOrNull(settings.callTimeoutMs) { objects.get(key) }?.getOrElse { null } ?: return null
        return Json.decodeFromString<ResultsById>(bytes.decodeToString())[record.id.text]
    }

    private suspend fun readRow(record: Record, key: String?): List<String>? {
        val row = key?.let { withTimeoutOrNull(settings.callTimeoutMs) { table.get(it) } }?.getOrElse { null } ?: return null
        return ownershipJson.decodeFromString<RecordBatch>(row.value).records.firstOrNull { it.id == record.id }?.view?.results
    }

    private companion object {
        const val ROWS_PER_PAGE = 64

        /** The table counts one read for every 16 KiB that it returns. */
        const val BYTES_PER_READ = 16_384
        const val MS_PER_SECOND = 1_000L
    }
}
