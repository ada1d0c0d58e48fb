package dandelionpoint.coordination.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.ScanPage
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.protocol.store.Table
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.protocol.store.TransactionResult

/** Fault of the next write: its effect is applied or dropped and its answer lost, its effect is delayed, or it is refused. */
internal enum class WriteFault { LOST_AFTER_EFFECT, LOST_BEFORE_EFFECT, DELAYED, REFUSED }

/** An in-memory table with fault injection. A page has at most [maxPageRows] rows, so that scans need more than one call. */
internal class FakeTable(private val maxPageRows: Int = 10) : Table {
    val rows = sortedMapOf<String, Row>()
    val writeFaults = ArrayDeque<WriteFault>()
    var isDown = false

    /** While set, reads return this earlier state, like answers that arrive late. */
    var staleRows: Map<String, Row>? = null
    var reads = 0
    var writtenRows = 0

    /** Runs before the next write takes effect, so that another writer can come first. */
    var beforeWrite: (suspend () -> Unit)? = null
    private val delayed = mutableListOf<Transaction>()

    override suspend fun get(key: String): Either<StoreError, Row?> {
        if (isDown) return StoreError.NotApplied("down").left()
        reads++
        return (staleRows ?: rows)[key].right()
    }

    override suspend fun scan(prefix: String, after: String?, limit: Int): Either<StoreError, ScanPage> {
        if (isDown) return StoreError.NotApplied("down").left()
        reads++
        val matching = (staleRows ?: rows).toSortedMap().values.filter { it.key.startsWith(prefix) && it.key > after.orEmpty() }
        val page = matching.take(minOf(limit, maxPageRows))
        return ScanPage(page, page.lastOrNull()?.key.takeIf { page.size < matching.size }).right()
    }

    override suspend fun transact(transaction: Transaction): Either<StoreError, TransactionResult> {
        if (isDown) return StoreError.NotApplied("down").left()
        beforeWrite?.let {
            beforeWrite = null
            it()
        }
        return when (writeFaults.removeFirstOrNull()) {
            null -> commit(transaction).right()
            WriteFault.REFUSED -> StoreError.NotApplied("refused").left()
            WriteFault.LOST_BEFORE_EFFECT -> StoreError.OutcomeUnknown("lost").left()
            WriteFault.LOST_AFTER_EFFECT -> StoreError.OutcomeUnknown("lost").left().also { commit(transaction) }
            WriteFault.DELAYED -> StoreError.OutcomeUnknown("lost").left().also { delayed += transaction }
        }
    }

    /** Applies the delayed writes whose checks still hold. */
    fun deliverDelayed() {
        delayed.forEach(::commit)
        delayed.clear()
    }

    private fun commit(transaction: Transaction): TransactionResult {
        val failed = transaction.checks.firstOrNull { (rows[it.key]?.version ?: 0) != it.version }
        if (failed != null) return TransactionResult.Conflict(failed.key, rows[failed.key]?.version ?: 0)
        transaction.puts.forEach { rows[it.key] = Row(it.key, it.value, (rows[it.key]?.version ?: 0) + 1, transaction.writeId) }
        transaction.deletes.forEach { rows.remove(it) }
        writtenRows += transaction.puts.size + transaction.deletes.size
        return TransactionResult.Committed(transaction.puts.associate { it.key to rows.getValue(it.key).version })
    }
}
