/*
 * The cells that this VM owns, and those that it has handed over but in which runs that it started are still in progress. [CellClaims]
 * decides on claims and writes them; this class holds the controller of each claimed cell and places runs on the workers of all of them.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.CandidateWorker
import dandelionpoint.coordination.fleet.Cell
import dandelionpoint.coordination.fleet.Cells
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.FormerDispatchers
import dandelionpoint.coordination.fleet.LabelSpeeds
import dandelionpoint.coordination.fleet.RackDemand
import dandelionpoint.coordination.fleet.RackWaits
import dandelionpoint.coordination.fleet.RunDemand
import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.WorkerResponseTimes
import dandelionpoint.coordination.fleet.candidates
import dandelionpoint.coordination.fleet.choose
import dandelionpoint.coordination.fleet.isCrowded
import dandelionpoint.coordination.fleet.rackSlots
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.fleet.WorkerPort
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.FreeCapacity
import dandelionpoint.protocol.peer.VmIdentity
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList

private val log = KotlinLogging.logger {}

/**
 * The cell controllers of this VM. [workers] returns the current list of workers; [demand] is that of the [Cell]s, and [formers] has what
 * the former owners of the cells still use.
 */
internal class OwnedCells(
    private val scope: CoroutineScope,
    private val port: WorkerPort,
    private val listener: CellListener,
    private val workers: () -> List<WorkerEntry>,
    private val clock: Clock,
    private val rules: FleetRules,
    private val demand: RunDemand,
    private val formers: FormerDispatchers,
) {
    private val controllers = ConcurrentHashMap<String, CellController>()
    private val labelSpeeds = LabelSpeeds()
    private val rackDemand = RackDemand()

    /** Guarded by [placementLock]. */
    private val rackWaits = RackWaits()

    /** Shared by all cells: a cell has few workers, so that its own calls would show only late how fast answers are. */
    private val responseTimes = WorkerResponseTimes(rules)

    /** Held while a run is placed, so that a task is not placed in two cells at once. */
    private val placementLock = Any()

    /** Controllers of cells that were handed over and in which runs are still in progress. A cell may be handed over several times. */
    private val handedOver = CopyOnWriteArrayList<CellController>()

    /** The list of workers at the last [updateWorkers], and the same by cell. */
    private var listed: List<WorkerEntry> = emptyList()
    private var byCell: Map<String, List<WorkerEntry>> = emptyMap()

    /** Number of workers of each cell that has any, by data centre. */
    @Volatile
    var workerCounts: Map<String, Map<String, Int>> = emptyMap()
        private set

    /** Controllers of the cells that this VM has claimed. */
    fun owned(): Collection<CellController> = controllers.values

    /** Fencing token under which this VM owns [cell], null if it does not. */
    fun token(cell: String): Long? = controllers[cell]?.cell?.token

    private fun all() = controllers.values + handedOver

    /** True while a run of [task] is, or may be, in progress on a worker of any cell. */
    fun hasTask(task: TaskRef): Boolean = all().any { it.cell.hasTask(task) }

    /** Incarnations of the VMs that dispatched the runs in progress in any cell. */
    fun origins(): Set<String> = all().flatMapTo(HashSet()) { it.cell.origins }

    /** Number of runs on the workers of all cells, including those that were handed over. */
    fun runCount(): Int = all().sumOf { it.cell.runCount() }

    /**
     * Starts [order] on the best worker of the owned cells. Returns its cell, null if the run fits on none or if a run of the task is still
     * in progress. With [avoidsWorker], the worker to avoid is not used at all; otherwise only if no other one can take the run, now or
     * later, or if the earlier run there has not failed. The run is not started either if the caller does not accept the best worker.
     */
    fun place(order: RunOrder, avoidsWorker: Boolean = false, accepts: (CandidateWorker) -> Boolean = { true }): String? =
        synchronized(placementLock) {
            if (hasTask(order.task)) return null
            val now = clock.millis()
            val excluded =
                order.avoid?.takeIf { avoidsWorker || (order.hasFailed && owned().any { it.cell.couldRunElsewhere(order, now) }) }
            val racksInDemand = rackDemand.racksToAvoid(order, now)
            val candidates = owned().flatMap { of -> of.cell.query { it.candidates(order, now, excluded, racksInDemand) }.map { of to it } }
            val isCrowded = isCrowded(candidates.size, owned().sumOf { it.cell.workerCount })
            val best = candidates.choose(isCrowded) { it.second } ?: return null
            return if (accepts(best.second)) start(order, excluded, candidates, isCrowded) else null
        }

    /** Starts [order] on the best of [candidates], or on the next one if that worker has become unusable meanwhile. */
    private tailrec fun start(
        order: RunOrder,
        excluded: String?,
        candidates: List<Pair<CellController, CandidateWorker>>,
        isCrowded: Boolean,
    ): String? {
        val chosen = candidates.choose(isCrowded) { it.second } ?: return null
        val (controller, candidate) = chosen
        if (controller.place(order, excluded, candidate.workerId)) {
            rackWaits.forget(order.task)
            return controller.cell.name
        }
        return start(order, excluded, candidates - chosen, isCrowded)
    }

    /** True if a worker of the owned cells can run [order], which names none to avoid, now or after other runs have ended. */
    fun couldRun(order: RunOrder): Boolean = clock.millis().let { now -> owned().any { it.cell.couldRunElsewhere(order, now) } }

    /** True if [order], which takes [elsewhereMs] outside its rack, waits for the rack's workers in the owned cells. See [RackWaits]. */
    fun waitsForRack(order: RunOrder, elsewhereMs: Long): Boolean = synchronized(placementLock) {
        val now = clock.millis()
        // Most runs come without a time that they may wait.
        if (order.latestStartAt <= now) return false
        rackWaits.waits(order, owned().flatMap { of -> of.cell.query { it.rackSlots(order, now) } }, elsewhereMs, now)
    }

    /** Free capacity of the workers of all owned cells, by pool. */
    fun freeCapacity(): Map<String, List<FreeCapacity>> {
        val now = clock.millis()
        return owned().flatMap { it.cell.freeCapacity(now).entries }.groupBy({ it.key }) { it.value }.mapValues { it.value.flatten() }
    }

    /** Cores by pool of the workers of all owned cells. */
    fun cores(): Map<String, Int> =
        owned().flatMap { it.cell.cores().entries }.groupBy({ it.key }) { it.value.toLong() }.mapValues { (_, cores) ->
            cores.sum().coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
        }

    /** Takes ownership of [cell] under [token]. Workers that former owners still use are free once these have released them. */
    fun gain(cell: String, token: Long) {
        val cellState = Cell(cell, token, rules, demand, responseTimes, labelSpeeds)
        val controller = CellController(scope, cellState, port, listener, clock, rules)
        controller.cell.awaitRelease(formers.usedWorkers(cell, token))
        controllers.put(cell, controller)?.abandon()
        controller.updateWorkers(workers().filter { Cells.ofWorker(it) == cell })
    }

    /** Another VM owns [cell] now. After a [handover] the runs there continue to their end under the old token. */
    fun lose(cell: String, handover: Boolean): CellController? {
        val controller = controllers.remove(cell) ?: return null
        if (!handover) {
            controller.abandon()
            return null
        }
        controller.cell.close()
        handedOver += controller
        return controller
    }

    /** The handover of the cell of [controller] is complete. */
    fun finishHandover(controller: CellController) {
        if (handedOver.remove(controller)) controller.abandon()
    }

    fun updateWorkers() {
        val current = workers()
        if (current !== listed) {
            listed = current
            byCell = current.groupBy { Cells.ofWorker(it) }
            workerCounts = current.groupBy { it.dataCentre }.mapValues { (_, same) -> same.groupingBy { Cells.ofWorker(it) }.eachCount() }
        }
        all().forEach { it.updateWorkers(byCell[it.cell.name].orEmpty()) }
    }

    /** What the former owners of [cell] use has changed. */
    fun updateReleased(cell: String) = all().filter { it.cell.name == cell }.forEach { controller ->
        controller.cell.awaitRelease(formers.usedWorkers(cell, controller.cell.token))
        controller.wake()
    }

    /** Stops the run [key]. */
    fun stopRun(key: RunKey) {
        val stopped = all().sumOf { controller -> controller.stopRuns { it.key == key } }
        if (stopped == 0) log.info { "event=stop_of_unknown_run ${key.run.logFields()} origin=${key.origin}" }
    }

    /** Stops the runs that other VMs than [self] have dispatched, in the cells that were handed over as well. */
    fun stopRunsOfOthers(self: String) = all().forEach { cell -> cell.stopRuns { it.origin != self } }

    /** Stops the runs of [jobIds] whose clients are connected to the VM with the incarnation [entryVm]. */
    fun stopRunsOfClient(entryVm: String, jobIds: Set<String>) =
        all().forEach { cell -> cell.stopRuns { it.entryVm == entryVm && it.task.jobId in jobIds } }

    /** [vm] is lost: stops the runs that it dispatched, and frees the workers that it had not released yet. */
    fun peerLost(vm: VmIdentity) {
        all().forEach { controller -> controller.stopRuns { it.origin == vm.incarnation } }
        all().mapTo(HashSet()) { it.cell.name }.forEach { updateReleased(it) }
    }

    /** Repeats unconfirmed stops, and ends runs whose lease has expired. */
    fun tick() = all().forEach { it.tick() }
}
