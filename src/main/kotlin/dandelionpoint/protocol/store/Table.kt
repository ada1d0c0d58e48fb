/* The platform's transactional table service and object store, as the dispatcher uses them. */
package dandelionpoint.protocol.store

import arrow.core.Either
import kotlinx.serialization.Serializable

/** A row. [version] starts at 1 and grows by one with each change; [writeId] names the write that made this version. */
@Serializable
data class Row(val key: String, val value: String, val version: Long, val writeId: String)

/** A condition on a row: its version must be [version], 0 for a row that must not exist. */
@Serializable
data class Check(val key: String, val version: Long)

/** A write of a row. */
@Serializable
data class Put(val key: String, val value: String)

/** Checks, puts and deletes that are applied together or not at all. [writeId] is unique for each transaction and kept in the rows. */
@Serializable
data class Transaction(
    val writeId: String,
    val checks: List<Check> = emptyList(),
    val puts: List<Put> = emptyList(),
    val deletes: List<String> = emptyList(),
)

/** Answer of the table to a transaction. */
@Serializable
sealed interface TransactionResult {
    /** Applied; [versions] has the new version of each row that was put. */
    @Serializable
    data class Committed(val versions: Map<String, Long>) : TransactionResult

    /** Not applied: the row [key] has version [actualVersion] (0 if it does not exist). */
    @Serializable
    data class Conflict(val key: String, val actualVersion: Long) : TransactionResult
}

/** A page of a scan, in key order. [next] is the key to continue after, or null at the end. */
@Serializable
data class ScanPage(val rows: List<Row>, val next: String? = null)

/** Why a call to the platform gave no answer. */
sealed interface StoreError {
    val reason: String

    /** The call certainly had no effect: no connection, or refused by the service. */
    data class NotApplied(override val reason: String) : StoreError

    /** The call may have had its effect: the answer was lost or late. */
    data class OutcomeUnknown(override val reason: String) : StoreError
}

/** The transactional table service. */
interface Table {
    /** Reads one row; null if it does not exist. */
    suspend fun get(key: String): Either<StoreError, Row?>

    /** Reads rows whose key starts with [prefix], after [after], at most [limit]. */
    suspend fun scan(prefix: String, after: String? = null, limit: Int = 1_000): Either<StoreError, ScanPage>

    /** Applies [transaction] whole or not at all. */
    suspend fun transact(transaction: Transaction): Either<StoreError, TransactionResult>
}

/** The object store. Objects are written once and read by key. */
interface ObjectStore {
    suspend fun put(key: String, bytes: ByteArray): Either<StoreError, Unit>

    /** Returns the object, or null if there is none. */
    suspend fun get(key: String): Either<StoreError, ByteArray?>
}
