package dandelionpoint.coordination.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dandelionpoint.protocol.store.Check
import dandelionpoint.protocol.store.Put
import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.ScanPage
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.protocol.store.Table
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.protocol.store.TransactionResult
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private const val KEY = "shard/1"
private val TRANSACTION = Transaction("own", listOf(Check(KEY, 1)), listOf(Put(KEY, "a"), Put("other", "a")))

/** A table with one row at version 1, which loses the answers of the first [lostAnswers] transactions. */
private class LossyTable(var lostAnswers: Int) : Table {
    var row = Row(KEY, "initial", version = 1, writeId = "initial")
    var sent = 0
    var applied = 0
    var readError: StoreError? = null

    /** Whether the n-th copy of the transaction, counted from 1, is applied when it is sent. */
    var isApplied: (Int) -> Boolean = { true }

    /** Runs after a transaction and before its answer. */
    var beforeAnswer: () -> Unit = {}

    override suspend fun get(key: String): Either<StoreError, Row?> = readError?.left() ?: row.right()

    override suspend fun scan(prefix: String, after: String?, limit: Int): Either<StoreError, ScanPage> = ScanPage(listOf(row)).right()

    override suspend fun transact(transaction: Transaction): Either<StoreError, TransactionResult> {
        sent++
        val result = if (isApplied(sent)) apply(transaction) else null
        beforeAnswer()
        if (lostAnswers-- > 0 || result == null) return StoreError.OutcomeUnknown("lost").left()
        return result.right()
    }

    fun apply(transaction: Transaction): TransactionResult {
        if (row.version != transaction.checks.first().version) return TransactionResult.Conflict(KEY, row.version)
        row = Row(KEY, transaction.puts.first().value, row.version + 1, transaction.writeId)
        applied++
        return TransactionResult.Committed(mapOf(KEY to row.version))
    }

    fun overwrite() {
        row = row.copy(version = row.version + 1, writeId = "other")
    }
}

/**
 * Guards against a lost answer that is resolved wrongly: a transaction that is applied twice, or one that is reported as a conflict
 * although it was or can still be applied. This happens if a copy of it is still in flight, or if the row was overwritten before it was
 * read back.
 */
class ResolvingTableTest :
    DescribeSpec({
        describe("a transaction whose answer was lost") {
            it("is committed if the row has its write id, and is not sent again") {
                val table = LossyTable(lostAnswers = 1)
                ResolvingTable(table).transact(TRANSACTION) shouldBe TransactionResult.Committed(mapOf(KEY to 2)).right()
                table.sent shouldBe 1
            }
            it("is a conflict if another write created the version that it would have created") {
                val table = LossyTable(lostAnswers = 1).apply { overwrite() }
                ResolvingTable(table).transact(TRANSACTION) shouldBe TransactionResult.Conflict(KEY, 2).right()
                table.applied shouldBe 0
            }
            it("is unknown if the row cannot be read back") {
                val table = LossyTable(lostAnswers = 1).apply { readError = StoreError.NotApplied("down") }
                ResolvingTable(table).transact(TRANSACTION).leftOrNull().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
            }
            it("is unknown, and not a conflict, if it may have been applied and then overwritten") {
                val table = LossyTable(lostAnswers = 1).apply { beforeAnswer = { overwrite() } }
                ResolvingTable(table).transact(TRANSACTION).leftOrNull().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
                table.applied shouldBe 1
            }
            it("is unknown if it puts no row that could be read back") {
                val deletion = Transaction("own", listOf(Check(KEY, 1)), deletes = listOf(KEY))
                val table = LossyTable(lostAnswers = 1).apply { isApplied = { false } }
                ResolvingTable(table).transact(deletion).leftOrNull().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
            }
        }

        describe("a transaction that was lost or is delayed in the network") {
            it("is sent again and applied once") {
                val table = LossyTable(lostAnswers = 1).apply { isApplied = { it == 2 } }
                ResolvingTable(table).transact(TRANSACTION) shouldBe TransactionResult.Committed(mapOf(KEY to 2)).right()
                table.applied shouldBe 1
            }
            it("is applied once, whether the first copy is applied before or after the second one is sent") {
                val before = LossyTable(lostAnswers = 1)
                before.isApplied = { copy -> (copy == 2).also { if (it) before.apply(TRANSACTION) } }
                ResolvingTable(before).transact(TRANSACTION).getOrNull().shouldBeInstanceOf<TransactionResult.Committed>()
                before.applied shouldBe 1

                val after = LossyTable(lostAnswers = 1).apply { isApplied = { it == 2 } }
                ResolvingTable(after).transact(TRANSACTION).getOrNull().shouldBeInstanceOf<TransactionResult.Committed>()
                after.apply(TRANSACTION).shouldBeInstanceOf<TransactionResult.Conflict>()
                after.applied shouldBe 1
            }
            it("is unknown, and never reported as not applied, while both copies may still be applied") {
                val table = LossyTable(lostAnswers = 2).apply { isApplied = { false } }
                ResolvingTable(table).transact(TRANSACTION).leftOrNull().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
                table.sent shouldBe 2
            }
        }
    })
