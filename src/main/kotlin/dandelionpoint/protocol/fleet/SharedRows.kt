/* The shared store as the fleet uses it: rows versioned by one store-wide counter, conditional writes and a change feed. */
package dandelionpoint.protocol.fleet

import arrow.core.Either
import dandelionpoint.protocol.store.StoreError

/** A row of [table]. [version] is the store-wide counter at its last change. A deleted row has a null [value]. */
data class SharedRow(val table: String, val key: String, val value: ByteArray?, val version: Long)

/** A consistent snapshot of rows. [version] is the newest version in the store, [storeMs] the store's monotonic clock in ms. */
data class RowsRead(val rows: List<SharedRow>, val version: Long, val storeMs: Long)

/** The rows that changed after a version, in the order of the changes. */
sealed interface RowChanges {
    data class Changed(val rows: List<SharedRow>, val version: Long) : RowChanges

    /** The store no longer has all changes after the version; the whole table has to be read. */
    data object HistoryGone : RowChanges
}

/** Outcome of a conditional write. */
sealed interface WriteResult {
    data class Written(val version: Long, val storeMs: Long) : WriteResult

    /** The row did not have the expected version; nothing was written. */
    data object Conflict : WriteResult
}

/** A write of [value] to the row [key] of a table if its version is [expected] (0: it does not exist). */
class RowWrite(val key: String, val value: ByteArray, val expected: Long)

/** The shared store. Each call is sent once, without retries. */
interface SharedRows {
    /** Reads all rows of [table], or those with keys in [from, to). */
    suspend fun read(table: String, from: String = "", to: String = ""): Either<StoreError, RowsRead>

    /** Waits up to [waitMs] ms for rows of [table] that changed after [version]. */
    suspend fun changes(table: String, version: Long, waitMs: Long): Either<StoreError, RowChanges>

    /** Writes a row if its version is [expected] (0: it does not exist, null: no condition). A null [value] deletes it. */
    suspend fun write(table: String, key: String, value: ByteArray?, expected: Long?): Either<StoreError, WriteResult>

    /** Makes all [writes] to [table] in one transaction, or none of them if a row has another version. At most [MAX_WRITES] at a time. */
    suspend fun writeAll(table: String, writes: List<RowWrite>): Either<StoreError, WriteResult>

    companion object {
        /** The most rows that one transaction writes. */
        const val MAX_WRITES = 40
    }
}
