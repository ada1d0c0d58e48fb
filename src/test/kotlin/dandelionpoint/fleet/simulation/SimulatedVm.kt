/* One entry VM of a simulated fleet: its process may be paused, or end and be started again as a new incarnation. */
package dandelionpoint.fleet.simulation

import dandelionpoint.fleet.CancellationSignal
import dandelionpoint.fleet.FleetPorts
import dandelionpoint.fleet.FleetVm
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.peer.JobPresence
import dandelionpoint.settings.FleetSettings
import dandelionpoint.settings.HostAndPort
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** What a client sees of its request. */
internal sealed interface ClientAnswer {
    data class Outcome(val outcome: JobOutcome) : ClientAnswer

    data object ConnectionBroken : ClientAnswer
}

/** A client's connection with one request. A running VM soon notices that it [isClosed]. */
internal class ClientConnection(val job: FleetJob) {
    val answer = CompletableDeferred<ClientAnswer>()

    /** Tells the VM's work for the request, also if that begins only later, that the client has closed the connection. */
    val signal = CancellationSignal()
    var isClosed = false
        private set

    fun close() {
        isClosed = true
        answer.complete(ClientAnswer.ConnectionBroken)
    }
}

/** An entry VM. [settings] and [ports] are those of each of its incarnations. */
internal class SimulatedVm(
    private val world: SimulationWorld,
    private val network: SimulatedNetwork,
    private val settings: FleetSettings,
    private val ports: FleetPorts,
) {
    /** A process of this VM. */
    private class Incarnation(
        val vm: FleetVm,
        val dispatcher: PausableDispatcher,
        val transport: SimulatedTransport,
        val clock: SuspendableClock,
    )

    val name: String get() = settings.name
    val dataCentre: String get() = settings.dataCentre
    private var incarnations = 0
    private var current: Incarnation? = null
    private val clients = LinkedHashSet<ClientConnection>()

    val isUp: Boolean get() = current != null
    val isPaused: Boolean get() = current?.dispatcher?.isPaused == true

    /** Number of runs of other VMs that wait for capacity in this VM's cells. */
    val waitingRuns: Int get() = current?.vm?.waitingRunCount ?: 0
    val openClients: List<ClientConnection> get() = clients.filter { !it.isClosed }

    fun start() {
        incarnations++
        val dispatcher = PausableDispatcher(world.dispatcher, world.random)
        val clock = SuspendableClock(world.clock)
        lateinit var transport: SimulatedTransport
        val vm = FleetVm(
            settings = settings,
            ports = ports,
            clock = clock,
            incarnation = "$name-$incarnations",
            context = dispatcher + world.errorHandler,
            random = world.random,
            transport = { scope, handler, events, uptime ->
                SimulatedTransport(network, name, scope, handler, events, uptime).also { transport = it }
            },
        )
        current = Incarnation(vm, dispatcher, transport, clock)
        vm.pollClients = { endDisconnected() }
        vm.scope.launch { vm.start() }
    }

    /** Ends the process. Clients and peers see their connections close unless the whole machine is lost ([isMachineLost]). */
    fun kill(isMachineLost: Boolean) {
        val ended = current ?: return
        current = null
        ended.dispatcher.end()
        network.kill(ended.transport, isMachineLost)
        if (!isMachineLost) openClients.forEach { it.close() }
        clients.clear()
    }

    /** Stops the process as planned, as [dandelionpoint.cli.FleetCommand] does, and starts it again after [downMs]. */
    fun stop(downMs: Long) {
        val stopped = current ?: return
        stopped.vm.scope.launch {
            stopped.vm.drain { openClients.size }
            withTimeoutOrNull(FINISH_TIMEOUT_MS) { while (openClients.isNotEmpty()) delay(FINISH_POLL_MS) }
            world.scope.launch {
                if (current !== stopped) return@launch
                kill(isMachineLost = false)
                delay(downMs)
                start()
            }
        }
    }

    /** Pauses the process for [ms], unless it ends before. */
    fun pause(ms: Long) {
        val paused = current ?: return
        paused.dispatcher.pause()
        world.scope.launch {
            delay(ms)
            paused.dispatcher.resume()
        }
    }

    /** Suspends the machine for [ms], which its monotonic clock does not count, unless the process ends before. */
    fun suspend(ms: Long) {
        val suspended = current ?: return
        suspended.clock.suspend(ms)
        pause(ms)
    }

    /** Serves the request of [connection]. A VM that is down refuses the connection; a paused one reads the request when it resumes. */
    fun serve(connection: ClientConnection, queue: JobQueue, waitMs: Long) {
        val vm = current?.vm ?: return connection.close()
        clients += connection
        vm.scope.launch {
            val outcome = vm.run(connection.job, queue, waitMs, connection.signal)
            clients -= connection
            world.scope.launch {
                world.hop()
                connection.answer.complete(ClientAnswer.Outcome(outcome))
            }
        }
    }

    /** Cancels the job [jobId] for a client that is connected to this VM only for that. Returns null if there is no answer in time. */
    suspend fun cancel(jobId: String): JobPresence? {
        val vm = current?.vm ?: return null
        val answer = CompletableDeferred<JobPresence>()
        vm.scope.launch {
            val presence = vm.cancel(jobId)
            world.scope.launch {
                world.hop()
                answer.complete(presence)
            }
        }
        return withTimeoutOrNull(CANCEL_TIMEOUT_MS) { answer.await() }
    }

    private fun endDisconnected() = clients.filter { it.isClosed }.forEach { connection ->
        clients -= connection
        world.record(connection.job.id, "$name is told that the client has disconnected")
        connection.signal.cancel()
    }

    companion object {
        fun settings(name: String, dataCentre: String, port: Int) = FleetSettings(
            name = name,
            region = "north",
            dataCentre = dataCentre,
            clients = HostAndPort(HOST, 0),
            readiness = null,
            peers = HostAndPort(HOST, port),
            seedPeers = emptyList(),
            store = HostAndPort(HOST, 1),
        )

        /** How long a stopping process waits for requests that are left, in ms. */
        private const val FINISH_TIMEOUT_MS = 400L
        private const val FINISH_POLL_MS = 10L
        private const val HOST = "simulated"

        /** Longest wait of a client for the answer to a cancellation, in ms. */
        private const val CANCEL_TIMEOUT_MS = 1_600L
    }
}
