/*
 * An entry VM that dispatches tasks to leased workers: it wires the components together, runs their loops and performs the planned stop.
 * The rules are in `coordination.fleet`; the ports to the shared store and the workers are passed in.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.AttemptKey
import dandelionpoint.coordination.fleet.Candidate
import dandelionpoint.coordination.fleet.CandidateWorker
import dandelionpoint.coordination.fleet.CellOwner
import dandelionpoint.coordination.fleet.CellPlan
import dandelionpoint.coordination.fleet.CellView
import dandelionpoint.coordination.fleet.Cells
import dandelionpoint.coordination.fleet.Dispatch
import dandelionpoint.coordination.fleet.DispatchRoute
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.JobOwnership
import dandelionpoint.coordination.fleet.PauseDetector
import dandelionpoint.coordination.fleet.PeerBacklogs
import dandelionpoint.coordination.fleet.PlannedStop
import dandelionpoint.coordination.fleet.ProcessPause
import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.WaitingRuns
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.UptimeClock
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.QueueRoute
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.CellHandover
import dandelionpoint.protocol.peer.EvacuatedDataCentres
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.JobPresence
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.VmIdentity
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
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/**
 * Creates the connections of a VM to its peers, which run in the scope, pass the peers' messages to the handler and date them by the clock.
 */
internal typealias PeerTransportFactory = (CoroutineScope, PeerHandler, PeerEvents, UptimeClock) -> PeerTransport

