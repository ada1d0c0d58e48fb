/*
 * The evacuations as this VM reads them from the operator's table and from its peers' heartbeats. [Evacuations] decides which ones are in
 * force; this class reads the rows, logs changes, and marks the workers of evacuated data centres as draining: these get no new runs, are
 * not announced as free, and finish what they run.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.EvacuationChange
import dandelionpoint.coordination.fleet.EvacuationRow
import dandelionpoint.coordination.fleet.Evacuations
import dandelionpoint.protocol.fleet.SharedRow
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.peer.EvacuatedDataCentres
import io.github.oshai.kotlinlogging.KotlinLogging

private val log = KotlinLogging.logger {}

/**
 * Evacuations by the rows whose keys are [keyPrefix] and the name of a data centre; none if it is null. Until it is known which data
 * centres are evacuated, all workers are draining. [workers] returns the list of workers, for the log. The functions that take something
 * new return true if the workers that may be used are others now.
 */
internal class EvacuationTable(private val keyPrefix: String?, private val workers: () -> List<WorkerEntry>) {
    /** The list of workers that [withDraining] has last returned, and what it was made from. */
    private class Marked(val source: List<WorkerEntry>, val isKnown: Boolean, val names: Set<String>, val result: List<WorkerEntry>)

    private val evacuations = Evacuations(isKnown = keyPrefix == null)

    /** Keys of rows that name no data centre, so that each is logged once. */
    private val ignoredKeys = mutableSetOf<String>()

    @Volatile
    private var lastMarked: Marked? = null

    /** What the heartbeats have to say, null while no evacuation has been known. */
    fun announced(): EvacuatedDataCentres? = evacuations.announced()

    /** [rows] is the whole table at the store's [version]. */
    fun onTableRead(rows: List<SharedRow>, version: Long): Boolean = apply(STORE, version) {
        val names = rows.filter { it.value != null }.mapNotNull { dataCentreOf(it) }.toSet()
        evacuations.onTableRead(names, version)
    }

    /** [rows] have changed. */
    fun onRowsChanged(rows: List<SharedRow>): Boolean = apply(STORE, rows.maxOfOrNull { it.version } ?: 0) {
        evacuations.onRowsChanged(
            rows.mapNotNull { row -> dataCentreOf(row)?.let { EvacuationRow(it, isPresent = row.value != null, row.version) } },
        )
    }

    /** The peer [name], which has read the operator's table or heard of its contents, knows of the evacuations [peers]. */
    fun onPeer(peers: EvacuatedDataCentres?, name: String): Boolean = apply(name, peers?.version ?: 0) { evacuations.onPeer(peers) }

    /** [listed] with the workers that may get no new runs marked as draining. While nothing changes, it is the same list. */
    fun withDraining(listed: List<WorkerEntry>): List<WorkerEntry> {
        val isKnown = evacuations.isKnown
        val names = evacuations.dataCentres
        if (isKnown && names.isEmpty()) return listed
        lastMarked?.takeIf { it.source === listed && it.isKnown == isKnown && it.names == names }?.let { return it.result }
        val result = listed.map { if (isKnown && it.dataCentre !in names) it else it.copy(isDraining = true) }
        lastMarked = Marked(listed, isKnown, names, result)
        return result
    }

    private fun apply(source: String, version: Long, action: () -> EvacuationChange?): Boolean {
        val wasKnown = evacuations.isKnown
        val change = action()
        if (change != null) logChange(change, source, version)
        return change != null || !wasKnown
    }

    /** The data centre that the key of [row] names, null if the row is not of an evacuation. */
    private fun dataCentreOf(row: SharedRow): String? {
        if (keyPrefix == null || !row.key.startsWith(keyPrefix)) return null
        val name = row.key.removePrefix(keyPrefix)
        val isName = name.isNotBlank() && name.length <= MAX_NAME_LENGTH && name.none { it.isISOControl() }
        if (!isName) logIgnored(row)
        return name.takeIf { isName }
    }

    private fun logIgnored(row: SharedRow) {
        if (ignoredKeys.size >= MAX_LOGGED_ROWS || !ignoredKeys.add(row.key)) return
        val shown = row.key.take(MAX_NAME_LENGTH).filterNot { it.isISOControl() }
        log.warn { "event=evacuation_row_ignored key=\"$shown\" reason=\"the key names no data centre\"" }
    }

    /** A data centre without workers may be misspelt, which the number of its workers shows. */
    private fun logChange(change: EvacuationChange, source: String, version: Long) {
        val counts = workers().groupingBy { it.dataCentre }.eachCount()
        val begun = change.begun.sorted().take(MAX_NAMES_SHOWN).joinToString { "$it (${counts[it] ?: 0} workers)" }
        val ended = change.ended.sorted().take(MAX_NAMES_SHOWN).joinToString()
        val inForce = evacuations.dataCentres.size
        log.info { "event=evacuation begun=\"$begun\" ended=\"$ended\" in_force=$inForce version=$version source=$source" }
    }

    private companion object {
        const val STORE = "store"

        /** Longest name of a data centre, in characters. */
        const val MAX_NAME_LENGTH = 200

        /** Number of rows without the name of a data centre that are logged. */
        const val MAX_LOGGED_ROWS = 100

        /** Number of data centres that a log line names. */
        const val MAX_NAMES_SHOWN = 20
    }
}
