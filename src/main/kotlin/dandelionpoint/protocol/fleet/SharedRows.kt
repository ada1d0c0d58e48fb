/* The shared store as the fleet uses it: rows with versions from one counter, conditional writes and a feed of changes. */
package dandelionpoint.protocol.fleet

import arrow.core.Either
import dandelionpoint.protocol.store.StoreError

/** A row of [table]. [version] grows with every change of any row. A deleted row has no [value]. */
data class SharedRow(val table: String, val key: String, val value: ByteArray?, val version: Long)

/** Rows as of one moment. [version] is the newest version of the store, [storeMs] its steady clock. */
data class RowsRead(val rows: List<SharedRow>, val version: Long, val storeMs: Long)

/** Changes after a version, in order. */
sealed interface RowChanges {
    data class Changed(val rows: List<SharedRow>, val version: Long) : RowChanges

    /** The history after the version is gone; read the whole table. */
    data object HistoryGone : RowChanges
}

/** Outcome of a conditional write. */
sealed interface WriteResult {
    data class Written(val version: Long, val storeMs: Long) : WriteResult

    /** The row did not have the expected version; nothing was written. */
    data object Conflict : WriteResult
}

/** The shared store. Calls are sent once. */
interface SharedRows {
    /** Reads all rows of [table], or those with keys in [from, to). */
    suspend fun read(table: String, from: String = "", to: String = ""): Either<StoreError, RowsRead>

    /** Waits up to [waitMs] for rows of [table] that changed after [version]. */
    suspend fun changes(table: String, version: Long, waitMs: Long): Either<StoreError, RowChanges>

    /** Writes a row if its version is [expected] (0: it does not exist, null: no condition). A null [value] deletes it. */
    suspend fun write(table: String, key: String, value: ByteArray?, expected: Long?): Either<StoreError, WriteResult>
}
