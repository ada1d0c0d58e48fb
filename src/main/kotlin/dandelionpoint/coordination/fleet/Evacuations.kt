/*
 * Which data centres are evacuated: their workers get no new runs. The operator's rows in the shared store decide. A VM without the store
 * learns of them from its peers' heartbeats. What is known is the whole set of evacuated data centres at one version of the store; versions
 * are those of one store-wide counter, so that of two such sets the one at the higher version is the later one. A deleted row needs no
 * entry of its own: it is missing in the set at a version after the deletion. The order in which sets and changes arrive does not matter.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.EvacuatedDataCentres

/** A change of the row that evacuates [dataCentre], at the store's [version]; not [isPresent] if the row was deleted. */
internal data class EvacuationRow(val dataCentre: String, val isPresent: Boolean, val version: Long)

/** The data centres whose evacuation has [begun] or [ended] with a change. */
internal data class EvacuationChange(val begun: Set<String>, val ended: Set<String>)

/** The evacuated data centres as this VM knows them. Unless [isKnown] at first, no run may be started before they have been read. */
internal class Evacuations(isKnown: Boolean = false) {
    private val lock = Any()
    private var isKnownNow = isKnown
    private var hasBeenAny = false
    private var latest = EvacuatedDataCentres(version = 0, names = emptySet())

    /** True once the rows have been read, or a peer that knows them has been heard. */
    val isKnown: Boolean get() = synchronized(lock) { isKnownNow }

    val dataCentres: Set<String> get() = synchronized(lock) { latest.names }

    /** What the heartbeats have to say, null while no evacuation has been known. */
    fun announced(): EvacuatedDataCentres? = synchronized(lock) {
        latest.takeIf { hasBeenAny }?.let { if (it.names.size <= MAX_ANNOUNCED) it else it.copy(names = firstNames(it)) }
    }

    private fun firstNames(of: EvacuatedDataCentres): Set<String> = of.names.sorted().take(MAX_ANNOUNCED).toSet()

    /** The whole table was read at the store's [version], and has rows for [names] only. Returns null if nothing changes. */
    fun onTableRead(names: Set<String>, version: Long): EvacuationChange? = synchronized(lock) {
        isKnownNow = true
        replaceBy(EvacuatedDataCentres(version, names))
    }

    /**
     * Applies the latest changes of some rows, which include all changes after the last read. Those before the known set are part of it.
     * Returns null if nothing changes.
     */
    fun onRowsChanged(rows: List<EvacuationRow>): EvacuationChange? = synchronized(lock) {
        val later = rows.filter { it.version >= latest.version }
        if (later.isEmpty()) return@synchronized null
        hasBeenAny = true
        val (present, deleted) = later.partition { it.isPresent }
        val names = latest.names - deleted.map { it.dataCentre }.toSet() + present.map { it.dataCentre }
        replaceBy(EvacuatedDataCentres(later.maxOf { it.version }, names))
    }

    /** A peer that has read the rows, or has heard of them from others, knows [peers]; null if it has known of no evacuation. */
    fun onPeer(peers: EvacuatedDataCentres?): EvacuationChange? = synchronized(lock) {
        isKnownNow = true
        if (peers == null) return@synchronized null
        hasBeenAny = true
        if (peers.version > latest.version) replaceBy(peers) else null
    }

    private fun replaceBy(read: EvacuatedDataCentres): EvacuationChange? {
        if (read.version < latest.version) return null
        val change = EvacuationChange(begun = read.names - latest.names, ended = latest.names - read.names)
        if (read.names.isNotEmpty()) hasBeenAny = true
        latest = read
        return change.takeIf { it.begun.isNotEmpty() || it.ended.isNotEmpty() }
    }

    private companion object {
        /** The most data centres that heartbeats name, the first ones by name. */
        const val MAX_ANNOUNCED = 32
    }
}
