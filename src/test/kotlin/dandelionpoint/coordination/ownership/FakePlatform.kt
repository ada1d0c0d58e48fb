/* In-memory table and object store with injected faults, in virtual time. */
package dandelionpoint.coordination.ownership

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dandelionpoint.protocol.store.ObjectStore
import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.ScanPage
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.protocol.store.Table
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.protocol.store.TransactionResult
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import java.util.TreeMap
import kotlin.random.Random

/** Table whose calls run in [scope], so that they take effect even if the caller is cancelled. */
internal class FakePlatform(private val scope: CoroutineScope, private val random: Random) : Table {
    val rows = TreeMap<String, Row>()
    val objects = FakeObjects()
    var isDown = false
    var delayMs = 2L

    /** Share of the writes, from 0 to 1, that are applied but whose answer is lost. */
    var lostAnswers = 0.0

    /** Share of the writes, from 0 to 1, that are applied [lateMs] ms later and whose answer is lost. */
    var lateWrites = 0.0
    var lateMs = 4_000L

    /** Read units by the first part of the key. */
    val readUnits = TreeMap<String, Int>()

    /** Rows put and deleted by the first part of the key; deletions count as `delete`. */
    val rowWrites = TreeMap<String, Int>()

    override suspend fun get(key: String): Either<StoreError, Row?> =
        call { rows[key].also { count(readUnits, key, 1 + (it?.value?.length ?: 0) / BYTES_PER_READ) }.right() }

    override suspend fun scan(prefix: String, after: String?, limit: Int): Either<StoreError, ScanPage> = call {
        val found = rows.tailMap(after ?: prefix, after == null).values.takeWhile { it.key.startsWith(prefix) }
        val page = found.take(limit)
        count(readUnits, prefix, 1 + page.sumOf { it.value.length } / BYTES_PER_READ)
        ScanPage(page, page.lastOrNull()?.key?.takeIf { found.size > limit }).right()
    }

    override suspend fun transact(transaction: Transaction): Either<StoreError, TransactionResult> {
        val isLate = random.nextDouble() < lateWrites
        val isLost = isLate || random.nextDouble() < lostAnswers
        return call(if (isLate) lateMs else 0) {
            val result = apply(transaction)
            if (isLost) StoreError.OutcomeUnknown("answer lost").left() else result.right()
        }
    }

    private suspend fun <T> call(extraMs: Long = 0, effect: () -> Either<StoreError, T>): Either<StoreError, T> = scope.async {
        delay(delayMs / 2 + extraMs)
        if (isDown) return@async StoreError.NotApplied("outage").left()
        val answer = effect()
        delay(delayMs - delayMs / 2)
        answer
    }.await()

    private fun apply(transaction: Transaction): TransactionResult {
        transaction.checks.forEach { check ->
            val actual = rows[check.key]?.version ?: 0L
            if (actual != check.version) return TransactionResult.Conflict(check.key, actual)
        }
        transaction.puts.forEach { put ->
            rows[put.key] = Row(put.key, put.value, (rows[put.key]?.version ?: 0L) + 1, transaction.writeId)
            count(rowWrites, put.key, 1)
        }
        transaction.deletes.forEach { key -> if (rows.remove(key) != null) count(rowWrites, "delete/$key", 1) }
        return TransactionResult.Committed(transaction.puts.associate { it.key to rows.getValue(it.key).version })
    }

    private fun count(counts: TreeMap<String, Int>, key: String, units: Int) {
        counts.merge(key.substringBefore('/'), units, Int::plus)
    }

    private companion object {
        const val BYTES_PER_READ = 16_384
    }
}

/** Object store that can be down. */
internal class FakeObjects : ObjectStore {
    val stored = HashMap<String, ByteArray>()
    var isDown = false

    override suspend fun put(key: String, bytes: ByteArray): Either<StoreError, Unit> {
        if (isDown) return StoreError.NotApplied("outage").left()
        stored[key] = bytes
        return Unit.right()
    }

    override suspend fun get(key: String): Either<StoreError, ByteArray?> =
        if (isDown) StoreError.NotApplied("outage").left() else stored[key].right()
}
