/* The owners of cells, as the heartbeats of the live peers report them. */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.VmIdentity

/** A peer that owns a cell under the fencing token [token]. */
internal data class CellOwner(val vm: VmIdentity, val token: Long)

/** The cells of the live peers, with their fencing tokens. */
internal class CellDirectory {
    private val lock = Any()
    private val tokens = HashMap<VmIdentity, Map<String, Long>>()

    /** The owner of each cell under the highest token, computed from [tokens] when they have changed. */
    private var owners: Map<String, CellOwner> = emptyMap()

    /** Replaces the cells of [vm] by those in its heartbeat. */
    fun update(vm: VmIdentity, cells: Map<String, Long>) {
        synchronized(lock) {
            if (cells == tokens[vm].orEmpty()) return
            if (cells.isEmpty()) tokens.remove(vm) else tokens[vm] = cells
            owners = highestTokens()
        }
    }

    /** [vm] is lost. */
    fun remove(vm: VmIdentity) {
        synchronized(lock) { if (tokens.remove(vm) != null) owners = highestTokens() }
    }

    /** The peer that reports to own [cell] under the highest token, null if there is none. */
    fun owner(cell: String): CellOwner? = synchronized(lock) { owners[cell] }

    /** The cells that [vm] reports to own. */
    fun cellsOf(vm: VmIdentity): Set<String> = synchronized(lock) { tokens[vm]?.keys.orEmpty() }

    /** True if any peer owns a cell. */
    fun hasOwners(): Boolean = synchronized(lock) { tokens.isNotEmpty() }

    private fun highestTokens(): Map<String, CellOwner> {
        val highest = HashMap<String, CellOwner>()
        tokens.forEach { (vm, cells) ->
            cells.forEach { (cell, token) -> if (token > (highest[cell]?.token ?: Long.MIN_VALUE)) highest[cell] = CellOwner(vm, token) }
        }
        return highest
    }
}
