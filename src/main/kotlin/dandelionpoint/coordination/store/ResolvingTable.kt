/*
 * Resolves transactions whose answer was lost, by reading back the first row that they put.
 *
 * For a transaction that checks version v of that row, the row can have:
 *
 *  - the write id of the transaction: it was applied (all of it, as transactions are atomic);
 *  - version v + 1 with another write id: another transaction created the version that this one would have created, so this one was
 *    not applied and, as versions only grow, can no longer be applied;
 *  - version v: the transaction has not been applied so far, but it may still be in flight and be applied later. It is then sent
 *    again. Both copies check version v, so at most one of them is applied, and the answer or the next read shows which;
 *  - a version above v + 1, or no row where there was one: the transaction may have been applied and then overwritten. The outcome
 *    stays unknown.
 *
 * A late write is therefore harmless as long as the first put row is also checked, which `ResolvingTable` requires for a resolution
 * other than "applied". Rows must not be deleted and created again with the same version while a write on them may be in flight.
 */
package dandelionpoint.coordination.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.protocol.store.Table
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.protocol.store.TransactionResult
import dandelionpoint.protocol.store.TransactionResult.Committed
import dandelionpoint.protocol.store.TransactionResult.Conflict

/** Resolves lost answers of [table] where possible. A transaction is sent again at most [resends] times. */
class ResolvingTable(private val table: Table, private val resends: Int = 1) : Table by table {
    override suspend fun transact(transaction: Transaction): Either<StoreError, TransactionResult> {
        val answer = table.transact(transaction)
        val error = answer.leftOrNull() as? StoreError.OutcomeUnknown ?: return answer
        return resolve(transaction, error, resends)
    }

    private suspend fun resolve(
        transaction: Transaction,
        error: StoreError.OutcomeUnknown,
        resendsLeft: Int,
    ): Either<StoreError, TransactionResult> {
        val key = transaction.puts.firstOrNull()?.key ?: return error.left()
        val row = table.get(key).fold({ return unknown(error, "row $key could not be read back: ${it.reason}") }, { it })
        val checked = transaction.checks.find { it.key == key }?.version
        return when (readBack(transaction.writeId, checked, row)) {
            ReadBack.APPLIED -> Committed(versions(transaction, checkNotNull(row))).right()
            ReadBack.SUPERSEDED -> Conflict(key, row?.version ?: 0).right()
            ReadBack.PENDING -> if (resendsLeft > 0) resend(transaction, resendsLeft) else unknown(error, "row $key is still unchanged")
            ReadBack.OVERWRITTEN -> unknown(error, "row $key may have been overwritten since")
        }
    }

    private suspend fun resend(transaction: Transaction, resendsLeft: Int): Either<StoreError, TransactionResult> =
        table.transact(transaction).fold(
            { resolve(transaction, StoreError.OutcomeUnknown(it.reason), resendsLeft - 1) },
            { result ->
                when (result) {
                    is Committed -> result.right()
                    is Conflict -> resolveConflict(transaction, result)
                }
            },
        )

    /**
     * The conflict may be with the first copy of this transaction. If the first put row is unchanged, the first copy was not applied, and
     * the row that caused the conflict prevents it from being applied later.
     */
    private suspend fun resolveConflict(transaction: Transaction, conflict: Conflict): Either<StoreError, TransactionResult> {
        val key = transaction.puts.first().key
        val error = StoreError.OutcomeUnknown("no answer to the first copy of the transaction")
        val row = table.get(key).fold({ return unknown(error, "row $key could not be read back: ${it.reason}") }, { it })
        val checked = transaction.checks.find { it.key == key }?.version
        return when (readBack(transaction.writeId, checked, row)) {
            ReadBack.APPLIED -> Committed(versions(transaction, checkNotNull(row))).right()
            ReadBack.SUPERSEDED, ReadBack.PENDING -> conflict.right()
            ReadBack.OVERWRITTEN -> unknown(error, "row $key may have been overwritten since")
        }
    }

    /** New versions of the put rows, as far as they are known from the row that was read and from the checked versions. */
    private fun versions(transaction: Transaction, first: Row): Map<String, Long> {
        val checked = transaction.checks.associate { it.key to it.version + 1 }
        val known = transaction.puts.mapNotNull { put -> checked[put.key]?.let { put.key to it } }
        return known.toMap() + (first.key to first.version)
    }

    private fun unknown(error: StoreError, detail: String) = StoreError.OutcomeUnknown("${error.reason}; $detail").left()
}

/** What the first put row shows about a transaction whose answer was lost. */
internal enum class ReadBack { APPLIED, SUPERSEDED, PENDING, OVERWRITTEN }

/** Compares the row read back with the [writeId] and the [checkedVersion] of the transaction, null if it does not check the row. */
internal fun readBack(writeId: String, checkedVersion: Long?, row: Row?): ReadBack {
    val version = row?.version ?: 0
    return when {
        row?.writeId == writeId -> ReadBack.APPLIED
        checkedVersion == null -> ReadBack.OVERWRITTEN
        version == checkedVersion -> ReadBack.PENDING
        version == checkedVersion + 1 -> ReadBack.SUPERSEDED
        else -> ReadBack.OVERWRITTEN
    }
}
