/*
 * A simulated data centre whose cells are handed over, when a VM is added and in some seeds when one stops, with faults at the steps of the
 * handovers. Afterwards it checks that each cell and each worker is served again.
 */
package dandelionpoint.fleet.simulation

import dandelionpoint.coordination.fleet.Cells
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobStep
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** The handovers with the seed [seed], without faults unless [hasFaults]. Times are in ms. */
internal class HandoverSimulation(private val seed: Long, hasFaults: Boolean = true) {
    private val world = SimulationWorld(seed)
    private val fleet = SimulatedFleet(seed, world, FleetSize.ONE_DATA_CENTRE, Resubmission.LATER_ANYWHERE, Workload.SHORT)
    private val faults = HandoverFaults(world, fleet, if (hasFaults) world.random.nextInt(1, MAX_FAULTS + 1) else 0)

    val violations: List<RunViolation> get() = fleet.violations
    val errors: List<Throwable> get() = world.errors
    val completedJobs: Int get() = fleet.clients.completed

    /** Messages of handovers that were sent, by their type. */
    val sentMessages: Map<String, Int> get() = faults.sentMessages

    /** Cells whose job was not completed after the faults, with its outcome. */
    val unservedCells = sortedMapOf<String, JobOutcome?>()

    /** Workers on which no run was started while more tasks waited than the others have slots. */
    var unusedWorkers = emptySet<String>()
        private set

    /** The faults, for the description of a failure. */
    val faultLines: String get() = world.events.filter { it.jobId == null }.joinToString("\n") { "    ${it.at} ${it.text}" }

    fun run() {
        fleet.storeFaults.timeoutMs = STORE_TIMEOUT_MS
        fleet.writeTables()
        fleet.vms.dropLast(1).forEach { it.start() }
        world.advance(ADD_AT_MS)
        fleet.clients.submitUntil(FAULTS_UNTIL_MS)
        faults.begin(FAULTS_UNTIL_MS)
        fleet.vms.last().start()
        world.advance(STOP_AFTER_MS)
        if (world.chance(STOP_SHARE)) fleet.vms.random(world.random).stop(downMs = RESTART_MS)
        world.advance(FAULTS_UNTIL_MS + HandoverFaults.MAX_FAULT_MS + RECOVERY_MS - world.now())
        world.scope.launch { submitToAllCells() }
        world.advance(CHECK_MS)
        fleet.startedWorkers.clear()
        fleet.vms.forEachIndexed { index, vm -> world.scope.launch { fleet.clients.submitOnce(jobOnAllWorkers(index), vm) } }
        world.advance(CHECK_MS)
        unusedWorkers = fleet.workerIds - fleet.startedWorkers
        fleet.vms.forEach { it.kill(isMachineLost = true) }
        world.scope.cancel()
    }

    private suspend fun submitToAllCells() = Cells.of(DATA_CENTRE).mapIndexed { index, cell ->
        unservedCells[cell] = null
        world.scope.async {
            delay(index * PROBE_GAP_MS)
            val outcome = fleet.clients.submitOnce(jobOf(cell), fleet.vms[index % fleet.vms.size])
            if (outcome == JobOutcome.Completed) unservedCells.remove(cell) else unservedCells[cell] = outcome
        }
    }.awaitAll()

    private fun jobOf(cell: String): FleetJob {
        val id = generateSequence(FIRST_PROBE) { it + 1 }.map { "%016x".format(it) }.first { Cells.ofJob(DATA_CENTRE, it) == cell }
        return FleetJob(id, "", listOf(JobStep(1, Demand(TASK_CPU_MILLI), PROBE_TASK_MS)))
    }

    private fun jobOnAllWorkers(index: Int) =
        FleetJob("%016x".format(FIRST_PROBE - 1 - index), "", listOf(JobStep(ALL_SLOTS, Demand(TASK_CPU_MILLI), ALL_TASK_MS)))

    companion object {
        /** Time after the last fault at which all is to be served again: `recovery_s` of the platform. */
        const val RECOVERY_MS = 12_000L

        private const val DATA_CENTRE = "akl-a"
        private const val STORE_TIMEOUT_MS = 1_500L
        private const val MAX_FAULTS = 6
        private const val ADD_AT_MS = 2_500L
        private const val STOP_AFTER_MS = 4_500L

        /** A stop ends the waits for the VM that stops, so that most seeds have none. */
        private const val STOP_SHARE = 0.3
        private const val RESTART_MS = 800L
        private const val FAULTS_UNTIL_MS = 13_000L
        private const val CHECK_MS = 4_000L
        private const val PROBE_GAP_MS = 25L
        private const val PROBE_TASK_MS = 40L
        private const val FIRST_PROBE = 0x1000_0000L
        private const val TASK_CPU_MILLI = 1_000

        /** Slots of all workers. */
        private const val ALL_SLOTS = 32
        private const val ALL_TASK_MS = 400L
    }
}
