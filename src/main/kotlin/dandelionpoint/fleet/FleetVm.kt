/*
 * An entry VM that dispatches to leased workers: puts the parts together, runs their loops, and ends in order. The rules are in
 * `coordination.fleet`; the ports to store and workers are given from outside.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Dispatch
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.LivePeer
import dandelionpoint.coordination.fleet.PeerLiveness
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.Submission
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.QueueRoute
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.CellHandover
import dandelionpoint.protocol.peer.CellStatus
import dandelionpoint.protocol.peer.FleetBeat
import dandelionpoint.protocol.peer.JobAnswer
import dandelionpoint.protocol.peer.JobCancel
import dandelionpoint.protocol.peer.JobOffer
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.RunCancel
import dandelionpoint.protocol.peer.RunLoan
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.peer.WorkersReleased
import dandelionpoint.settings.FleetSettings
import dandelionpoint.transport.peer.PeerAddress
import dandelionpoint.transport.peer.PeerEvents
import dandelionpoint.transport.peer.PeerNetwork
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.util.UUID

private val log = KotlinLogging.logger {}

/** One entry VM. */
internal class FleetVm(
    private val settings: FleetSettings,
    private val ports: FleetPorts,
    private val clock: Clock = Clock.System,
    private val rules: FleetRules = FleetRules(leaseMs = settings.leaseMs.toLong()),
) : FleetFront {
    /** Scope of all loops. */
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val incarnation = UUID.randomUUID().toString()
    private val network: PeerNetwork = PeerNetwork(scope, CLUSTER, { from, message -> handle(from, message) }, NoPeerEvents)
    private val liveness = PeerLiveness(rules.peerSilentMs)
    private val tables = FleetTables(ports, Tables(), clock, rules)
    private val cells = KeptCells(scope, ports.workers, network, Runs(), { tables.workers() }, clock, rules)
    private val dispatch = Dispatch(incarnation)
    private val remote = RemoteRooms()
    private val runner = JobRunner(scope, dispatch, remote, network, Fleet(), clock)
    private val lent = LentRuns { cells.keeper(it) }
    private val claims = CellClaims(ports.store, Claims(), rules, clock)
    private val beats = FleetBeats(network, liveness, clock) { beat() }
    private lateinit var self: VmIdentity
    private val desk = JobDesk({ self }, runner, network, { liveness.isLive(it) }, { dispatchingVm() }, clock)

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
        scope.launch { beats.run() }
        scope.launch { ticks() }
        log.info { "event=started vm=${self.name} incarnation=$incarnation" }
    }

    /** Takes settings that have changed while the VM runs: new seed peers. Returns the names of changed settings that need a restart. */
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

    // Clients

    override val isReady: Boolean get() = tables.configuration != null && !isStopping && hasDispatcher()

    override val hasConfiguration: Boolean get() = tables.configuration != null

    /** A VM that knows neither a cell of its own nor one of a peer could only refuse. */
    private fun hasDispatcher() = cells.kept().isNotEmpty() || liveness.live().any { it.beat.cells.isNotEmpty() }

    override fun route(host: String, path: String): QueueRoute? = tables.configuration?.route(host, path)

    override suspend fun run(job: FleetJob, queue: JobQueue, waitMs: Long): JobOutcome = desk.run(job, queue, waitMs)

    override fun cancel(jobId: String): Boolean = desk.cancel(jobId)

    override fun isInHand(jobId: String): Boolean = desk.has(jobId)

    override fun waitingJobs(queue: String): Int =
        (dispatch.waitingJobs()[queue] ?: 0) + liveness.live().sumOf { it.beat.waitingJobs[queue] ?: 0 }

    /** Cells that this VM keeps. */
    fun keptCells(): Set<String> = cells.kept().map { it.cell.name }.toSet()

    /** The keeper of the own data centre's cell, null for this VM. */
    private fun dispatchingVm(): VmIdentity? {
        if (cells.keeper(settings.dataCentre) != null && !isStopping) return null
        return liveness
            .live()
            .filter { !it.beat.isStopping }
            .mapNotNull { peer -> peer.beat.cells.firstOrNull { it.cell == settings.dataCentre }?.let { it.token to peer.vm } }
            .maxByOrNull { it.first }
            ?.second
    }

    // What the parts need of the VM

    private inner class Tables : TableEvents {
        override fun configured() = beats.soon()

        override fun workersChanged() = cells.updateWorkers()

        override fun vmFound(address: PeerAddress) = network.connect(address)
    }

    private inner class Fleet : FleetView {
        override fun keepers(): Collection<CellKeeper> = cells.kept()

        override fun isLive(vm: VmIdentity): Boolean = liveness.isLive(vm)

        override fun peer(incarnation: String): VmIdentity? = liveness.live().firstOrNull { it.vm.incarnation == incarnation }?.vm

        override fun stopRun(run: TaskRun) = cells.stopRun(run, incarnation)
    }

    private inner class Runs : CellListener {
        override fun ended(order: RunOrder, end: RunEnd, workerId: String) {
            if (end == RunEnd.FAILED || end == RunEnd.LOST) {
                log.info { "event=run_ended job=${order.task.jobId} run=${order.run} end=$end worker=$workerId" }
            }
            if (order.origin == incarnation) runner.ended(order.run, end, workerId) else lent.ended(order.origin, order.run, end)
            runner.wake()
            beats.soon()
        }

        override fun fenced(cell: String) {
            log.info { "event=fenced cell=$cell" }
            claims.suspect(cell)
        }
    }

    private inner class Claims : ClaimHost {
        override val self: VmIdentity get() = this@FleetVm.self

        override val isStopping: Boolean get() = this@FleetVm.isStopping

        override fun livePeers(): List<LivePeer> = liveness.live()

        override fun cells(): Set<String> = tables.workers().map { it.dataCentre }.toSet()

        override suspend fun canReach(cell: String): Boolean =
            tables.workers().filter { it.dataCentre == cell }.take(REACH_SAMPLES).any { ports.canConnect(it) }

        override fun gained(cell: String, token: Long, formerKeeper: VmIdentity?) {
            cells.gain(cell, token, formerKeeper?.takeIf { liveness.isLive(it) })
            beats.soon()
        }

        override fun lost(cell: String, successor: VmIdentity?, handover: Boolean) {
            cells.lose(cell, successor, handover)
            beats.soon()
        }

        override fun offer(cell: String, successor: VmIdentity) = network.send(successor, CellHandover(cell))
    }

    // Peers

    private suspend fun handle(from: VmIdentity, message: PeerMessage): PeerMessage? {
        when (message) {
            is FleetBeat -> heard(from, message)
            is JobOffer -> return dispatchFor(from, message)
            is JobCancel -> runner.cancel(message.jobId)
            is RunLoan -> return lent.run(from, message)
            is RunCancel -> cells.stopRun(message.run, from.incarnation)
            is CellHandover -> claims.handover(message.cell, from)
            is WorkersReleased -> released(message)
            is PeerMessage.ConfigPull -> return tables.configuration?.let { PeerMessage.ConfigChanges(it.version, it.document) }
            else -> log.warn { "event=unexpected_message peer=${from.name} type=${message::class.simpleName}" }
        }
        return null
    }

    private suspend fun dispatchFor(from: VmIdentity, offer: JobOffer): JobAnswer {
        if (isStopping && !dispatch.has(offer.job.id)) return JobAnswer()
        val now = clock.millis()
        val submission = Submission(offer.job, offer.queue, from.incarnation, now - offer.ageMs, now + offer.remainingMs)
        return JobAnswer(runner.run(submission))
    }

    private fun heard(from: VmIdentity, beat: FleetBeat) {
        liveness.heard(from, beat, clock.millis())
        remote.heard(from, beat)
        runner.wake()
        if (beat.configVersion > tables.configurationVersion) scope.launch { pullConfiguration(from) }
    }

    private suspend fun pullConfiguration(from: VmIdentity) {
        val reply = network.call(from, PeerMessage.ConfigPull(tables.configurationVersion), PULL_TIMEOUT_MS)
        val document = ((reply as? PeerReply.Answered)?.message as? PeerMessage.ConfigChanges)?.document ?: return
        tables.offerConfiguration(document.encodeToByteArray(), source = from.name)
    }

    private fun released(message: WorkersReleased) {
        cells.released(message.cell, message.workerIds)
        runner.wake()
    }

    private fun beat(): FleetBeat {
        val now = clock.millis()
        val status = cells.kept().map { CellStatus(it.cell.name, it.cell.token, it.cell.rooms(now), it.cell.cores()) }
        return FleetBeat(status, isStopping, tables.configurationVersion, dispatch.waitingJobs())
    }

    private suspend fun ticks() {
        var last = clock.millis()
        var lastWallMs = clock.wallMs()
        while (scope.isActive) {
            delay(TICK_MS)
            val now = clock.millis()
            val wallMs = clock.wallMs()
            val pauseMs = maxOf(now - last, wallMs - lastWallMs) - TICK_MS
            if (pauseMs > STOOD_STILL_MS) stoodStill(pauseMs)
            last = now
            lastWallMs = wallMs
            liveness.lost(now).forEach { peerLost(it) }
            cells.tick()
            runner.tick()
        }
    }

    private fun stoodStill(pauseMs: Long) {
        log.warn { "event=stood_still pause_ms=$pauseMs" }
        liveness.paused(pauseMs)
        if (pauseMs > rules.peerSilentMs) runner.stoodStill(pauseMs)
    }

    private fun peerLost(vm: VmIdentity) {
        log.info { "event=peer_lost peer=${vm.name} incarnation=${vm.incarnation}" }
        network.drop(vm)
        runner.peerLost(vm)
        cells.peerLost(vm)
    }

    // Stop

    /** Planned stop: hands the cells over and returns when the work in hand, with [openRequests], is done, or the time is up. */
    suspend fun drain(openRequests: () -> Int) {
        isStopping = true
        val begin = clock.millis()
        log.info { "event=stopping open=${openRequests()} jobs=${dispatch.size()}" }
        beats.soon()
        val latest = begin + (settings.graceSeconds * MS_PER_S).toLong() - EXIT_MARGIN_MS
        delay(ROTATION_MS)
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
        const val STOOD_STILL_MS = 250L
        const val PULL_TIMEOUT_MS = 1_000L
        const val REACH_SAMPLES = 3

        /** Time in which the balancer stops to send new connections here, in ms. */
        const val ROTATION_MS = 2_600L

        /** The process ends this long before it is ended from outside, in ms. */
        const val EXIT_MARGIN_MS = 700L
        const val MS_PER_S = 1_000
    }
}
