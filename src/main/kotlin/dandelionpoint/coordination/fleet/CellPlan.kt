/*
 * The assignment of cells that this VM computes from the VMs that it takes for live, and how long each cell has been assigned to the same
 * VM. Cells move to their assigned owner only after a while, so that they do not move with each restart of a VM.
 */
package dandelionpoint.coordination.fleet

import java.util.concurrent.ConcurrentHashMap

/** Assigned owners of cells. Times are in ms on the VM's monotonic clock. */
internal class CellPlan {
    private data class Inputs(val candidates: Set<Candidate>, val workers: Map<String, Int>)

    private class Assigned(val owner: Candidate, val since: Long)

    private class Plan(val inputs: Inputs, val cells: Map<String, Assigned>)

    private val plans = ConcurrentHashMap<String, Plan>()

    /** Computes the assignment of the cells of [dataCentre] anew if its inputs have changed. [workers] is the number of workers by cell. */
    fun update(dataCentre: String, candidates: Set<Candidate>, workers: Map<String, Int>, now: Long) {
        val inputs = Inputs(candidates, workers)
        val earlier = plans[dataCentre]
        if (earlier?.inputs == inputs) return
        val cells = CellAssignment.owners(dataCentre, candidates) { workers[it] ?: 0 }.mapValues { (cell, owner) ->
            earlier?.cells?.get(cell)?.takeIf { it.owner.name == owner.name } ?: Assigned(owner, now)
        }
        plans[dataCentre] = Plan(inputs, cells)
    }

    /** The VM that should own [cell], null if none is known. */
    fun owner(cell: String): Candidate? = assigned(cell)?.owner

    /** True if [cell] has been assigned to the same VM for [ms]. */
    fun isSettled(cell: String, ms: Long, now: Long): Boolean = assigned(cell)?.let { now - it.since >= ms } ?: false

    private fun assigned(cell: String) = plans[Cells.dataCentreOf(cell)]?.cells?.get(cell)
}
