/*
 * Follows a table of the shared store: reads it whole, then waits for changes. When the history is gone or the store was away, the table
 * is read whole again.
 */
package dandelionpoint.fleet

import arrow.core.Either
import dandelionpoint.protocol.fleet.RowChanges
import dandelionpoint.protocol.fleet.SharedRow
import dandelionpoint.protocol.fleet.SharedRows
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** Hears the rows of a table. */
internal interface TableListener {
    /** The whole table. */
    fun replaced(rows: List<SharedRow>)

    fun changed(rows: List<SharedRow>)

    /** The store has answered, with or without changes. */
    fun contact() = Unit
}

/** Follows [table]. Waits [waitMs] for changes, then [pauseMs] before the next call. */
internal class StoreWatch(
    private val store: SharedRows,
    private val table: String,
    private val listener: TableListener,
    private val waitMs: Long,
    private val pauseMs: Long = 0,
) {
    private var version: Long? = null
    private var isAway = false

    /** Follows the table until the coroutine is cancelled. */
    suspend fun follow() {
        while (true) {
            val known = version
            val hasAnswered = if (known == null) readWhole() else readChanges(known)
            noteContact(hasAnswered)
            delay(if (hasAnswered) pauseMs else RETRY_MS)
        }
    }

    private fun noteContact(hasAnswered: Boolean) {
        if (hasAnswered) listener.contact()
        if (hasAnswered == !isAway) return
        isAway = !hasAnswered
        log.info { "event=${if (isAway) "store_lost" else "store_regained"} table=$table" }
    }

    private suspend fun readWhole(): Boolean = when (val read = store.read(table)) {
        is Either.Left -> false

        is Either.Right -> {
            listener.replaced(read.value.rows)
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
                    if (changes.rows.isNotEmpty()) listener.changed(changes.rows)
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
