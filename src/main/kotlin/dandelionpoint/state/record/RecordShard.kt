/* Submissions of one shard in memory: intended, running and finished ones, and the records that are not written yet. */
package dandelionpoint.state.record

import dandelionpoint.protocol.SubmissionId
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** State of a submission on this VM. */
internal sealed interface RecordEntry {
    val digest: String

    /** An intent to start under [epoch] exists or is being written (mode `commit`). */
    data class Intended(override val digest: String, val epoch: Long) : RecordEntry

    data class Running(override val digest: String) : RecordEntry

    /**
     * [rowKey] is the key of the row with the record, null while the record is not durable. [resultsDropped]: the inline results were
     * removed from memory and are only in that row.
     */
    data class Finished(val record: Record, val rowKey: String?, val resultsDropped: Boolean = false) : RecordEntry {
        override val digest: String get() = record.digest
    }
}

/**
 * Entries of one shard under one lock. Entries are removed only by [dropEnded] and [withdraw], since an id without an entry may be
 * started. Inline results are kept in memory up to [resultBytesLimit] bytes; beyond it the oldest durable ones are dropped and are
 * read again from their row when requested.
 */
internal class RecordShard(private val resultBytesLimit: Long) {
    private val lock = ReentrantLock()
    private val entries = HashMap<SubmissionId, RecordEntry>()
    private val unwritten = LinkedHashMap<SubmissionId, Record>()
    private val resultsByAge = LinkedHashMap<SubmissionId, Long>()
    private var resultBytes = 0L
    private var running = 0

    fun find(id: SubmissionId): RecordEntry? = lock.withLock { entries[id] }

    /** Marks [id] as running. The caller must have checked that [id] has no entry other than the caller's intent. */
    fun start(id: SubmissionId, digest: String) = lock.withLock {
        entries[id] = RecordEntry.Running(digest)
        running++
    }

    /** Adds an intent unless [id] has an entry. */
    fun addIntent(id: SubmissionId, digest: String, epoch: Long) =
        lock.withLock { entries.putIfAbsent(id, RecordEntry.Intended(digest, epoch)) }

    /** Removes [entry] of a submission of which no task has been sent. Does nothing if [id] has another entry by now. */
    fun withdraw(id: SubmissionId, entry: RecordEntry) = lock.withLock {
        if (entries[id] !== entry) return@withLock
        entries.remove(id)
        if (entry is RecordEntry.Running) running--
    }

    /** Marks the submission as finished and its record as unwritten. A second call for the same id changes nothing. */
    fun finish(record: Record) = lock.withLock {
        val known = entries[record.id]
        if (known is RecordEntry.Finished) return@withLock
        if (known is RecordEntry.Running) running--
        entries[record.id] = RecordEntry.Finished(record, rowKey = null)
        unwritten[record.id] = record
        trackResults(record)
    }

    /** Adds a record that was read from row [rowKey]. An entry that is already finished is kept. */
    fun load(record: Record, rowKey: String) = lock.withLock {
        val known = entries[record.id]
        if (known is RecordEntry.Finished) return@withLock
        if (known is RecordEntry.Running) running--
        entries[record.id] = RecordEntry.Finished(record, rowKey)
        trackResults(record)
        dropOldestResults()
    }

    /**
     * The oldest unwritten records: at most [count] with about [bytes] bytes of inline results in total, but at least one if there is
     * any. Records with more than [maxBytesEach] bytes of results are left out.
     */
    fun nextUnwritten(count: Int, bytes: Long, maxBytesEach: Long): List<Record> = lock.withLock {
        var sum = 0L
        val eligible = unwritten.values.asSequence().filter { it.resultBytes <= maxBytesEach }.take(count)
        eligible.takeWhile { record ->
            val fits = sum == 0L || sum + record.resultBytes <= bytes
            sum += record.resultBytes + 1
            fits
        }.toList()
    }

    /** Marks [written] as durable in row [rowKey]; their object keys are kept. */
    fun markWritten(written: List<Record>, rowKey: String) = lock.withLock {
        written.forEach { record ->
            unwritten.remove(record.id)
            val known = entries[record.id]
            if (known is RecordEntry.Finished) {
                val held = known.record.copy(view = known.record.view.copy(recorded = true), objectKey = record.objectKey)
                entries[record.id] = RecordEntry.Finished(held, rowKey)
            }
        }
        dropOldestResults()
    }

    /** Whether the record of [id] is durable. */
    fun isWritten(id: SubmissionId): Boolean = lock.withLock { (entries[id] as? RecordEntry.Finished)?.rowKey != null }

    /** Removes the entries that are not running and that [mayDrop] accepts. Returns how many. */
    fun dropEnded(mayDrop: (SubmissionId) -> Boolean): Int = lock.withLock {
        val dropped = entries.filter { (id, entry) -> entry !is RecordEntry.Running && mayDrop(id) }.keys
        dropped.forEach { id ->
            entries.remove(id)
            unwritten.remove(id)
            resultBytes -= resultsByAge.remove(id) ?: 0L
        }
        dropped.size
    }

    fun runningCount(): Int = lock.withLock { running }

    /** Number of finished submissions whose record is not durable. */
    fun unwrittenCount(): Int = lock.withLock { unwritten.size }

    fun size(): Int = lock.withLock { entries.size }

    /** Size of the inline results in memory, in bytes. */
    fun heldResultBytes(): Long = lock.withLock { resultBytes }

    private fun trackResults(record: Record) {
        if (record.resultBytes == 0L) return
        resultsByAge[record.id] = record.resultBytes
        resultBytes += record.resultBytes
    }

    private fun dropOldestResults() {
        val oldest = resultsByAge.iterator()
        while (resultBytes > resultBytesLimit && oldest.hasNext()) {
            val (id, bytes) = oldest.next()
            val entry = entries[id] as? RecordEntry.Finished ?: continue
            if (entry.rowKey == null) continue
            entries[id] = entry.copy(record = entry.record.withoutResults(), resultsDropped = true)
            resultBytes -= bytes
            oldest.remove()
        }
    }
}
