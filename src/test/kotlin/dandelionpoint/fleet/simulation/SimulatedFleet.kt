/*
 * The parts of a simulated fleet: entry VMs, network, store, workers and clients. At each start on a worker it checks that no other run of
 * the same task is in progress on any worker, that the run was not reported as not started, and that its job was not cancelled before.
 */
package dandelionpoint.fleet.simulation

import dandelionpoint.fleet.DocumentReader
import dandelionpoint.fleet.FleetPorts
import dandelionpoint.fleet.SharedTables
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetConfiguration
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.StartOrder
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.standin.fleet.MemoryRows
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Two runs of one task in progress at the same time, or a run that starts after its end was reported, with the events that led there. */
internal data class RunViolation(val description: String) {
    override fun toString() = description
}

/**
 * The entry VMs of a simulated fleet, each with its data centre, and the number of workers in each data centre but those
 * [withoutWorkers].
 */
internal enum class FleetSize(
    val vms: List<Pair<String, String>>,
    val workersPerDataCentre: Int,
    val withoutWorkers: Set<String> = emptySet(),
) {
    /** A data centre's cells have one owner, or two. */
    SMALL(listOf("a1" to "akl-a", "a2" to "akl-a", "h1" to "ham-a", "h2" to "ham-a", "t1" to "tga-a"), workersPerDataCentre = 3),

    /** The first data centre's cells have several owners. */
    LARGE(
        listOf("a1" to "akl-a", "a2" to "akl-a", "a3" to "akl-a", "a4" to "akl-a", "h1" to "ham-a", "h2" to "ham-a", "t1" to "tga-a"),
        workersPerDataCentre = 8,
    ),

    /** The runs of the first data centre's jobs are all remote ones. */
    NO_LOCAL_WORKERS(
        listOf("a1" to "akl-a", "a2" to "akl-a", "h1" to "ham-a", "t1" to "tga-a"),
        workersPerDataCentre = 4,
        withoutWorkers = setOf("akl-a"),
    ),

    /** One data centre, whose cells move between its VMs. */
    ONE_DATA_CENTRE(listOf("a1" to "akl-a", "a2" to "akl-a", "a3" to "akl-a"), workersPerDataCentre = 8),
}

/**
 * The fleet of [size] in [world], which was made with the seed [seed]. No VM is started yet. Its clients submit jobs of [workload], and
 * submit them again as [resubmission] has it, and cancel the share [cancelShare] of them.
 */