/** One entry VM. Its loops run in [context]. Times are in ms. */
internal class FleetVm(
    private val settings: FleetSettings,
    private val ports: FleetPorts,
    private val clock: Clock = Clock.System,
    private val rules: FleetRules = FleetRules(leaseMs = settings.leaseMs.toLong(), remotePenalty = settings.remotePenalty),
    private val incarnation: String = UUID.randomUUID().toString(),
    context: CoroutineContext = Dispatchers.Default,
    random: Random = Random.Default,
    transport: PeerTransportFactory = { scope, handler, events, uptime ->
        PeerNetwork(scope, CLUSTER, handler, events, uptime = uptime, maxInbound = settings.maxPeerConnections)
    },
) : FleetJobService {
    /** Scope of all loops of this VM; [close] cancels it. */
    val scope = CoroutineScope(context + SupervisorJob(context[Job]))
    private val uptime = UptimeClock(clock)
    private val network: PeerTransport =
        transport(scope, { from, message, sentAt -> peerRequests.handle(from, message, sentAt) }, Connections(), uptime)
    private val peers =
        PeerState(::unresponsiveMs, RemoteCapacity(settings.dataCentre, random, rules.remotePenalty), PeerBacklogs(random))
    private val demand = PeerDemand(incarnation, peers.liveness, uptime)
    private val tables = FleetTables(ports, Tables(), clock, rules)
    private val peerConfiguration = PeerConfiguration(scope, network, { tables.configurationVersion }, tables::applyConfiguration)
    private val cells = OwnedCells(scope, ports.workers, Runs(), { tables.workers() }, clock, rules, demand, peers.formers)
    private val waitingRuns = WaitingRuns()
    private val dispatch = Dispatch(incarnation, waitingRuns = waitingRuns)
    private val handovers: CellHandovers = CellHandovers(
        scope,
        network,
        cells,
        peers.formers,
        ::openJobs,
        { peers.liveness.isLive(it) },
        { cell, successor -> claims.onTakenOver(cell, successor) },
        clock,
        rules,
    )
    private val runner = JobRunner(scope, dispatch, peers.remote, network, Fleet(), clock, backlogs = peers.backlogs)
    private val takeovers = CellTakeovers(scope, network, cells, peers.formers, demand::now) { runner.wake() }
    private val remoteRuns = RemoteRunServer(Capacity(), waitingRuns, clock)
    private val plan = CellPlan()
    private val unserved = UnservedDataCentres(scope, { tables.workers() }, ports.canConnect, clock)
    private val claims = CellClaims(ports.store, Claims(), plan, rules, clock)
    private val ownership = JobOwnership(settings.dataCentre, OwnView(), peers.directory, peers.formers)
    private val admission = WorkAdmission(PauseDetector(clock, TICK_MS), Pauses(), clock, rules)
    private lateinit var self: VmIdentity
    private val forwarder = JobForwarder(scope, { self }, runner, network, { peers.liveness.isLive(it) }, ::routeOf, clock)
    private val inquiries = JobInquiries(runner, forwarder, network, Inquiries(), clock)
    private val ownWork = OwnWork(cells, claims, dispatch, runner, forwarder, waitingRuns)
    private val heartbeats = HeartbeatSender(
        network,
        settings.dataCentre,
        clock,
        HeartbeatContents(settings.dataCentre, incarnation, ownWork, demand, peers.liveness, HeartbeatState()),
    )
    private val peerRequests = PeerRequests(
        peers,
        admission,
        demand,
        PeerRequestTargets(
            runner,
            inquiries,
            remoteRuns,
            CellMoves(claims, handovers, takeovers),
            ::routeOf,
            ::stopRefusal,
            ::onHeartbeat,
            ::configurationMessage,
        ),
        rules,
        clock,
    )

    private val claimGuard = LoopGuard("claims")
    private val isClaiming = AtomicBoolean()

    /** Ends the jobs of clients that have disconnected. Called before this VM tells its peers that it is there, and at each other tick. */
    @Volatile
    var pollClients: () -> Unit = {}

    /** The planned stop of this VM, null before it is requested. */
    @Volatile
    private var plannedStop: PlannedStop? = null

    override val isStopping: Boolean get() = plannedStop != null

    private inner class Connections : PeerEvents {
        override fun connected(vm: VmIdentity) = Unit

        override fun disconnected(vm: VmIdentity) = Unit

        /**
         * The process has ended, so that its cells need not stay without an owner until its claims are stale. A cut between data centres
         * may refuse connections too, so that this is concluded of a peer of the same one only.
         */
        override fun refused(address: PeerAddress, attemptedAt: Long) {
            val ended = peers.liveness.peerAt(address.host, address.port, heardBefore = attemptedAt) ?: return
            if (ended.dataCentre != settings.dataCentre) return
            log.info { "event=peer_ended peer=${ended.name} incarnation=${ended.incarnation}" }
            val owned = peers.directory.cellsOf(ended)
            peers.liveness.remove(ended)
            peerLost(ended)
            claims.ownerEnded(ended, owned)
        }
    }

    /** Binds the peer port and starts all loops. Throws IOException if the port is in use. */
    suspend fun start() {
        val port = network.bind(settings.peers.host, settings.peers.port)
        self = VmIdentity(
            settings.name,
            incarnation,
            settings.region,
            settings.dataCentre,
            settings.peers.host,
            port,
            settings.cpuMilli,
        )
        network.start(self)
        settings.seedPeers.forEach { network.connect(PeerAddress(it.host, it.port)) }
        runner.start()
        tables.start(scope, self)
        scope.launch { heartbeats.run() }
        scope.launch { tickLoop() }
        log.info { "event=started vm=${self.name} incarnation=$incarnation" }
    }

    /** Applies settings changed at run time: connects to new seed peers. Returns the names of changed settings that need a restart. */
    fun reload(changed: FleetSettings): List<String> {
        changed.seedPeers.forEach { network.connect(PeerAddress(it.host, it.port)) }
        return settings.fixedSettingsChangedIn(changed)
    }

    /** Makes one step of the claims, unless the one before is still waiting for the store. */
    private fun startClaimStep() {
        if (!isClaiming.compareAndSet(false, true)) return
        scope.launch {
            claimGuard.attempt("plan") { updatePlan() }
            claimGuard.attempt("claim") { claims.step() }
            isClaiming.set(false)
        }
    }

    private fun updatePlan() {
        val running = peers.liveness.live().filter { !it.heartbeat.isStopping }.mapTo(HashSet()) { it.vm.asCandidate() }
        if (!isStopping) running += self.asCandidate()
        claimableDataCentres().forEach { dataCentre ->
            plan.update(dataCentre, running, cells.workerCounts[dataCentre].orEmpty(), clock.millis())
        }
    }

    private fun VmIdentity.asCandidate() = Candidate(name, dataCentre, cpuMilli)

    /** This VM's data centre, those of its cells, and some of those that have workers but no live VM. */
    private fun claimableDataCentres(): Set<String> {
        val withVm = peers.liveness.live().mapTo(HashSet()) { it.vm.dataCentre }
        val withWorkers = cells.workerCounts.mapValues { (_, byCell) -> byCell.values.sum() }
        val owned = cells.owned().mapTo(HashSet()) { Cells.dataCentreOf(it.cell.name) }
        return unserved.claimable(withWorkers - withVm - settings.dataCentre, owned) + owned + settings.dataCentre
    }

    // Client requests

    override val isReady: Boolean get() = tables.configuration != null && !isStopping && hasDispatcher()

    override val hasConfiguration: Boolean get() = tables.configuration != null

    /** True if this VM or a live peer owns a cell; otherwise every job would be refused. */
    private fun hasDispatcher() =
        cells.owned().isNotEmpty() || peers.directory.hasOwners() || peers.liveness.live().any { it.vm.dataCentre != settings.dataCentre }

    override fun route(host: String, path: String): QueueRoute? = tables.configuration?.route(host, path)

    override suspend fun run(job: FleetJob, queue: JobQueue, waitMs: Long, signal: CancellationSignal): JobOutcome {
        val refusal = admission.refuseClient() ?: stopRefusal(job, waitMs)
        return if (refusal != null && !forwarder.has(job.id)) refusal else forwarder.run(job, queue, waitMs, signal)
    }

    private fun stopRefusal(job: FleetJob, waitMs: Long): JobOutcome? = plannedStop?.refusal(job, waitMs, clock.millis())

    override suspend fun cancel(jobId: String): JobPresence = inquiries.cancel(jobId)

    override suspend fun find(jobId: String): JobPresence = inquiries.find(jobId)

    override fun waitingJobs(queue: String): Int =
        (dispatch.waitingJobs()[queue] ?: 0) + peers.liveness.live().sumOf { it.heartbeat.waitingJobs[queue] ?: 0 }

    /** Names of the cells that this VM owns. */
    fun ownedCells(): Set<String> = cells.owned().map { it.cell.name }.toSet()

    /** Number of runs of other VMs that wait for capacity in this VM's cells. */
    val waitingRunCount: Int get() = waitingRuns.size

    private fun routeOf(jobId: String): DispatchRoute {
        admission.check()
        return if (dispatch.hasJob(jobId)) DispatchRoute.Here else ownership.route(jobId)
    }

    /** Looks for clients that have disconnected, unless that was done at most [maxAgeMs] ago. */
    private fun lookAtClients(maxAgeMs: Long) {
        if (demand.clientsAgeMs() > maxAgeMs) demand.lookAtClients(pollClients)
    }

    private fun unresponsiveMs(vm: VmIdentity): Long =
        if (vm.dataCentre == settings.dataCentre) rules.peerUnresponsiveMs else rules.farPeerUnresponsiveMs

    private fun openJobs(cell: String): Set<String> = dispatch.openJobs(clock.millis()) { Cells.ofJob(settings.dataCentre, it) == cell }

    // Callbacks from the components

    private inner class Tables : TableEvents {
        override fun configured() = heartbeats.announceChange()

        override fun workersChanged() = cells.updateWorkers()

        override fun evacuationChanged() {
            cells.updateWorkers()
            heartbeats.announceChange()
            runner.onCapacity()
        }

        override fun vmFound(address: PeerAddress) = network.connect(address)
    }

    private inner class OwnView : CellView {
        override fun ownToken(cell: String): Long? = cells.token(cell)?.takeIf { claims.isProven(cell) }

        override fun mayDispatchUnclaimed(cell: String): Boolean = claims.isUnclaimable(cell)

        override fun successor(cell: String): VmIdentity? {
            val name = plan.owner(cell)?.name
            return if (name == null || name == self.name) null else livePeer(name)
        }
    }

    private fun livePeer(name: String): VmIdentity? =
        peers.liveness.live().firstOrNull { it.vm.name == name && !it.heartbeat.isStopping }?.vm

    private inner class Inquiries : InquiryHost {
        override val self: VmIdentity get() = this@FleetVm.self

        override fun routeOf(jobId: String): DispatchRoute = this@FleetVm.routeOf(jobId)

        override fun vmsElsewhere(): Collection<List<VmIdentity>> {
            val elsewhere = peers.liveness.live().filter { it.vm.dataCentre != settings.dataCentre }
            return elsewhere.sortedBy { it.heartbeat.isStopping }.map { it.vm }.groupBy { it.dataCentre }.values
        }
    }

    private inner class Fleet : FleetView {
        override fun place(order: RunOrder, avoidsWorker: Boolean, accepts: (CandidateWorker) -> Boolean): String? =
            cells.place(order, avoidsWorker, accepts)

        override fun waitsForRack(order: RunOrder, elsewhereMs: Long): Boolean = cells.waitsForRack(order, elsewhereMs)

        override fun cores(pool: String): Int = cells.cores()[pool] ?: 0

        override fun isLive(vm: VmIdentity): Boolean = peers.liveness.isLive(vm)

        override fun demandAgeMs(incarnation: String): Long? = demand.ageMs(incarnation)

        override fun hasTask(task: TaskRef): Boolean = cells.hasTask(task)

        override fun stopRun(key: RunKey) = cells.stopRun(key)

        override fun refuseWaiting(order: RunOrder) = remoteRuns.ended(order.key, RunEnd.NOT_STARTED)

        override fun checkPause() = admission.check()
    }

    /** What remote runs of other VMs may use. */
    private inner class Capacity : RemoteRunHost {
        override fun place(order: RunOrder): Boolean = cells.place(order) != null

        override fun stopRun(key: RunKey) = cells.stopRun(key)

        override val hasWaitingWork: Boolean get() = dispatch.hasWaitingWork

        override fun mayWait(order: RunOrder): Boolean = !isStopping && cells.couldRun(order)

        override fun onWaiting() = runner.wake()
    }

    private inner class Runs : CellListener {
        override fun ended(order: RunOrder, end: RunEnd, workerId: String) {
            if (end == RunEnd.FAILED || end == RunEnd.LOST) {
                log.info { "event=run_ended ${order.run.logFields()} origin=${order.origin} end=$end worker=$workerId" }
            }
            if (order.origin == incarnation) runner.ended(order.key, end, workerId) else remoteRuns.ended(order.key, end)
            runner.onCapacity()
            heartbeats.announceCapacity()
        }

        override fun fenced(cell: String) {
            log.info { "event=fenced cell=$cell" }
            claims.renewSoon()
        }
    }

    private inner class Claims : ClaimHost {
        override val self: VmIdentity get() = this@FleetVm.self

        override val isStopping: Boolean get() = this@FleetVm.isStopping

        override fun claimableDataCentres(): Set<String> = this@FleetVm.claimableDataCentres()

        override fun peer(name: String): VmIdentity? = livePeer(name)

        override fun isLive(vm: VmIdentity): Boolean = peers.liveness.isLive(vm)

        override fun peerOwner(cell: String): CellOwner? = peers.directory.owner(cell)

        override suspend fun canReach(dataCentre: String): Boolean = unserved.hasJustReached(dataCentre)

        override fun gained(cell: String, token: Long, formerOwner: VmIdentity?) {
            val former = formerOwner?.takeIf { peers.liveness.isLive(it) }
            former?.let { peers.formers.gained(cell, token, it, demand.now()) }
            cells.gain(cell, token)
            heartbeats.announceChange()
        }

        override fun lost(cell: String, successor: CellOwner?, handover: Boolean) {
            val token = cells.token(cell)
            val handedOver = cells.lose(cell, handover && successor != null)
            if (handedOver != null && successor != null) handovers.begin(handedOver, successor)
            remoteRuns.refuseWaiting("no worker left that can run it") { !cells.couldRun(it) }
            if (handedOver == null && token != null) handovers.abandoned(cell, token)
            heartbeats.announceChange()
        }

        override fun offer(cell: String, successor: VmIdentity) = network.send(successor, CellHandover(cell))
    }

    private inner class HeartbeatState : HeartbeatHost {
        override val isStopping: Boolean get() = this@FleetVm.isStopping

        override val configurationVersion: Long get() = tables.configurationVersion

        override val evacuated: EvacuatedDataCentres? get() = tables.evacuated()

        override fun onHeartbeat() {
            lookAtClients(TICK_MS)
        }

        override fun sending() = admission.onHeartbeat()
    }

    private fun onHeartbeat(from: VmIdentity, heartbeat: FleetHeartbeat, sentAt: Long) {
        applyCancellations(from, heartbeat)
        // A peer without a configuration has not read the operator's table yet.
        if (heartbeat.configVersion >= 0) tables.onPeerEvacuations(heartbeat.evacuated, from)
        claims.ownerHeard(from)
        peers.onHeartbeat(from, heartbeat, clock.millis(), sentAt)
        runner.onCapacity()
        peerConfiguration.onAnnounced(heartbeat.configVersion, from)
    }

    /** Applied before the heartbeat counts as a sign of life, so that it extends no lease of a run that it cancels. */
    private fun applyCancellations(from: VmIdentity, heartbeat: FleetHeartbeat) {
        heartbeat.cancelledJobs.map { AttemptKey(from.incarnation, it.jobId, it.attempt) }.filter { runner.has(it) }.forEach {
            runner.cancel(it)
        }
        heartbeat.cancelledRuns.forEach { remoteRuns.stop(RunKey(from.incarnation, it.dispatch, it.run)) }
        // The dispatching VM may not have heard of it, while this heartbeat reaches the owners of the job's runs.
        if (heartbeat.cancelledJobs.isNotEmpty()) {
            val jobIds = heartbeat.cancelledJobs.mapTo(HashSet()) { it.jobId }
            remoteRuns.refuseWaiting("cancelled") { it.entryVm == from.incarnation && it.task.jobId in jobIds }
            cells.stopRunsOfClient(from.incarnation, jobIds)
        }
    }

    private fun configurationMessage(): PeerMessage? = tables.configuration?.let { PeerMessage.ConfigChanges(it.version, it.document) }

    private suspend fun tickLoop() {
        val guard = LoopGuard("tick")
        var ticks = 0
        while (scope.isActive) {
            if (ticks % CLAIM_TICKS == 0) startClaimStep()
            ticks++
            guard.attempt("clients") { lookAtClients(TICK_MS) }
            guard.attempt("admission") { admission.tick() }
            guard.attempt("peers") { peers.liveness.removeLost(clock.millis()).forEach { peerLost(it) } }
            guard.attempt("cells") { cells.tick() }
            guard.attempt("handovers") { handovers.tick() }
            guard.attempt("takeovers") { takeovers.tick() }
            guard.attempt("jobs") { runner.tick() }
            delay(TICK_MS)
        }
    }

    private inner class Pauses : PauseListener {
        /** Peers are not regarded as unresponsive because of the pause. If they may have declared this VM lost, it ends its jobs. */
        override fun paused(pause: ProcessPause, isLost: Boolean) {
            log.warn { "event=stood_still pause_ms=${pause.maxMs}" }
            peers.liveness.onProcessPause(pause.monotonicMs, clock.millis())
            // Their latest starts may have passed, also if the monotonic clock has not counted the pause.
            remoteRuns.refuseWaiting("the VM process was paused") { true }
            if (!isLost) return
            claims.onProcessPause(pause)
            runner.endAll("the VM process was paused for ${pause.maxMs} ms")
            // A longer pause has outlasted their leases, and after a step of the wall clock, which looks like one, they are still wanted.
            if (pause.maxMs - TICK_MS <= rules.longestLeaseMs) cells.stopRunsOfOthers(incarnation)
        }

        override fun recovered() = network.dropAll()
    }

    private fun peerLost(vm: VmIdentity) {
        log.info { "event=peer_lost peer=${vm.name} incarnation=${vm.incarnation}" }
        network.drop(vm)
        peers.remove(vm)
        remoteRuns.refuseWaiting("a VM that wants it is lost") { it.origin == vm.incarnation || it.entryVm == vm.incarnation }
        inquiries.peerLost(vm)
        runner.peerLost(vm)
        cells.peerLost(vm)
    }

    // Planned stop

    /**
     * Planned stop: hands the cells over and returns when no job, run or request ([openRequests]) is left, or shortly before the end of the
     * grace period, when the jobs that are left have been ended so that their clients get an answer.
     */
    suspend fun drain(openRequests: () -> Int) {
        val begin = clock.millis()
        val stop = PlannedStop(begin + (settings.graceSeconds * MS_PER_S).toLong() - EXIT_MARGIN_MS)
        plannedStop = stop
        log.info { "event=stopping open=${openRequests()} jobs=${dispatch.size()}" }
        heartbeats.announceChange()
        remoteRuns.refuseWaiting("the VM stops") { true }
        delay(minOf(LOAD_BALANCER_DELAY_MS, stop.endsAt - begin))
        while (clock.millis() < stop.endsAt && openRequests() + dispatch.size() + cells.runCount() > 0) delay(TICK_MS)
        endJobs("the VM stops")
        log.info { "event=stopped open=${openRequests()} jobs=${dispatch.size()} after_ms=${clock.millis() - begin}" }
    }

    /** Ends the jobs that are dispatched here, and those of this VM's clients that are dispatched elsewhere. */
    private fun endJobs(reason: String) {
        runner.endAll(reason)
        forwarder.cancelAll()
    }

    fun close() {
        network.close()
        scope.cancel()
    }

    private companion object {
        const val CLUSTER = "fleet"

        /** Interval of the tick loop, in ms. All periodic work of a VM is done in it, since each timer of its own wakes the VM's thread. */
        const val TICK_MS = 50L

        /** Ticks from one step of the claims to the next. */
        const val CLAIM_TICKS = 3

        /** The load balancer stops sending new connections here within this time after the readiness check fails, in ms. */
        const val LOAD_BALANCER_DELAY_MS = 2_600L

        /** The process exits this long before the end of the grace period, when it would be killed, in ms. */
        const val EXIT_MARGIN_MS = 700L
        const val MS_PER_S = 1_000
    }
}
