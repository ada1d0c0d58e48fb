/* What a VM tells its peers in its heartbeats, and who needs them often. */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Cells
import dandelionpoint.coordination.fleet.Dispatch
import dandelionpoint.coordination.fleet.PeerLiveness
import dandelionpoint.coordination.fleet.WaitingRuns
import dandelionpoint.protocol.peer.EvacuatedDataCentres
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.VmIdentity

/** The rest of the VM, as its heartbeats need it. */
internal interface HeartbeatHost {
    val isStopping: Boolean

    val configurationVersion: Long

    /** The evacuations to announce, null while none has been known. */
    val evacuated: EvacuatedDataCentres?

    /** A heartbeat is about to say that this VM is there and wants the work of its clients: ends the jobs of those that have left. */
    fun onHeartbeat()

    /** The heartbeats that are due are now sent. */
    fun sending()
}

/** The parts of the VM that have work in progress. */
internal class OwnWork(
    val cells: OwnedCells,
    val claims: CellClaims,
    val dispatch: Dispatch,
    val runner: JobRunner,
    val forwarder: JobForwarder,
    val waitingRuns: WaitingRuns,
)

/** The heartbeats of the VM with [incarnation] in [dataCentre]. */
internal class HeartbeatContents(
    private val dataCentre: String,
    private val incarnation: String,
    private val work: OwnWork,
    private val demand: PeerDemand,
    private val liveness: PeerLiveness,
    private val host: HeartbeatHost,
) : HeartbeatSource {
    /** VMs of other data centres need not know the cells of this one: they claim them only if it has no live VM. */
    override fun heartbeat(isSameDataCentre: Boolean): FleetHeartbeat {
        host.onHeartbeat()
        val shown = work.cells.owned().map { it.cell }.filter {
            work.claims.isProven(it.name) && (isSameDataCentre || Cells.dataCentreOf(it.name) != dataCentre)
        }
        return FleetHeartbeat(
            cells = shown.associate { it.name to it.token },
            freeCapacity = work.cells.freeCapacity(),
            cores = work.cells.cores(),
            isStopping = host.isStopping,
            configVersion = host.configurationVersion,
            waitingJobs = work.dispatch.waitingJobs(),
            relayed = if (isSameDataCentre) emptyMap() else entryVmAges(),
            cancelledJobs = work.forwarder.unconfirmedCancellations(),
            cancelledRuns = work.runner.unconfirmedStops(),
            evacuated = host.evacuated,
            backlog = work.dispatch.backlog(),
        )
    }

    private fun entryVmAges(): Map<String, Long> = work.runner
        .entryVmsOfRemoteRuns()
        .filter { it != incarnation }
        .mapNotNull { vm -> demand.ageMs(vm)?.let { vm to it } }
        .toMap()

    override fun partners(): Set<VmIdentity> = work.runner.partners() + work.forwarder.dispatchers()

    override fun dependents(): Set<String> = work.cells.origins() + work.waitingRuns.origins() + work.dispatch.entryVms() - incarnation

    override fun sending() = host.sending()

    override fun isAnyWaiting(): Boolean = liveness.isAnyWaiting()

    override fun isWaiting(vm: VmIdentity): Boolean = liveness.heartbeat(vm)?.waitingJobs?.isNotEmpty() ?: false
}
