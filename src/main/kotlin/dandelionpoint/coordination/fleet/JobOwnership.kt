/*
 * Which VM dispatches a job: the owner of the cell that the job's id belongs to, so that a job which its client submits again, through any
 * VM of the data centre, reaches the VM that has it in progress. Invariant: a VM dispatches a job only under its own claim on the job's
 * cell. While no VM is known to own the cell, its jobs wait at the VM that is to take it over, since the owner may only be out of reach.
 * The exception is an outage of the store, in which no claim can be made: the VM then dispatches once the owner's claim would be stale.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.VmIdentity

/** Where a job is dispatched. */
internal sealed interface DispatchRoute {
    data object Here : DispatchRoute

    data class At(val vm: VmIdentity) : DispatchRoute

    /** This VM has no claim on the job's cell yet, or does not know yet whether a former owner has the job in progress. */
    data object Undecided : DispatchRoute
}

/** What [JobOwnership] knows of this VM and its cells. */
internal interface CellView {
    /** The fencing token under which this VM owns [cell], null if it does not, or if the claim may have passed on during a pause. */
    fun ownToken(cell: String): Long?

    /** True if [cell] has had no owner for longer than a claim stays valid, and the store, where it could be claimed, does not answer. */
    fun mayDispatchUnclaimed(cell: String): Boolean

    /** The VM that is to take over [cell], null if it is this VM. */
    fun successor(cell: String): VmIdentity?
}

/** Decides for the jobs of the clients in [dataCentre]. */
internal class JobOwnership(
    private val dataCentre: String,
    private val view: CellView,
    private val directory: CellDirectory,
    private val formers: FormerDispatchers,
) {
    fun route(jobId: String): DispatchRoute {
        val cell = Cells.ofJob(dataCentre, jobId)
        val own = view.ownToken(cell)
        val peer = directory.owner(cell)
        return when {
            peer != null && peer.token > (own ?: -1) -> DispatchRoute.At(peer.vm)
            own != null -> routeInOwnCell(cell, jobId)
            else -> view.successor(cell)?.let { DispatchRoute.At(it) } ?: routeWithoutOwner(cell)
        }
    }

    private fun routeWithoutOwner(cell: String) = if (view.mayDispatchUnclaimed(cell)) DispatchRoute.Here else DispatchRoute.Undecided

    private fun routeInOwnCell(cell: String, jobId: String): DispatchRoute = when {
        formers.isAwaitingReport(cell) -> DispatchRoute.Undecided
        else -> formers.dispatcherOf(cell, jobId)?.let { DispatchRoute.At(it) } ?: DispatchRoute.Here
    }
}
