/*
 * Follows a table of the shared store: reads the whole table once, then waits for changes. When the store no longer has the history since
 * the last read version, the whole table is read again.
 */
package dandelionpoint.fleet

import arrow.core.Either
import dandelionpoint.protocol.fleet.RowChanges
import dandelionpoint.protocol.fleet.SharedRow
import dandelionpoint.protocol.fleet.SharedRows
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive

private val log = KotlinLogging.logger {}

/** Receives the rows of a table. */
internal interface TableListener {
    /** [rows] is the whole table at the store's [version]. */
    fun replaced(rows: List<SharedRow>, version: Long)

    /** [rows] were written or deleted since the last call. */
    fun changed(rows: List<SharedRow>)

    /** The store has answered a call, with or without changes. */
    fun onStoreAnswer() = Unit
}

/** Follows [table]. Each call waits up to [waitMs] ms for changes; the next one is made [pauseMs] ms later. */
internal class StoreWatch(
    private val store: SharedRows,
    private val table: String,
    private val listener: TableListener,
    private val waitMs: Long,
    private val pauseMs: Long = 0,
) {
    private var version: Long? = null
    private var isUnavailable = false

    /** Follows the table until the coroutine is cancelled. A failure of a call or of the listener is logged and does not end this. */
    suspend fun follow() {
        while (true) {
            val known = version
            val hasAnswered = attempt("read") { if (known == null) readTable() else readChanges(known) } ?: false
            attempt("report_contact") { recordContact(hasAnswered) }
            delay(if (hasAnswered) pauseMs else RETRY_MS)
        }
    }

    /** Returns the result of [action], or null if it has failed. */
    private suspend fun <T> attempt(step: String, action: suspend () -> T): T? = runCatching { action() }.getOrElse { failure ->
        currentCoroutineContext().ensureActive()
        log.warn { "event=table_step_failed table=$table step=$step reason=\"$failure\"" }
        null
    }

    private fun recordContact(hasAnswered: Boolean) {
        if (hasAnswered) listener.onStoreAnswer()
        if (hasAnswered == !isUnavailable) return
        isUnavailable = !hasAnswered
        log.info { "event=${if (isUnavailable) "store_lost" else "store_regained"} table=$table" }
    }

    private suspend fun readTable(): Boolean = when (val read = store.read(table)) {
        is Either.Left -> false

        is Either.Right -> {
            attempt("apply_table") { listener.replaced(read.value.rows, read.value.version) }
            version = read.value.version
            true
        }
    }

    private suspend fun readChanges(after: Long): Boolean = when (val read = store.changes(table, after, waitMs)) {
        is Either.Left -> false

        is Either.Right -> {
            when (val changes = read.value) {
                is RowChanges.HistoryGone -> {
                    log.info { "event=store_history_gone table=$table version=$after" }
                    version = null
                }

                is RowChanges.Changed -> {
                    if (changes.rows.isNotEmpty()) attempt("apply_changes") { listener.changed(changes.rows) }
                    version = changes.version
                }
            }
            true
        }
    }

    private companion object {
        const val RETRY_MS = 200L
    }
}