internal class SimulatedFleet(
    private val seed: Long,
    private val world: SimulationWorld,
    size: FleetSize,
    resubmission: Resubmission,
    workload: Workload,
    cancelShare: Double = 0.0,
) {
    private val queue = JobQueue(name = "lookups", pool = POOL, maxAttempts = 2, stretch = 2.0, latencyTargetMs = 600)
    private val rows = MemoryRows(world.clock)
    private val tables = SharedTables(workers = "workers", operator = "operator", configurationKey = "configuration")

    /** VM that dispatched a remote run, by the run, its submission and the VM that was asked to start it. */
    private val origins = HashMap<Triple<TaskRun, String, String>, String>()

    /** Remote runs that the VM which was asked to start them has reported as not started, with the VM that dispatched them. */
    private val notStarted = HashSet<Pair<Triple<TaskRun, String, String>, String>>()

    private inner class RemoteRuns : RemoteRunObserver {
        override fun onRequest(from: VmIdentity, to: VmIdentity, request: RemoteRunRequest) {
            origins[Triple(request.run, request.payload, to.name)] = from.incarnation
        }

        override fun onNotStarted(from: VmIdentity, to: VmIdentity, request: RemoteRunRequest) {
            notStarted += Triple(request.run, request.payload, to.name) to from.incarnation
        }
    }

    val network = SimulatedNetwork(world, RemoteRuns())
    private val entries = (size.vms.map { it.second }.distinct() - size.withoutWorkers).flatMap { dataCentre ->
        List(size.workersPerDataCentre) { index ->
            WorkerEntry("$dataCentre-worker-$index", POOL, "simulated", 1, dataCentre, isDraining = false, CAPACITY, startedAtMs = 1)
        }
    }.associateBy { it.id }
    val calls = WorkerCallFaults(world)
    val storeFaults = StoreFaults(world)
    val vms = size.vms.mapIndexed { index, (name, dataCentre) ->
        SimulatedVm(world, network, SimulatedVm.settings(name, dataCentre, FIRST_PORT + index), ports(name))
    }
    val clients = SimulatedClients(world, vms, queue, resubmission, workload, cancelShare)
    private val workers: Map<String, SimulatedWorker> = entries.mapValues { (_, entry) ->
        SimulatedWorker(entry, world, clockRate = 1 - world.random.nextDouble() * MAX_CLOCK_LAG, clients::workOf, ::checkStart)
    }

    val workerIds: Set<String> get() = entries.keys

    /** Workers on which runs were started. */
    val startedWorkers = mutableSetOf<String>()
    val violations = mutableListOf<RunViolation>()

    /** Starts and runs of jobs later than [CANCEL_MS] after their cancellation was answered. */
    val runsAfterCancellation = mutableListOf<String>()
    var starts = 0
        private set

    init {
        clients.onCancelled = ::checkLater
    }

    /** Writes the configuration and the list of workers to the store. */
    fun writeTables() {
        rows.put(tables.operator, tables.configurationKey, byteArrayOf())
        entries.keys.forEach { rows.put(tables.workers, it, byteArrayOf()) }
    }

    private fun ports(vm: String) = FleetPorts(
        store = SimulatedStore(world, rows, vm, storeFaults),
        tables = tables,
        documents = Documents(),
        workers = SimulatedWorkerPort(world, { workers.getValue(it) }, vm, calls) { originOf(it, vm) },
        canConnect = { true },
    )

    private fun originOf(order: StartOrder, caller: String): String = origins[Triple(order.run, order.payload, caller)] ?: caller

    private inner class Documents : DocumentReader {
        override fun worker(id: String, bytes: ByteArray): WorkerEntry? = entries[id]

        override fun configuration(bytes: ByteArray) = FleetConfiguration(version = 1, routes = emptyList(), document = "")
    }

    private fun checkStart(run: SimulatedRun) {
        starts++
        startedWorkers += run.workerId
        val jobId = run.order.run.task.jobId
        world.record(jobId, "start of ${run.describe()}")
        val cancelledAt = clients.cancelledAt[jobId]
        if (cancelledAt != null && world.now() > cancelledAt + CANCEL_MS) reportAfterCancellation(run, "starts")
        workers.values.flatMap { it.runsOf(run.order.run.task) }.forEach { other -> violations += overlap(other, run) }
        if (Triple(run.order.run, run.order.payload, run.caller) to run.origin in notStarted) {
            violations += violation("a run is started that was reported as not started", run)
        }
    }

    private fun checkLater(job: FleetJob) {
        world.scope.launch {
            delay(CANCEL_MS)
            val tasks = job.steps.flatMapIndexed { step, of -> List(of.count) { TaskRef(job.id, step, it) } }
            workers.values.flatMap { worker -> tasks.flatMap { worker.runsOf(it) } }.forEach { reportAfterCancellation(it, "runs on") }
        }
    }

    private fun reportAfterCancellation(run: SimulatedRun, what: String) {
        val jobId = run.order.run.task.jobId
        val lines = world.events.filter { it.jobId == jobId }.joinToString("\n") { "    ${it.at} ${it.text}" }
        runsAfterCancellation += "seed $seed, ${world.now()} ms: ${run.describe()} $what\n$lines"
    }

    private fun overlap(earlier: SimulatedRun, later: SimulatedRun) =
        violation("two runs of ${later.order.run.task}\n  earlier: ${earlier.describe()}", later)

    private fun violation(what: String, later: SimulatedRun): RunViolation {
        val now = world.now()
        val task = later.order.run.task
        val related = world.events.filter { it.jobId == task.jobId || (it.jobId == null && it.at >= now - FAULTS_SHOWN_MS) }
        val lines = related.joinToString("\n") { "    ${it.at} ${if (it.jobId == null) "FAULT " else ""}${it.text}" }
        return RunViolation("seed $seed, $now ms: $what\n  later:   ${later.describe()}\n$lines")
    }

    private fun SimulatedRun.describe() = "${order.run.describe()} on $workerId at $startedAt" +
        " (token ${order.token}, ordered by $caller, dispatched by $origin, ${order.payload})"

    private companion object {
        const val POOL = "pool"
        val CAPACITY = Demand(cpuMilli = 4_000, memoryMb = 8_192)
        const val FIRST_PORT = 1_000

        /**
         * Time after which nothing of a cancelled job runs, in ms: a stop that is lost is repeated, and the leases of the runs of a lost VM
         * have ended.
         */
        const val CANCEL_MS = 1_300L

        /** A worker's clock runs at most this share slower than the VMs' clocks. */
        const val MAX_CLOCK_LAG = 0.02

        /** Faults that began this long before a violation are part of its description, in ms; they last up to half as long. */
        const val FAULTS_SHOWN_MS = 6_000L
    }
}
