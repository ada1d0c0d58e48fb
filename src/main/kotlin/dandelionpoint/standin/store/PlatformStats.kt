/* Statistics of the calls to the platform stand-in. */
package dandelionpoint.standin.store

import kotlinx.serialization.Serializable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/**
 * Counts of one store. [reads] (in units of 16 KiB) and [writes] (in rows or objects) are keyed by the part of the key before the first
 * slash. [refusedReads] and [refusedWrites] are calls above the rate limit, [conflicts] transactions that a failed check prevented.
 */
@Serializable
data class StoreStats(
    val reads: Map<String, Long>,
    val writes: Map<String, Long>,
    val refusedReads: Long,
    val refusedWrites: Long,
    val conflicts: Long,
)

/** Response of `GET /stats`. [lists] are the reads of each list; [unanswered] the calls that got no answer because of a fault. */
@Serializable
data class PlatformStats(val table: StoreStats, val objects: StoreStats, val lists: Map<String, Long>, val unanswered: Long)

/** Counters by name. */
internal class Counters {
    private val adders = ConcurrentHashMap<String, LongAdder>()

    fun add(name: String, count: Long = 1) = adders.computeIfAbsent(name) { LongAdder() }.add(count)

    fun snapshot(): Map<String, Long> = adders.mapValues { it.value.sum() }.toSortedMap()
}

/** Counters of one store. */
internal class StoreCounters {
    private val reads = Counters()
    private val writes = Counters()
    val refusedReads = LongAdder()
    val refusedWrites = LongAdder()
    val conflicts = LongAdder()

    fun addRead(key: String, units: Int) = reads.add(key.substringBefore('/'), units.toLong())

    fun addWrite(key: String) = writes.add(key.substringBefore('/'))

    fun snapshot() = StoreStats(reads.snapshot(), writes.snapshot(), refusedReads.sum(), refusedWrites.sum(), conflicts.sum())
}
