package dandelionpoint.standin.fleet

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.RowChanges
import dandelionpoint.protocol.fleet.RowWrite
import dandelionpoint.protocol.fleet.RowsRead
import dandelionpoint.protocol.fleet.SharedRow
import dandelionpoint.protocol.fleet.SharedRows
import dandelionpoint.protocol.fleet.WriteResult
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.store.StoreError
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/** In-memory stand-in of the shared store, with fault switches. */
internal class MemoryRows(private val clock: Clock = Clock.System) : SharedRows {
    private val lock = Any()
    private val rows = sortedMapOf<Pair<String, String>, SharedRow>(compareBy({ it.first }, { it.second }))
    private val latestVersion = MutableStateFlow(0L)

    /** Oldest version from which changes can be read. */
    private var oldestChangeVersion = 0L

    /** If true, the store refuses every call. */
    @Volatile
    var isDown = false

    /** If true, writes take effect but their answer is lost. */
    @Volatile
    var losesAnswers = false

    /** Discards the history, so that reading changes from any earlier version gives [RowChanges.HistoryGone]. */
    fun discardHistory() = synchronized(lock) { oldestChangeVersion = latestVersion.value + 1 }

    /** Writes a row without faults or version check, as an operator or a worker does. */
    fun put(table: String, key: String, value: ByteArray) {
        synchronized(lock) { store(table, key, value) }
    }

    /** Deletes a row without faults or version check. */
    fun delete(table: String, key: String) {
        synchronized(lock) { store(table, key, value = null) }
    }

    fun value(table: String, key: String): ByteArray? = synchronized(lock) { rows[table to key]?.value }

    private fun store(table: String, key: String, value: ByteArray?): Long {
        val version = latestVersion.value + 1
        rows[table to key] = SharedRow(table, key, value, version)
        latestVersion.value = version
        return version
    }

    override suspend fun read(table: String, from: String, to: String): Either<StoreError, RowsRead> = synchronized(lock) {
        if (isDown) return STORE_DOWN.left()
        val found = rows.values.filter { it.table == table && it.key >= from && (to.isEmpty() || it.key < to) && it.value != null }
        RowsRead(found, latestVersion.value, clock.millis()).right()
    }

    override suspend fun changes(table: String, version: Long, waitMs: Long): Either<StoreError, RowChanges> {
        if (isDown) return STORE_DOWN.left()
        if (version < synchronized(lock) { oldestChangeVersion }) return RowChanges.HistoryGone.right()
        withTimeoutOrNull(waitMs) { latestVersion.first { changed(table, version).isNotEmpty() } }
        return RowChanges.Changed(changed(table, version), latestVersion.value).right()
    }

    private fun changed(table: String, version: Long) =
        synchronized(lock) { rows.values.filter { it.table == table && it.version > version }.sortedBy { it.version } }

    override suspend fun write(table: String, key: String, value: ByteArray?, expected: Long?): Either<StoreError, WriteResult> =
        transaction(isMet = { expected == null || expected == versionOf(table, key) }) { store(table, key, value) }

    override suspend fun writeAll(table: String, writes: List<RowWrite>): Either<StoreError, WriteResult> =
        transaction(isMet = { writes.all { it.expected == versionOf(table, it.key) } }) {
            val version = latestVersion.value + 1
            writes.forEach { rows[table to it.key] = SharedRow(table, it.key, it.value, version) }
            latestVersion.value = version
            version
        }

    private fun versionOf(table: String, key: String): Long = rows[table to key]?.takeIf { it.value != null }?.version ?: 0L

    private fun transaction(isMet: () -> Boolean, write: () -> Long): Either<StoreError, WriteResult> {
        if (isDown) return STORE_DOWN.left()
        val result = synchronized(lock) {
            if (isMet()) WriteResult.Written(write(), clock.millis()) else WriteResult.Conflict
        }
        return if (losesAnswers) StoreError.OutcomeUnknown("answer lost").left() else result.right()
    }

    private companion object {
        val STORE_DOWN = StoreError.NotApplied("the store is down")
    }
}
