/*
 * Which VM dispatches a job: the owner of the cell that the job's id belongs to, so that a job which its client submits again, through any
 * VM of the data centre, reaches the VM that has it in progress. While no VM owns the cell, the VM that is to take it over dispatches.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.VmIdentity

/** Where a job is dispatched. */
internal sealed interface DispatchRoute {
    data object Here : DispatchRoute

    data class At(val vm: VmIdentity) : DispatchRoute

    /** This VM owns the job's cell, and does not know yet whether a former owner has the job in progress. */
    data object Undecided : DispatchRoute
}

/** What [JobOwnership] knows of this VM and its cells. */
internal interface CellView {
    /** The fencing token under which this VM owns [cell], null if it does not. */
    fun ownToken(cell: String): Long?

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
            else -> view.successor(cell)?.let { DispatchRoute.At(it) } ?: DispatchRoute.Here
        }
    }

    private fun routeInOwnCell(cell: String, jobId: String): DispatchRoute = when {
        formers.isAwaitingReport(cell) -> DispatchRoute.Undecided
        else -> formers.dispatcherOf(cell, jobId)?.let { DispatchRoute.At(it) } ?: DispatchRoute.Here
    }
}
