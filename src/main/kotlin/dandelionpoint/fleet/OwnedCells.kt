/*
 * The cells that this VM owns, and those that it has handed over but in which runs that it started are still in progress. [CellClaims]
 * decides on claims and writes them; this class holds the controller of each claimed cell.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Cell
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.fleet.WorkerPort
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.peer.WorkersReleased
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** The cell controllers of this VM. [workers] returns the current list of workers; [heardAt] is that of the [Cell]s. */
internal class OwnedCells(
    private val scope: CoroutineScope,
    private val port: WorkerPort,
    private val link: PeerLink,
    private val listener: CellListener,
    private val workers: () -> List<WorkerEntry>,
    private val clock: Clock,
    private val rules: FleetRules,
    private val heardAt: (String) -> Long?,
) {
    private class HandedOver(val controller: CellController, val successor: VmIdentity?)

    private val controllers = ConcurrentHashMap<String, CellController>()
    private val handedOver = ConcurrentHashMap<String, HandedOver>()
    private val formerOwners = ConcurrentHashMap<String, VmIdentity>()

    /** Controllers of the cells that this VM has claimed. */
    fun owned(): Collection<CellController> = controllers.values

    fun controller(cell: String): CellController? = controllers[cell]

    private fun all() = controllers.values + handedOver.values.map { it.controller }

    /** True while a run of [task] is, or may be, in progress on a worker of any cell. */
    fun hasTask(task: TaskRef): Boolean = all().any { it.cell.hasTask(task) }

    /** Number of runs on the workers of all cells, including those that were handed over. */
    fun runCount(): Int = all().sumOf { it.cell.runCount() }

    /** Takes ownership of [cell] under [token]. Workers that a [formerOwner] still uses are free once it releases them. */
    fun gain(cell: String, token: Long, formerOwner: VmIdentity?) {
        val controller = CellController(scope, Cell(cell, token, rules, heardAt), port, listener, clock, rules, ::hasTask)
        if (formerOwner != null) {
            formerOwners[cell] = formerOwner
            controller.cell.awaitRelease(workersOf(cell).map { it.id }.toSet())
        }
        controllers.put(cell, controller)?.abandon()
        controller.updateWorkers(workersOf(cell))
    }

    /** [successor] owns [cell] now. After a [handover] the runs there continue to their end under the old token. */
    fun lose(cell: String, successor: VmIdentity?, handover: Boolean) {
        val controller = controllers.remove(cell) ?: return
        if (handover) {
            controller.cell.close()
            handedOver[cell] = HandedOver(controller, successor)
        } else {
            controller.abandon()
        }
    }

    private fun workersOf(cell: String) = workers().filter { it.dataCentre == cell }

    fun updateWorkers() = (controllers + handedOver.mapValues { it.value.controller }).forEach { (cell, controller) ->
        controller.updateWorkers(workersOf(cell))
    }

    /** The former owner of [cell] has no more runs on the workers [ids], or on any worker if null. */
    fun released(cell: String, ids: Set<String>?) {
        val controller = controllers[cell] ?: return
        controller.cell.release(ids)
        controller.wake()
    }

    /** Stops the run [key]. */
    fun stopRun(key: RunKey) {
        val stopped = all().sumOf { controller -> controller.stopRuns { it.key == key } }
        if (stopped == 0) log.info { "event=stop_of_unknown_run ${key.run.logFields()} origin=${key.origin}" }
    }

    /** [vm] is lost: stops the runs that it dispatched, and frees the workers that it had not released yet. */
    fun peerLost(vm: VmIdentity) {
        all().forEach { controller -> controller.stopRuns { it.origin == vm.incarnation } }
        formerOwners.filterValues { it == vm }.keys.forEach { cell ->
            formerOwners.remove(cell)
            released(cell, ids = null)
        }
    }

    /** Ends runs whose lease has expired, and releases idle workers of cells that were handed over. */
    fun tick() {
        all().forEach { it.tick() }
        handedOver.forEach { (cell, entry) ->
            entry.successor?.let { link.send(it, WorkersReleased(cell, entry.controller.cell.idleWorkerIds())) }
            if (entry.controller.cell.runCount() == 0) {
                handedOver.remove(cell)
                entry.controller.abandon()
            }
        }
    }
}
