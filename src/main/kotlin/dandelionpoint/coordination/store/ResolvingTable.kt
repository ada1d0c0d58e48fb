/*
 * Resolves transactions whose answer was lost, by reading back the first row that they put.
 *
 * What the row shows, for a transaction that checks version v of it:
 *
 *  - our write id: the transaction was applied (all of it, as transactions are atomic);
 *  - version v + 1 with another write id: somebody else made the version that ours would have made, so ours was not applied and, as
 *    versions only grow, can no longer be;
 *  - version v: not applied so far, but it may still be on its way and apply later. The same transaction is then sent again. Both
 *    copies check version v, so at most one of them is applied, and the answer or the next read settles it;
 *  - a version above v + 1, or no row where there was one: ours may have been applied and then overwritten. This stays unknown.
 *
 * A late write therefore does no harm as long as the first put row is also checked, which `ResolvingTable` requires for a resolution
 * other than "applied". Rows must not be deleted and made anew with the same version while a write on them may be on its way.
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

/** A [table] whose lost answers are resolved where possible. A transaction is sent again at most [resends] times. */
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
        val row = table.get(key).fold({ return unknown(error, "reading $key back failed: ${it.reason}") }, { it })
        val checked = transaction.checks.find { it.key == key }?.version
        return when (readBack(transaction.writeId, checked, row)) {
            ReadBack.APPLIED -> Committed(versions(transaction, checkNotNull(row))).right()
            ReadBack.LOST_RACE -> Conflict(key, row?.version ?: 0).right()
            ReadBack.UNSETTLED -> if (resendsLeft > 0) resend(transaction, resendsLeft) else unknown(error, "$key is unchanged so far")
            ReadBack.OVERWRITTEN -> unknown(error, "$key was changed more than once since")
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
     * the row that caused the conflict keeps it from being applied later.
     */
    private suspend fun resolveConflict(transaction: Transaction, conflict: Conflict): Either<StoreError, TransactionResult> {
        val key = transaction.puts.first().key
        val error = StoreError.OutcomeUnknown("the first answer was lost")
        val row = table.get(key).fold({ return unknown(error, "reading $key back failed: ${it.reason}") }, { it })
        val checked = transaction.checks.find { it.key == key }?.version
        return when (readBack(transaction.writeId, checked, row)) {
            ReadBack.APPLIED -> Committed(versions(transaction, checkNotNull(row))).right()
            ReadBack.LOST_RACE, ReadBack.UNSETTLED -> conflict.right()
            ReadBack.OVERWRITTEN -> unknown(error, "$key was changed more than once since")
        }
    }

    /** New versions of the put rows, as far as they are known: by the row read, or by the version that was checked. */
    private fun versions(transaction: Transaction, first: Row): Map<String, Long> {
        val checked = transaction.checks.associate { it.key to it.version + 1 }
        val known = transaction.puts.mapNotNull { put -> checked[put.key]?.let { put.key to it } }
        return known.toMap() + (first.key to first.version)
    }

    private fun unknown(error: StoreError, detail: String) = StoreError.OutcomeUnknown("${error.reason}; $detail").left()
}

/** What the first put row shows about a transaction whose answer was lost. */
internal enum class ReadBack { APPLIED, LOST_RACE, UNSETTLED, OVERWRITTEN }

/** Compares the row read back with the [writeId] and the [checkedVersion] of the transaction, null if it does not check the row. */
internal fun readBack(writeId: String, checkedVersion: Long?, row: Row?): ReadBack {
    val version = row?.version ?: 0
    return when {
        row?.writeId == writeId -> ReadBack.APPLIED
        checkedVersion == null -> ReadBack.OVERWRITTEN
        version == checkedVersion -> ReadBack.UNSETTLED
        version == checkedVersion + 1 -> ReadBack.LOST_RACE
        else -> ReadBack.OVERWRITTEN
    }
}
