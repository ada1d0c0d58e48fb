/*
 * An entry VM that dispatches to leased workers: puts the parts together, runs their loops, and ends in order. The rules are in
 * `coordination.fleet`; the ports to store and workers are given from outside.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Cell
import dandelionpoint.coordination.fleet.Dispatch
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.LivePeer
import dandelionpoint.coordination.fleet.PeerLiveness
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.Submission
import dandelionpoint.coordination.fleet.WorkerList
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.FleetConfiguration
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.QueueRoute
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.SharedRow
import dandelionpoint.protocol.fleet.SharedRows
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.fleet.WorkerPort
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
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** Turns the documents in the shared store into the product's types; null for a document that cannot be read. */
internal interface DocumentReader {
    fun worker(id: String, bytes: ByteArray): WorkerEntry?

    fun configuration(bytes: ByteArray): FleetConfiguration?
}

/** Tables of the shared store that others write: the workers' entries, and the operator's table with the configuration's key. */
internal data class SharedTables(val workers: String, val operator: String, val configurationKey: String)

/** What the VM reaches outside: the shared store, its tables and documents, and the workers. */
internal class FleetPorts(
    val store: SharedRows,
    val tables: SharedTables,
    val documents: DocumentReader,
    val workers: WorkerPort,
    val canConnect: suspend (WorkerEntry) -> Boolean,
)

