/* Calls to the table on behalf of the configuration, each with a time limit. */
package dandelionpoint.coordination.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import dandelionpoint.protocol.store.ScanPage
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.protocol.store.Table
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.protocol.store.TransactionResult
import kotlinx.coroutines.withTimeoutOrNull

internal class ConfigurationStore(private val table: Table, private val settings: ConfigurationSettings) {
    suspend fun head(): Either<StoreError, HeadRow?> = withTimeLimit {
        table.get(ConfigurationRows.HEAD)
    }.map { it?.let(ConfigurationRows::head) }

    /** The change that made [version], or null if there is no such row. */
    suspend fun change(version: Long): Either<StoreError, ChangeRecord?> =
        withTimeLimit { table.get(ConfigurationRows.changeKey(version)) }.map { it?.let(ConfigurationRows::change) }

    /** The changes after [version], oldest first, at most [limit]. */
    suspend fun changesAfter(version: Long, limit: Int): Either<StoreError, List<ChangeRecord>> = either {
        val records = mutableListOf<ChangeRecord>()
        var after: String? = ConfigurationRows.changeKey(version)
        while (after != null && records.size < limit) {
            val page = page(after, limit - records.size).bind()
            records += page.rows.map(ConfigurationRows::change)
            after = page.next
        }
        records
    }

    suspend fun snapshot(): Either<StoreError, Configuration?> =
        withTimeLimit { table.get(ConfigurationRows.SNAPSHOT) }.map { it?.let(ConfigurationRows::snapshot) }

    suspend fun transact(transaction: Transaction): Either<StoreError, TransactionResult> = withTimeLimit { table.transact(transaction) }

    /**
     * Brings [held] up to [version] by reading the later changes. Starts from the snapshot row if [held] is far behind or some of the
     * changes are missing. The result may be lower than [version] if a row cannot be found.
     */
    suspend fun catchUp(held: HeldConfiguration?, version: Long): Either<StoreError, HeldConfiguration?> = either {
        val isFarBehind = held == null || version - held.version > settings.snapshotDistance
        val updated = if (isFarBehind) fromSnapshot(held).bind() else withLaterChanges(held).bind()
        if (updated != null && updated.version < version && !isFarBehind) fromSnapshot(updated).bind() else updated
    }

    private suspend fun fromSnapshot(held: HeldConfiguration?): Either<StoreError, HeldConfiguration?> = either {
        val snapshot = snapshot().bind() ?: return@either held
        withLaterChanges(held.orNewer(HeldConfiguration(snapshot))).bind()
    }

    private suspend fun withLaterChanges(held: HeldConfiguration): Either<StoreError, HeldConfiguration> =
        changesAfter(held.version, limit = settings.historyRows.toInt()).map { held.applyChanges(it) }

    private suspend fun page(after: String, limit: Int): Either<StoreError, ScanPage> =
        withTimeLimit { table.scan(ConfigurationRows.CHANGE_PREFIX, after, limit) }

    private suspend fun <T> withTimeLimit(call: suspend () -> Either<StoreError, T>): Either<StoreError, T> =
        withTimeoutOrNull(settings.callTimeoutMs) { call() }
            ?: StoreError.OutcomeUnknown("no answer from the table within ${settings.callTimeoutMs} ms").left()
}
