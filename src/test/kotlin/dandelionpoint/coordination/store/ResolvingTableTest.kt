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
private val OURS = Transaction("ours", listOf(Check(KEY, 1)), listOf(Put(KEY, "a"), Put("other", "a")))

/** A table with one row at version 1, which loses the answers of the first [losses] transactions. */
private class LossyTable(var losses: Int) : Table {
    var row = Row(KEY, "initial", version = 1, writeId = "initial")
    var sent = 0
    var applied = 0
    var readError: StoreError? = null

    /** Decides what happens to the n-th copy: true if it takes effect when it is sent. */
    var arrives: (Int) -> Boolean = { true }

    /** Runs after a transaction and before its answer is lost. */
    var afterwards: () -> Unit = {}

    override suspend fun get(key: String): Either<StoreError, Row?> = readError?.left() ?: row.right()

    override suspend fun scan(prefix: String, after: String?, limit: Int): Either<StoreError, ScanPage> = ScanPage(listOf(row)).right()

    override suspend fun transact(transaction: Transaction): Either<StoreError, TransactionResult> {
        sent++
        val result = if (arrives(sent)) apply(transaction) else null
        afterwards()
        if (losses-- > 0 || result == null) return StoreError.OutcomeUnknown("lost").left()
        return result.right()
    }

    fun apply(transaction: Transaction): TransactionResult {
        if (row.version != transaction.checks.first().version) return TransactionResult.Conflict(KEY, row.version)
        row = Row(KEY, transaction.puts.first().value, row.version + 1, transaction.writeId)
        applied++
        return TransactionResult.Committed(mapOf(KEY to row.version))
    }

    fun overwrite() {
        row = row.copy(version = row.version + 1, writeId = "theirs")
    }
}

class ResolvingTableTest :
    DescribeSpec({
        describe("a transaction whose answer was lost") {
            it("is committed if the row has its write id, and is not sent again") {
                val table = LossyTable(losses = 1)
                ResolvingTable(table).transact(OURS) shouldBe TransactionResult.Committed(mapOf(KEY to 2)).right()
                table.sent shouldBe 1
            }
            it("is a conflict if another write made the version that it would have made") {
                val table = LossyTable(losses = 1).apply { overwrite() }
                ResolvingTable(table).transact(OURS) shouldBe TransactionResult.Conflict(KEY, 2).right()
                table.applied shouldBe 0
            }
            it("is unknown if the row cannot be read either") {
                val table = LossyTable(losses = 1).apply { readError = StoreError.NotApplied("down") }
                ResolvingTable(table).transact(OURS).leftOrNull().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
            }
            it("is unknown, and not a conflict, if it may have been applied and then overwritten") {
                val table = LossyTable(losses = 1).apply { afterwards = { overwrite() } }
                ResolvingTable(table).transact(OURS).leftOrNull().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
                table.applied shouldBe 1
            }
            it("is unknown if it puts nothing that could be read back") {
                val deletion = Transaction("ours", listOf(Check(KEY, 1)), deletes = listOf(KEY))
                val table = LossyTable(losses = 1).apply { arrives = { false } }
                ResolvingTable(table).transact(deletion).leftOrNull().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
            }
        }

        describe("a transaction that was lost on its way or is late") {
            it("is sent again and applied once") {
                val table = LossyTable(losses = 1).apply { arrives = { it == 2 } }
                ResolvingTable(table).transact(OURS) shouldBe TransactionResult.Committed(mapOf(KEY to 2)).right()
                table.applied shouldBe 1
            }
            it("is applied once if the first copy arrives before the second, and once if it arrives after it") {
                val before = LossyTable(losses = 1)
                before.arrives = { copy -> (copy == 2).also { if (it) before.apply(OURS) } }
                ResolvingTable(before).transact(OURS).getOrNull().shouldBeInstanceOf<TransactionResult.Committed>()
                before.applied shouldBe 1

                val after = LossyTable(losses = 1).apply { arrives = { it == 2 } }
                ResolvingTable(after).transact(OURS).getOrNull().shouldBeInstanceOf<TransactionResult.Committed>()
                after.apply(OURS).shouldBeInstanceOf<TransactionResult.Conflict>()
                after.applied shouldBe 1
            }
            it("is unknown, and never reported as not applied, while both copies may still arrive") {
                val table = LossyTable(losses = 2).apply { arrives = { false } }
                ResolvingTable(table).transact(OURS).leftOrNull().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
                table.sent shouldBe 2
            }
        }
    })
