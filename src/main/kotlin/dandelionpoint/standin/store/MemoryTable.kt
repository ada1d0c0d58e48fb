/* In-memory table of the platform stand-in. */
package dandelionpoint.standin.store

import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.ScanPage
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.protocol.store.TransactionResult
import java.util.TreeMap

/** A table with atomic transactions. One lock serializes all calls. */
internal class MemoryTable {
    private val rows = TreeMap<String, Row>()

    @Synchronized
    fun get(key: String): Row? = rows[key]

    /** Returns at most [limit] rows in key order whose key starts with [prefix] and is greater than [after]. */
    @Synchronized
    fun scan(prefix: String, after: String?, limit: Int): ScanPage {
        val tail = if (after != null && after >= prefix) rows.tailMap(after, false) else rows.tailMap(prefix, true)
        val found = tail.values.asSequence().takeWhile { it.key.startsWith(prefix) }.take(limit + 1).toList()
        val page = found.take(limit)
        return ScanPage(page, page.lastOrNull()?.key.takeIf { found.size > limit })
    }

    @Synchronized
    fun transact(transaction: Transaction): TransactionResult {
        val failed = transaction.checks.find { versionOf(it.key) != it.version }
        if (failed != null) return TransactionResult.Conflict(failed.key, versionOf(failed.key))
        val changed = transaction.puts.map { Row(it.key, it.value, versionOf(it.key) + 1, transaction.writeId) }
        changed.forEach { rows[it.key] = it }
        transaction.deletes.forEach { rows.remove(it) }
        return TransactionResult.Committed(changed.associate { it.key to it.version })
    }

    private fun versionOf(key: String): Long = rows[key]?.version ?: 0
}
