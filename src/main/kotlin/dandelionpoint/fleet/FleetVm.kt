/*
 * An entry VM that dispatches tasks to leased workers: it wires the components together, runs their loops and performs the planned stop.
 * The rules are in `coordination.fleet`; the ports to the shared store and the workers are passed in.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.AttemptKey
import dandelionpoint.coordination.fleet.Dispatch
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.LivePeer
import dandelionpoint.coordination.fleet.PauseDetector
import dandelionpoint.coordination.fleet.PeerLiveness
import dandelionpoint.coordination.fleet.ProcessPause
import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.Submission
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.QueueRoute
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.CancelAnswer
import dandelionpoint.protocol.peer.CellHandover
import dandelionpoint.protocol.peer.CellStatus
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.JobAnswer
import dandelionpoint.protocol.peer.JobCancel
import dandelionpoint.protocol.peer.JobOffer
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.RunCancel
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.peer.WorkersReleased
import dandelionpoint.settings.FleetSettings
import dandelionpoint.transport.peer.PeerAddress
import dandelionpoint.transport.peer.PeerEvents
import dandelionpoint.transport.peer.PeerHandler
import dandelionpoint.transport.peer.PeerNetwork
import dandelionpoint.transport.peer.PeerTransport
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.util.UUID
import kotlin.coroutines.CoroutineContext

private val log = KotlinLogging.logger {}

/** Creates the connections of a VM to its peers, which run in the scope and pass the peers' messages to the handler. */
internal typealias PeerTransportFactory = (CoroutineScope, PeerHandler) -> PeerTransport

