/* The rows of the platform stand-in, in memory. */
package dandelionpoint.standin.store

import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.ScanPage
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.protocol.store.TransactionResult
import java.util.TreeMap

/** A table whose transactions are applied whole or not at all, under one lock. */
internal class MemoryTable {
    private val rows = TreeMap<String, Row>()

    @Synchronized
    fun get(key: String): Row? = rows[key]

    /** Rows whose key starts with [prefix] and comes after [after], in key order, at most [limit]. */
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
