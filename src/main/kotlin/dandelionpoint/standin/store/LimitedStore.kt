/* The platform stand-in's stores, with rate limits and counters. */
package dandelionpoint.standin.store

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.store.PlatformApi
import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.ScanPage
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.protocol.store.TransactionResult
import java.util.concurrent.ConcurrentHashMap

/** Rate limits and counters of one store. */
internal open class LimitedStore(settings: PlatformStandInSettings, clock: Clock) {
    private val readLimit = RateLimit(settings.readsPerSecond, clock)
    private val writeLimit = RateLimit(settings.writesPerSecond, clock)
    protected val counters = StoreCounters()

    /** Returns true if a read is within the rate limit; otherwise counts it as refused. */
    fun tryAdmitRead(): Boolean = readLimit.tryAdmit().also { if (!it) counters.refusedReads.increment() }

    /** Returns true if a write is within the rate limit; otherwise counts it as refused. */
    fun tryAdmitWrite(): Boolean = writeLimit.tryAdmit().also { if (!it) counters.refusedWrites.increment() }

    fun stats(): StoreStats = counters.snapshot()

    protected fun countRead(key: String, bytes: Int) {
        val units = maxOf(1, (bytes + PlatformApi.READ_UNIT_BYTES - 1) / PlatformApi.READ_UNIT_BYTES)
        readLimit.charge(units - 1)
        counters.addRead(key, units)
    }

    protected fun countWrites(keys: List<String>) {
        writeLimit.charge(maxOf(0, keys.size - 1))
        keys.forEach { counters.addWrite(it) }
    }
}

/** The table. A transaction that is not applied uses one write of the rate limit and is counted as a conflict. */
internal class LimitedTable(settings: PlatformStandInSettings, clock: Clock) : LimitedStore(settings, clock) {
    private val rows = MemoryTable()

    fun get(key: String): Row? = rows.get(key).also { countRead(key, it?.bytes() ?: 0) }

    fun scan(prefix: String, after: String?, limit: Int): ScanPage =
        rows.scan(prefix, after, limit).also { page -> countRead(prefix, page.rows.sumOf { it.bytes() }) }

    fun transact(transaction: Transaction): TransactionResult = rows.transact(transaction).also { result ->
        when (result) {
            is TransactionResult.Committed -> countWrites(transaction.puts.map { it.key } + transaction.deletes)
            is TransactionResult.Conflict -> counters.conflicts.increment()
        }
    }

    private fun Row.bytes(): Int = key.length + value.length + writeId.length + VERSION_BYTES

    private companion object {
        const val VERSION_BYTES = 8
    }
}

/** The object store. */
internal class LimitedObjects(settings: PlatformStandInSettings, clock: Clock) : LimitedStore(settings, clock) {
    private val objects = ConcurrentHashMap<String, ByteArray>()

    fun get(key: String): ByteArray? = objects[key].also { countRead(key, it?.size ?: 0) }

    fun put(key: String, bytes: ByteArray) {
        objects[key] = bytes
        countWrites(listOf(key))
    }
}
