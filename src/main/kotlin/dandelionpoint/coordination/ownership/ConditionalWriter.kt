/* Conditional writes. If the answer is lost, the row is read back to find the outcome. */
package dandelionpoint.coordination.ownership

import arrow.core.Either
import arrow.core.getOrElse
import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.protocol.store.Table
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.protocol.store.TransactionResult
import kotlinx.coroutines.withTimeoutOrNull

/** Outcome of a conditional write. */
internal sealed interface WriteOutcome {
    data class Applied(val version: Long) : WriteOutcome

    /** The write was not applied and never will be. [current] is the row as it is now, null if it is absent or could not be read. */
    data class Refused(val current: Row?) : WriteOutcome

    /** The write certainly had no effect: no connection, or refused by the table's service. It can be repeated. */
    data object NotApplied : WriteOutcome

    /** The write may have been applied, or may still be applied later. */
    data object Unknown : WriteOutcome
}

/** A table call without an answer within [callTimeoutMs] has an unknown outcome. */
internal class ConditionalWriter(private val table: Table, private val callTimeoutMs: Long) {
    /** Applies [transaction], which must put and check the row [key]. [WriteOutcome.Applied] has the new version of that row. */
    suspend fun write(key: String, transaction: Transaction): WriteOutcome = when (val answer = bounded { table.transact(transaction) }) {
        is Either.Right -> onAnswer(key, transaction, answer.value)
        is Either.Left -> onError(key, transaction, answer.value)
    }

    /** Reads a row within the call timeout. */
    suspend fun read(key: String): Either<StoreError, Row?> = bounded { table.get(key) }

    private suspend fun onAnswer(key: String, transaction: Transaction, result: TransactionResult): WriteOutcome = when (result) {
        is TransactionResult.Committed -> WriteOutcome.Applied(result.versions.getValue(key))

        is TransactionResult.Conflict -> {
            // The conflict may be with an earlier attempt that had the same write id and was applied.
            val current = read(key).getOrElse { null }
            if (current?.writeId == transaction.writeId) WriteOutcome.Applied(current.version) else WriteOutcome.Refused(current)
        }
    }

    private suspend fun onError(key: String, transaction: Transaction, error: StoreError): WriteOutcome = when (error) {
        is StoreError.NotApplied -> WriteOutcome.NotApplied
        is StoreError.OutcomeUnknown -> readBack(key, transaction)
    }

    private suspend fun readBack(key: String, transaction: Transaction): WriteOutcome {
        val current = read(key).getOrElse { return WriteOutcome.Unknown }
        val expected = transaction.checks.firstOrNull { it.key == key }?.version
        return when {
            current?.writeId == transaction.writeId -> WriteOutcome.Applied(current.version)
            (current?.version ?: 0L) == expected -> WriteOutcome.Unknown
            else -> WriteOutcome.Refused(current)
        }
    }

    private suspend fun <T> bounded(call: suspend () -> Either<StoreError, T>): Either<StoreError, T> =
        withTimeoutOrNull(callTimeoutMs) { call() }
            ?: Either.Left(StoreError.OutcomeUnknown("no answer within $callTimeoutMs ms"))
}
