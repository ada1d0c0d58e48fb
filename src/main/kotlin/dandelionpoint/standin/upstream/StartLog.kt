/* Record of every task start, from which duplicate starts are counted. */
package dandelionpoint.standin.upstream

import kotlinx.serialization.Serializable
import java.io.BufferedWriter
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Response of `GET /starts`. [distinct] counts the keys that were started, [duplicates] the starts beyond the first of each key. */
@Serializable
data class StartSummary(val total: Long, val distinct: Long, val duplicates: Long, val byWorker: Map<String, Long>)

/** Counts the starts of each key in memory and, if [file] is given, writes a line `key worker` for each start. */
internal class StartLog(file: Path? = null) : AutoCloseable {
    private val startsByKey = ConcurrentHashMap<String, Int>()
    private val startsByWorker = ConcurrentHashMap<String, LongAdder>()
    private val writer: BufferedWriter? = file?.let { Files.newBufferedWriter(it) }

    /** Records a start of [key] on [worker]. */
    fun record(key: String, worker: String) {
        startsByKey.merge(key, 1, Int::plus)
        startsByWorker.computeIfAbsent(worker) { LongAdder() }.increment()
        writer?.let { synchronized(it) { it.appendLine("$key $worker") } }
    }

    /** Returns how often [key] was started. */
    fun count(key: String): Int = startsByKey[key] ?: 0

    fun summary(): StartSummary {
        val byWorker = startsByWorker.mapValues { it.value.sum() }.toSortedMap()
        val total = startsByKey.values.sumOf { it.toLong() }
        val distinct = startsByKey.size.toLong()
        return StartSummary(total, distinct, total - distinct, byWorker)
    }

    override fun close() {
        writer?.let { synchronized(it) { it.close() } }
    }
}