/** One entry VM. Its loops run in [context]. Times are in ms. */
internal class FleetVm(
    private val settings: FleetSettings,
    private val ports: FleetPorts,
    private val clock: Clock = Clock.System,
    private val rules: FleetRules = FleetRules(leaseMs = settings.leaseMs.toLong()),
    private val incarnation: String = UUID.randomUUID().toString(),
    context: CoroutineContext = Dispatchers.Default,
    transport: PeerTransportFactory = { scope, handler -> PeerNetwork(scope, CLUSTER, handler, NoPeerEvents) },
) : FleetJobService {
    /** Scope of all loops of this VM; [close] cancels it. */
    val scope = CoroutineScope(context + SupervisorJob(context[Job]))
    private val network: PeerTransport = transport(scope) { from, message -> handle(from, message) }
    private val liveness = PeerLiveness(rules.peerUnresponsiveMs)
    private val tables = FleetTables(ports, Tables(), clock, rules)
    private val cells = OwnedCells(scope, ports.workers, network, Runs(), { tables.workers() }, clock, rules, ::heardAt)
    private val dispatch = Dispatch(incarnation)
    private val remote = RemoteCapacity()
    private val runner = JobRunner(scope, dispatch, remote, network, Fleet(), clock)
    private val remoteRuns = RemoteRunServer({ cells.controller(it) }, { cells.stopRun(it) }, clock)
    private val claims = CellClaims(ports.store, Claims(), rules, clock)
    private val admission = WorkAdmission(PauseDetector(clock, TICK_MS), Pauses(), clock, rules)
    private val heartbeats = HeartbeatSender(network, liveness, clock) { heartbeat() }
    private lateinit var self: VmIdentity
    private val forwarder = JobForwarder(scope, { self }, runner, network, { liveness.isLive(it) }, { dispatchingVm() }, clock)

    @Volatile
    override var isStopping = false
        private set

    private object NoPeerEvents : PeerEvents {
        override fun connected(vm: VmIdentity) = Unit

        override fun disconnected(vm: VmIdentity) = Unit
    }

    /** Binds the peer port and starts all loops. Throws IOException if the port is in use. */
    suspend fun start() {
        val port = network.bind(settings.peers.host, settings.peers.port)
        self = VmIdentity(settings.name, incarnation, settings.region, settings.dataCentre, settings.peers.host, port)
        network.start(self)
        settings.seedPeers.forEach { network.connect(PeerAddress(it.host, it.port)) }
        runner.start()
        tables.start(scope, self)
        scope.launch { every(CLAIM_STEP_MS) { claims.step() } }
        scope.launch { heartbeats.run() }
        scope.launch { tickLoop() }
        log.info { "event=started vm=${self.name} incarnation=$incarnation" }
    }

    /** Applies settings changed at run time: connects to new seed peers. Returns the names of changed settings that need a restart. */
    fun reload(changed: FleetSettings): List<String> {
        changed.seedPeers.forEach { network.connect(PeerAddress(it.host, it.port)) }
        val differing = mapOf(
            "name" to (changed.name != settings.name),
            "dataCentre" to (changed.dataCentre != settings.dataCentre),
            "clients" to (changed.clients != settings.clients),
            "peers" to (changed.peers != settings.peers),
            "store" to (changed.store != settings.store),
            "leaseMs" to (changed.leaseMs != settings.leaseMs),
        )
        return differing.filterValues { it }.keys.toList()
    }

    private suspend fun every(ms: Long, step: suspend () -> Unit) {
        while (scope.isActive) {
            step()
            delay(ms)
        }
    }

    // Client requests

    override val isReady: Boolean get() = tables.configuration != null && !isStopping && hasDispatcher()

    override val hasConfiguration: Boolean get() = tables.configuration != null

    /** True if this VM or a live peer owns a cell; otherwise every job would be refused. */
    private fun hasDispatcher() = cells.owned().isNotEmpty() || liveness.live().any { it.heartbeat.cells.isNotEmpty() }

    override fun route(host: String, path: String): QueueRoute? = tables.configuration?.route(host, path)

    override suspend fun run(job: FleetJob, queue: JobQueue, waitMs: Long, signal: CancellationSignal): JobOutcome {
        val refusal = admission.refuseClient()
        return if (refusal != null && !forwarder.has(job.id)) refusal else forwarder.run(job, queue, waitMs, signal)
    }

    override fun cancel(jobId: String): Boolean = forwarder.cancel(jobId)

    override fun hasJob(jobId: String): Boolean = forwarder.has(jobId)

    override fun waitingJobs(queue: String): Int =
        (dispatch.waitingJobs()[queue] ?: 0) + liveness.live().sumOf { it.heartbeat.waitingJobs[queue] ?: 0 }

    /** Time of the last sign of life from the VM with [vm] as its incarnation, null if it is lost or unknown. */
    private fun heardAt(vm: String): Long? = if (vm == incarnation) clock.millis() else liveness.heardAt(vm)

    /** Names of the cells that this VM owns. */
    fun ownedCells(): Set<String> = cells.owned().map { it.cell.name }.toSet()

    /** The owner of the cell of this VM's data centre; null if it is this VM or unknown. */
    private fun dispatchingVm(): VmIdentity? {
        if (cells.controller(settings.dataCentre) != null && !isStopping) return null
        return liveness
            .live()
            .filter { !it.heartbeat.isStopping }
            .mapNotNull { peer -> peer.heartbeat.cells.firstOrNull { it.cell == settings.dataCentre }?.let { it.token to peer.vm } }
            .maxByOrNull { it.first }
            ?.second
    }

    // Callbacks from the components

    private inner class Tables : TableEvents {
        override fun configured() = heartbeats.sendSoon()

        override fun workersChanged() = cells.updateWorkers()

        override fun vmFound(address: PeerAddress) = network.connect(address)
    }

    private inner class Fleet : FleetView {
        override fun controllers(): Collection<CellController> = cells.owned()

        override fun isLive(vm: VmIdentity): Boolean = liveness.isLive(vm)

        override fun peer(incarnation: String): VmIdentity? = liveness.live().firstOrNull { it.vm.incarnation == incarnation }?.vm

        override fun hasTask(task: TaskRef): Boolean = cells.hasTask(task)

        override fun stopRun(key: RunKey) = cells.stopRun(key)
    }

    private inner class Runs : CellListener {
        override fun ended(order: RunOrder, end: RunEnd, workerId: String) {
            if (end == RunEnd.FAILED || end == RunEnd.LOST) {
                log.info { "event=run_ended ${order.run.logFields()} origin=${order.origin} end=$end worker=$workerId" }
            }
            if (order.origin == incarnation) runner.ended(order.key, end, workerId) else remoteRuns.ended(order.key, end)
            runner.wake()
            heartbeats.sendSoon()
        }

        override fun fenced(cell: String) {
            log.info { "event=fenced cell=$cell" }
            claims.renewSoon(cell)
        }
    }

    private inner class Claims : ClaimHost {
        override val self: VmIdentity get() = this@FleetVm.self

        override val isStopping: Boolean get() = this@FleetVm.isStopping

        override fun livePeers(): List<LivePeer> = liveness.live()

        override fun cells(): Set<String> = tables.workers().map { it.dataCentre }.toSet()

        override suspend fun canReach(cell: String): Boolean =
            tables.workers().filter { it.dataCentre == cell }.take(REACHABILITY_SAMPLES).any { ports.canConnect(it) }

        override fun gained(cell: String, token: Long, formerOwner: VmIdentity?) {
            cells.gain(cell, token, formerOwner?.takeIf { liveness.isLive(it) })
            heartbeats.sendSoon()
        }

        override fun lost(cell: String, successor: VmIdentity?, handover: Boolean) {
            cells.lose(cell, successor, handover)
            heartbeats.sendSoon()
        }

        override fun offer(cell: String, successor: VmIdentity) = network.send(successor, CellHandover(cell))
    }

    // Messages from peers

    private suspend fun handle(from: VmIdentity, message: PeerMessage): PeerMessage? {
        admission.check()
        return when (message) {
            is JobOffer -> dispatchFor(from, message)

            is JobCancel -> {
                runner.cancel(AttemptKey(from.incarnation, message.jobId, message.attempt))
                CancelAnswer
            }

            // Without an answer, the sender repeats the request if it still waits. The run may have started before the pause.
            is RemoteRunRequest -> if (admission.acceptsPeers()) remoteRuns.run(from, message) else null

            is RunCancel -> remoteRuns.cancel(RunKey(from.incarnation, message.dispatch, message.run))

            is PeerMessage.ConfigPull -> tables.configuration?.let { PeerMessage.ConfigChanges(it.version, it.document) }

            else -> {
                receive(from, message)
                null
            }
        }
    }

    /** Handles a message that has no reply. */
    private fun receive(from: VmIdentity, message: PeerMessage) = when (message) {
        is FleetHeartbeat -> onHeartbeat(from, message)
        is CellHandover -> claims.handover(message.cell, from)
        is WorkersReleased -> onWorkersReleased(message)
        else -> log.warn { "event=unexpected_message peer=${from.name} type=${message::class.simpleName}" }
    }

    private suspend fun dispatchFor(from: VmIdentity, offer: JobOffer): JobAnswer {
        val now = clock.millis()
        val submission =
            Submission(offer.job, offer.queue, from.incarnation, now - offer.ageMs, now + offer.remainingMs, offer.attempt)
        val isAccepting = admission.acceptsOffer(offer.ageMs) && !isStopping
        if (!isAccepting && !dispatch.has(submission.attempt)) return JobAnswer()
        return JobAnswer(runner.run(submission))
    }

    private fun onHeartbeat(from: VmIdentity, heartbeat: FleetHeartbeat) {
        liveness.onHeartbeat(from, heartbeat, clock.millis())
        remote.update(from, heartbeat)
        runner.wake()
        if (heartbeat.configVersion > tables.configurationVersion) scope.launch { pullConfiguration(from) }
    }

    private suspend fun pullConfiguration(from: VmIdentity) {
        val reply = network.call(from, PeerMessage.ConfigPull(tables.configurationVersion), PULL_TIMEOUT_MS)
        val document = ((reply as? PeerReply.Answered)?.message as? PeerMessage.ConfigChanges)?.document ?: return
        tables.applyConfiguration(document.encodeToByteArray(), source = from.name)
    }

    private fun onWorkersReleased(message: WorkersReleased) {
        cells.released(message.cell, message.workerIds)
        runner.wake()
    }

    private fun heartbeat(): FleetHeartbeat {
        val now = clock.millis()
        val status = cells.owned().map { CellStatus(it.cell.name, it.cell.token, it.cell.freeCapacity(now), it.cell.cores()) }
        return FleetHeartbeat(status, isStopping, tables.configurationVersion, dispatch.waitingJobs())
    }

    private suspend fun tickLoop() {
        while (scope.isActive) {
            admission.tick()
            liveness.removeLost(clock.millis()).forEach { peerLost(it) }
            cells.tick()
            runner.tick()
            delay(TICK_MS)
        }
    }

    private inner class Pauses : PauseListener {
        /** Peers are not regarded as unresponsive because of the pause. If they may have declared this VM lost, it ends its jobs. */
        override fun paused(pause: ProcessPause, isLost: Boolean) {
            log.warn { "event=stood_still pause_ms=${pause.maxMs}" }
            liveness.onProcessPause(pause.monotonicMs, clock.millis())
            if (!isLost) return
            runner.onProcessPause(pause.maxMs)
            // A longer pause has outlasted their leases, and after a step of the wall clock, which looks like one, they are still wanted.
            if (pause.maxMs - TICK_MS <= rules.longestLeaseMs) stopRemoteRuns()
        }

        private fun stopRemoteRuns() = cells.owned().forEach { cell -> cell.stopRuns { it.origin != incarnation } }

        override fun recovered() = network.dropAll()
    }

    private fun peerLost(vm: VmIdentity) {
        log.info { "event=peer_lost peer=${vm.name} incarnation=${vm.incarnation}" }
        network.drop(vm)
        runner.peerLost(vm)
        cells.peerLost(vm)
    }

    // Planned stop

    /** Planned stop: hands the cells over and returns when no job, run or request ([openRequests]) is left or the grace period is over. */
    suspend fun drain(openRequests: () -> Int) {
        isStopping = true
        val begin = clock.millis()
        log.info { "event=stopping open=${openRequests()} jobs=${dispatch.size()}" }
        heartbeats.sendSoon()
        val latest = begin + (settings.graceSeconds * MS_PER_S).toLong() - EXIT_MARGIN_MS
        delay(LOAD_BALANCER_DELAY_MS)
        while (clock.millis() < latest && openRequests() + dispatch.size() + cells.runCount() > 0) delay(TICK_MS)
        log.info { "event=stopped open=${openRequests()} jobs=${dispatch.size()} after_ms=${clock.millis() - begin}" }
    }

    fun close() {
        network.close()
        scope.cancel()
    }

    private companion object {
        const val CLUSTER = "fleet"
        const val CLAIM_STEP_MS = 150L
        const val TICK_MS = 40L
        const val PULL_TIMEOUT_MS = 1_000L

        /** Number of workers of a cell to which a connection is tried, to find out if the cell can be reached. */
        const val REACHABILITY_SAMPLES = 3

        /** The load balancer stops sending new connections here within this time after the readiness check fails, in ms. */
        const val LOAD_BALANCER_DELAY_MS = 2_600L

        /** The process exits this long before the end of the grace period, when it would be killed, in ms. */
        const val EXIT_MARGIN_MS = 700L
        const val MS_PER_S = 1_000
    }
}
