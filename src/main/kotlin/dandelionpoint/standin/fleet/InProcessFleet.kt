/* Entry VMs with in-memory stand-ins of the shared store and of the workers, in one process on loopback. */
package dandelionpoint.standin.fleet

import dandelionpoint.fleet.DocumentReader
import dandelionpoint.fleet.FleetPorts
import dandelionpoint.fleet.FleetVm
import dandelionpoint.fleet.SharedTables
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetConfiguration
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.QueueRoute
import dandelionpoint.protocol.fleet.SharedRows
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.settings.FleetSettings
import dandelionpoint.settings.HostAndPort
import kotlinx.coroutines.Dispatchers
import kotlin.coroutines.CoroutineContext

/**
 * A small fleet with [workersPerDataCentre] workers in each of [dataCentres]. [workers] and [store] are the stand-ins, and [canConnect]
 * tells which workers accept connections.
 */
internal class InProcessFleet(
    private val dataCentres: List<String> = listOf("akl-a", "ham-a"),
    private val workersPerDataCentre: Int = 3,
    val workers: MemoryWorkers = MemoryWorkers(),
    val store: MemoryRows = MemoryRows(),
    private val canConnect: suspend (WorkerEntry) -> Boolean = { true },
) {
    /** Queue of all jobs of this fleet. */
    val queue = JobQueue(name = "lookups", pool = POOL, maxAttempts = 2, stretch = 2.0, latencyTargetMs = 400)

    private val entries = dataCentres.flatMap { dataCentre ->
        List(workersPerDataCentre) { index ->
            val id = "$dataCentre-worker-$index"
            WorkerEntry(id, POOL, LOOPBACK, 1, dataCentre, isDraining = false, capacity = Demand(2_000, 4_096), startedAtMs = 1)
        }
    }.associateBy { it.id }

    /** Reads rows of this stand-in: a worker row is [READY] or [DRAINING], the configuration is its version number. */
    private val documents = object : DocumentReader {
        override fun worker(id: String, bytes: ByteArray): WorkerEntry? =
            entries[id]?.let { if (bytes.decodeToString() == DRAINING) it.copy(isDraining = true) else it }

        override fun configuration(bytes: ByteArray): FleetConfiguration? = bytes.decodeToString().toLongOrNull()?.let {
            FleetConfiguration(it, listOf(QueueRoute(HOST, PREFIX, queue)), bytes.decodeToString())
        }
    }

    private val tables = SharedTables(
        workers = "workers",
        operator = "operator",
        configurationKey = "configuration",
        evacuationKeyPrefix = "evacuation/",
    )

    init {
        entries.values.forEach { entry ->
            workers.add(entry)
            store.put(tables.workers, entry.id, READY.encodeToByteArray())
        }
        store.put(tables.operator, tables.configurationKey, "1".encodeToByteArray())
    }

    /** Creates an entry VM in [dataCentre] without starting it. [clock] and [store] are those of the VM alone. */
    fun vm(name: String, dataCentre: String, clock: Clock = Clock.System, store: SharedRows = this.store): FleetVm {
        val settings = FleetSettings(
            name = name,
            region = "trial",
            dataCentre = dataCentre,
            clients = HostAndPort(LOOPBACK, 0),
            readiness = null,
            peers = HostAndPort(LOOPBACK, 0),
            seedPeers = emptyList(),
            store = HostAndPort(LOOPBACK, 1),
        )
        return vm(settings, clock, store = store)
    }

    /**
     * Creates an entry VM with [settings], whose loops run in [context], without starting it. [clock] and [store] are those of the VM
     * alone.
     */
    fun vm(
        settings: FleetSettings,
        clock: Clock = Clock.System,
        context: CoroutineContext = Dispatchers.Default,
        store: SharedRows = this.store,
    ): FleetVm = FleetVm(settings, FleetPorts(store, tables, documents, workers, canConnect), clock, context = context)

    /** Writes a row that marks the worker [id] as draining. */
    fun drainWorker(id: String) = store.put(tables.workers, id, DRAINING.encodeToByteArray())

    /** Writes the row that evacuates [dataCentre]. */
    fun evacuate(dataCentre: String) = store.put(tables.operator, tables.evacuationKeyPrefix + dataCentre, "{}".encodeToByteArray())

    /** Deletes the row that evacuates [dataCentre]. */
    fun endEvacuation(dataCentre: String) = store.delete(tables.operator, tables.evacuationKeyPrefix + dataCentre)

    companion object {
        const val LOOPBACK = "127.0.0.1"
        const val HOST = "trial.example"
        const val PREFIX = "/lookups/"
        private const val POOL = "trial-pool"
        private const val READY = "ready"
        private const val DRAINING = "draining"
    }
}
