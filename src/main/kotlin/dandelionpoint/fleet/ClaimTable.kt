package dandelionpoint.fleet

import arrow.core.Either
import dandelionpoint.coordination.fleet.CellClaim
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.RowWrite
import dandelionpoint.protocol.fleet.RowsRead
import dandelionpoint.protocol.fleet.SharedRow
import dandelionpoint.protocol.fleet.SharedRows
import dandelionpoint.protocol.fleet.WriteResult
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.store.StoreError
import kotlinx.serialization.json.Json

/** The table of the shared store that has a row with the claim of each cell. */
internal class ClaimTable(private val store: SharedRows, private val clock: Clock) {
    /** When the store last answered a call, in ms on the VM's monotonic clock. */
    @Volatile
    private var answeredAt = clock.millis()

    /** True if the store has not answered for a while. A VM that has claims, or wants one, calls it at least twice a second. */
    fun isSilent(): Boolean = clock.millis() - answeredAt > SILENT_MS

    /** Reads the rows from the first to the last of [cells] of one data centre, others between them included; null if that failed. */
    suspend fun read(cells: Collection<String>): RowsRead? = answer(store.read(NAME, from = cells.min(), to = cells.max() + "\u0000"))

    /** Writes all of [rows] in one transaction. Returns null if a row was not as expected, or the outcome is unknown. */
    suspend fun write(rows: List<RowWrite>): WriteResult.Written? = answer(store.writeAll(NAME, rows)) as? WriteResult.Written

    private fun <T : Any> answer(result: Either<StoreError, T>): T? = (result as? Either.Right)?.value?.also { answeredAt = clock.millis() }

    /** The row of [cell] with [claim], to be written if the present row has the version [expected]. */
    fun rowOf(cell: String, claim: CellClaim, expected: Long) =
        RowWrite(cell, JSON.encodeToString(CellClaim.serializer(), claim).encodeToByteArray(), expected)

    /** The claim in [row], null if there is none that can be read. */
    fun claimIn(row: SharedRow): CellClaim? =
        row.value?.let { runCatching { JSON.decodeFromString(CellClaim.serializer(), it.decodeToString()) }.getOrNull() }

    private companion object {
        const val NAME = "cells"
        const val SILENT_MS = 1_500L
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
