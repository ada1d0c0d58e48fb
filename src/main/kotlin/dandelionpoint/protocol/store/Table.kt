/* The platform's transactional table service and object store, as the dispatcher uses them. */
package dandelionpoint.protocol.store

import arrow.core.Either
import kotlinx.serialization.Serializable

/** A row. [version] starts at 1 and increases by one with each change; [writeId] identifies the transaction that wrote this version. */
@Serializable
data class Row(val key: String, val value: String, val version: Long, val writeId: String)

/** A condition on a row: its version must be [version], 0 for a row that must not exist. */
@Serializable
data class Check(val key: String, val version: Long)

/** A write of a row. */
@Serializable
data class Put(val key: String, val value: String)

/** Checks, puts and deletes that are applied atomically. [writeId] is unique for each transaction and stored in the rows it puts. */
@Serializable
data class Transaction(
    val writeId: String,
    val checks: List<Check> = emptyList(),
    val puts: List<Put> = emptyList(),
    val deletes: List<String> = emptyList(),
)

/** Result of a transaction. */
@Serializable
sealed interface TransactionResult {
    /** Applied. [versions] maps the key of each row that was put to its new version. */
    @Serializable
    data class Committed(val versions: Map<String, Long>) : TransactionResult

    /** Not applied: the row [key] has version [actualVersion] (0 if it does not exist). */
    @Serializable
    data class Conflict(val key: String, val actualVersion: Long) : TransactionResult
}

/** One page of a scan, in key order. [next] is the key after which the next page starts, null on the last page. */
@Serializable
data class ScanPage(val rows: List<Row>, val next: String? = null)

/** Why a call to the platform returned no result. */
sealed interface StoreError {
    val reason: String

    /** The call certainly had no effect: there was no connection, or the service refused it. */
    data class NotApplied(override val reason: String) : StoreError

    /** The call may have taken effect: its answer was lost or late. */
    data class OutcomeUnknown(override val reason: String) : StoreError
}

/** The transactional table service. */
interface Table {
    /** Reads one row; null if it does not exist. */
    suspend fun get(key: String): Either<StoreError, Row?>

    /** Reads, in key order, at most [limit] rows whose key starts with [prefix] and is greater than [after]. */
    suspend fun scan(prefix: String, after: String? = null, limit: Int = 1_000): Either<StoreError, ScanPage>

    /** Applies [transaction] atomically. */
    suspend fun transact(transaction: Transaction): Either<StoreError, TransactionResult>
}

/** The object store. An object is written once and then only read. */
interface ObjectStore {
    /** Stores [bytes] as the object [key]. */
    suspend fun put(key: String, bytes: ByteArray): Either<StoreError, Unit>

    /** Returns the object, or null if there is none. */
    suspend fun get(key: String): Either<StoreError, ByteArray?>
}