/** One entry VM. */
internal class FleetVm(
    private val settings: FleetSettings,
    private val ports: FleetPorts,
    private val clock: Clock = Clock.System,
    private val rules: FleetRules = FleetRules(leaseMs = settings.leaseMs.toLong()),
) : FleetFront, FleetView, ClaimHost, CellListener {
    /** Scope of all loops. */
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val incarnation = UUID.randomUUID().toString()
    private val network: PeerNetwork = PeerNetwork(scope, CLUSTER, { from, message -> handle(from, message) }, NoPeerEvents)
    private val liveness = PeerLiveness(rules.peerSilentMs)
    private val workerList = WorkerList(rules)
    private val keepers = ConcurrentHashMap<String, CellKeeper>()
    private val leaving = ConcurrentHashMap<String, Leaving>()
    private val formerKeepers = ConcurrentHashMap<String, VmIdentity>()
    private val dispatch = Dispatch(incarnation)
    private val remote = RemoteRooms()
    private val runner = JobRunner(scope, dispatch, remote, network, this, clock)
    private val lent = LentRuns { keepers[it] }
    private val claims = CellClaims(ports.store, this, rules, clock)
    private val beatDue = Channel<Unit>(Channel.CONFLATED)
    private val startedAt = clock.millis()

    private class Leaving(val keeper: CellKeeper, val successor: VmIdentity?)

    @Volatile
    private var configuration: FleetConfiguration? = null

    @Volatile
    override var isStopping = false
        private set

    override lateinit var self: VmIdentity
        private set

    private val desk = JobDesk({ self }, runner, network, { liveness.isLive(it) }, { dispatchingVm() }, clock)

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
        val watches = listOf(
            StoreWatch(ports.store, ports.tables.operator, ConfigurationListener(), WATCH_MS),
            StoreWatch(ports.store, ports.tables.workers, WorkerListener(), waitMs = 0, pauseMs = WATCH_MS),
            StoreWatch(ports.store, VMS, VmListener(), waitMs = VM_WATCH_MS),
        )
        watches.forEach { scope.launch { it.follow() } }
        scope.launch { announce() }
        scope.launch { every(CLAIM_STEP_MS) { claims.step() } }
        scope.launch { beats() }
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

    // --- clients -----------------------------------------------------------------------------------------------------------------

    override val isReady: Boolean get() = configuration != null && !isStopping && hasDispatcher()

    override val hasConfiguration: Boolean get() = configuration != null

    /** A VM that knows neither a cell of its own nor one of a peer could only refuse. */
    private fun hasDispatcher() = keepers.isNotEmpty() || liveness.live().any { it.beat.cells.isNotEmpty() }

    override fun route(host: String, path: String): QueueRoute? = configuration?.route(host, path)

    override suspend fun run(job: FleetJob, queue: JobQueue, waitMs: Long): JobOutcome = desk.run(job, queue, waitMs)

    override fun cancel(jobId: String): Boolean = desk.cancel(jobId)

    override fun isInHand(jobId: String): Boolean = desk.has(jobId)

    override fun waitingJobs(queue: String): Int =
        (dispatch.waitingJobs()[queue] ?: 0) + liveness.live().sumOf { it.beat.waitingJobs[queue] ?: 0 }

    /** The keeper of the own data centre's cell, null for this VM. */
    private fun dispatchingVm(): VmIdentity? {
        if (keepers.containsKey(settings.dataCentre) && !isStopping) return null
        return liveness
            .live()
            .filter { !it.beat.isStopping }
            .mapNotNull { peer -> peer.beat.cells.firstOrNull { it.cell == settings.dataCentre }?.let { it.token to peer.vm } }
            .maxByOrNull { it.first }
            ?.second
    }

    // --- cells -------------------------------------------------------------------------------------------------------------------

    override fun keepers(): Collection<CellKeeper> = keepers.values

    override fun isLive(vm: VmIdentity): Boolean = liveness.isLive(vm)

    override fun peer(incarnation: String): VmIdentity? = liveness.live().firstOrNull { it.vm.incarnation == incarnation }?.vm

    override fun livePeers(): List<LivePeer> = liveness.live()

    override fun cells(): Set<String> = workerList.current(clock.millis()).map { it.dataCentre }.toSet()

    override suspend fun canReach(cell: String): Boolean =
        workerList.current(clock.millis()).filter { it.dataCentre == cell }.take(REACH_SAMPLES).any { ports.canConnect(it) }

    override fun gained(cell: String, token: Long, formerKeeper: VmIdentity?) {
        val keeper = CellKeeper(scope, Cell(cell, token, rules), ports.workers, this, clock, rules)
        if (formerKeeper != null && liveness.isLive(formerKeeper)) {
            formerKeepers[cell] = formerKeeper
            keeper.cell.awaitRelease(cellWorkers(cell).map { it.id }.toSet())
        }
        keepers.put(cell, keeper)?.abandon()
        keeper.updateWorkers(cellWorkers(cell))
        beatSoon()
    }

    override fun lost(cell: String, successor: VmIdentity?, handover: Boolean) {
        val keeper = keepers.remove(cell) ?: return
        if (handover) {
            keeper.cell.close()
            leaving[cell] = Leaving(keeper, successor)
        } else {
            keeper.abandon()
        }
        beatSoon()
    }

    override fun offer(cell: String, successor: VmIdentity) = network.send(successor, CellHandover(cell))

    private fun cellWorkers(cell: String) = workerList.current(clock.millis()).filter { it.dataCentre == cell }

    private fun allKeepers() = keepers.values + leaving.values.map { it.keeper }

    private fun updateWorkers() = (keepers + leaving.mapValues { it.value.keeper }).forEach { (cell, keeper) ->
        keeper.updateWorkers(cellWorkers(cell))
    }

    override fun ended(order: RunOrder, end: RunEnd, workerId: String) {
        if (end == RunEnd.FAILED || end == RunEnd.LOST) {
            log.info { "event=run_ended task=${order.task} run=${order.run.run} end=$end worker=$workerId" }
        }
        if (order.origin == incarnation) runner.ended(order.run, end, workerId) else lent.ended(order.origin, order.run, end)
        runner.wake()
        beatSoon()
    }

    override fun fenced(cell: String) {
        log.info { "event=fenced cell=$cell" }
        claims.suspect(cell)
    }

    // --- peers -------------------------------------------------------------------------------------------------------------------

    private suspend fun handle(from: VmIdentity, message: PeerMessage): PeerMessage? {
        when (message) {
            is FleetBeat -> heard(from, message)
            is JobOffer -> return dispatchFor(from, message)
            is JobCancel -> runner.cancel(message.jobId)
            is RunLoan -> return lent.run(from, message)
            is RunCancel -> allKeepers().forEach { keeper -> keeper.stopRuns { it.run == message.run && it.origin == from.incarnation } }
            is CellHandover -> claims.handover(message.cell, from)
            is WorkersReleased -> released(message.cell, message.workerIds)
            is PeerMessage.ConfigPull -> return configuration?.let { PeerMessage.ConfigChanges(it.version, it.document) }
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
        val mine = configuration?.version ?: -1
        if (beat.configVersion > mine) scope.launch { pullConfiguration(from) }
    }

    private suspend fun pullConfiguration(from: VmIdentity) {
        val reply = network.call(from, PeerMessage.ConfigPull(configuration?.version ?: -1), PULL_TIMEOUT_MS)
        val document = ((reply as? PeerReply.Answered)?.message as? PeerMessage.ConfigChanges)?.document ?: return
        ports.documents.configuration(document.encodeToByteArray())?.let { apply(it, source = from.name) }
    }

    private fun released(cell: String, ids: Set<String>?) {
        keepers[cell]?.let {
            it.cell.release(ids)
            it.wake()
        }
        runner.wake()
    }

    private fun beatSoon() {
        beatDue.trySend(Unit)
    }

    /** Changes of the rooms between the steady beats go only to VMs that dispatch. */
    private suspend fun beats() {
        var steadyAt = clock.millis()
        while (scope.isActive) {
            withTimeoutOrNull(steadyAt + BEAT_MS - clock.millis()) { beatDue.receive() }
            val isSteady = clock.millis() >= steadyAt + BEAT_MS
            if (isSteady) steadyAt = clock.millis()
            val dispatching = liveness.live().filter { it.beat.cells.isNotEmpty() }.map { it.vm }.toSet()
            network.send(network.connected().filter { isSteady || it in dispatching }, beat())
            delay(BEAT_PAUSE_MS)
        }
    }

    private fun beat(): FleetBeat {
        val now = clock.millis()
        val cells = keepers.values.map { CellStatus(it.cell.name, it.cell.token, it.cell.rooms(now), it.cell.cores()) }
        return FleetBeat(cells, isStopping, configuration?.version ?: 0, dispatch.waitingJobs())
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
            allKeepers().forEach { it.tick() }
            releaseIdleWorkers()
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
        allKeepers().forEach { keeper -> keeper.stopRuns { it.origin == vm.incarnation } }
        formerKeepers.filterValues { it == vm }.keys.forEach { cell ->
            formerKeepers.remove(cell)
            released(cell, ids = null)
        }
    }

    private fun releaseIdleWorkers() = leaving.forEach { (cell, left) ->
        val successor = left.successor ?: return@forEach
        network.send(successor, WorkersReleased(cell, left.keeper.cell.idleWorkerIds()))
        if (left.keeper.cell.runCount() == 0) {
            leaving.remove(cell)
            left.keeper.abandon()
        }
    }

    // --- store -------------------------------------------------------------------------------------------------------------------

    private inner class ConfigurationListener : TableListener {
        override fun replaced(rows: List<SharedRow>) = changed(rows)

        override fun changed(rows: List<SharedRow>) {
            val row = rows.lastOrNull { it.key == ports.tables.configurationKey } ?: return
            val read = row.value?.let { ports.documents.configuration(it) }
            if (read == null) log.warn { "event=configuration_unreadable version=${row.version}" } else apply(read, source = "store")
        }
    }

    @Synchronized
    private fun apply(read: FleetConfiguration, source: String) {
        if (read.version <= (configuration?.version ?: -1)) return
        configuration = read
        log.info { "event=configuration version=${read.version} routes=${read.routes.size} source=$source" }
        beatSoon()
    }

    private inner class WorkerListener : TableListener {
        override fun contact() {
            workerList.contact(clock.millis())
            updateWorkers()
        }

        override fun replaced(rows: List<SharedRow>) = workerList.replaceAll(rows.mapNotNull { read(it) }, clock.millis())

        override fun changed(rows: List<SharedRow>) = rows.forEach { row ->
            val entry = read(row)
            if (entry != null) workerList.put(entry) else workerList.removed(row.key, clock.millis())
        }

        private fun read(row: SharedRow): WorkerEntry? = row.value?.let { ports.documents.worker(row.key, it) }
    }

    private inner class VmListener : TableListener {
        override fun replaced(rows: List<SharedRow>) = changed(rows)

        override fun changed(rows: List<SharedRow>) = rows.mapNotNull { it.value }.forEach { bytes ->
            val vm = runCatching { Json.decodeFromString(VmIdentity.serializer(), bytes.decodeToString()) }.getOrNull()
            if (vm != null) network.connect(PeerAddress(vm.host, vm.port))
        }
    }

    /** Writes this VM's row until the store has taken it. */
    private suspend fun announce() {
        val row = Json.encodeToString(VmIdentity.serializer(), self).encodeToByteArray()
        while (scope.isActive && ports.store.write(VMS, self.name, row, expected = null).isLeft()) delay(ANNOUNCE_RETRY_MS)
    }

    // --- stop --------------------------------------------------------------------------------------------------------------------

    /** Planned stop: hands the cells over and returns when the work in hand, with [openRequests], is done, or the time is up. */
    suspend fun drain(openRequests: () -> Int) {
        isStopping = true
        val begin = clock.millis()
        log.info { "event=stopping open=${openRequests()} jobs=${dispatch.size()}" }
        beatSoon()
        val latest = begin + (settings.graceSeconds * MS_PER_S).toLong() - EXIT_MARGIN_MS
        delay(ROTATION_MS)
        while (clock.millis() < latest && (openRequests() > 0 || dispatch.size() > 0 || allKeepers().any { it.cell.runCount() > 0 })) {
            delay(TICK_MS)
        }
        log.info { "event=stopped open=${openRequests()} jobs=${dispatch.size()} after_ms=${clock.millis() - begin}" }
    }

    fun close() {
        network.close()
        scope.cancel()
    }

    private companion object {
        const val CLUSTER = "fleet"

        /** Table with a row for each entry VM. */
        const val VMS = "vms"
        const val WATCH_MS = 1_000L
        const val VM_WATCH_MS = 10_000L
        const val ANNOUNCE_RETRY_MS = 500L
        const val CLAIM_STEP_MS = 150L
        const val BEAT_MS = 150L
        const val BEAT_PAUSE_MS = 20L
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
