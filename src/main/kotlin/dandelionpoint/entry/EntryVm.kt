/*
 * An entry VM: creates its components, connects them, runs their periodic work and shuts them down in order. The rules of dispatch are
 * not here but in `coordination`.
 */
package dandelionpoint.entry

import dandelionpoint.coordination.admission.HedgeRule
import dandelionpoint.coordination.admission.RetryBudget
import dandelionpoint.coordination.admission.TeamQueues
import dandelionpoint.coordination.configuration.Configuration
import dandelionpoint.coordination.configuration.ConfigurationService
import dandelionpoint.coordination.configuration.ConfigurationSettings
import dandelionpoint.coordination.configuration.Preset
import dandelionpoint.coordination.dispatch.CallBudgets
import dandelionpoint.coordination.dispatch.Dispatcher
import dandelionpoint.coordination.job.CapacityView
import dandelionpoint.coordination.job.JobRouter
import dandelionpoint.coordination.job.LocalJobs
import dandelionpoint.coordination.job.LocalJobsDependencies
import dandelionpoint.coordination.membership.Membership
import dandelionpoint.coordination.membership.MembershipSettings
import dandelionpoint.coordination.membership.PeerHealth
import dandelionpoint.coordination.ownership.ShardOwnership
import dandelionpoint.observability.Metrics
import dandelionpoint.observability.Tracing
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.SharedRandom
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.ServingState
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.settings.EntrySettings
import dandelionpoint.transport.http.AdminRoutes
import dandelionpoint.transport.http.JobRouteDependencies
import dandelionpoint.transport.http.JobRoutes
import dandelionpoint.transport.http.OperatorRoutes
import dandelionpoint.transport.http.TokenFile
import dandelionpoint.transport.peer.PeerAddress
import dandelionpoint.transport.peer.PeerEvents
import dandelionpoint.transport.peer.PeerNetwork
import dandelionpoint.transport.store.HttpObjectStore
import dandelionpoint.transport.store.HttpPlatformDirectory
import dandelionpoint.transport.store.HttpTable
import dandelionpoint.transport.store.PlatformClient
import dandelionpoint.transport.store.PlatformClientSettings
import dandelionpoint.transport.worker.HttpWorkerClient
import dandelionpoint.transport.worker.WorkerClientSettings
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

private val log = KotlinLogging.logger {}

/** Ports that an entry VM listens on. */
internal data class EntryPorts(val http: Int, val peer: Int)

/** One entry VM. [tokens] maps tokens to callers. */
internal class EntryVm(
    private val settings: EntrySettings,
    private val tokens: TokenFile,
    private val clock: Clock = Clock.System,
    seed: Long = System.nanoTime(),
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val random = SharedRandom(seed)
    private val metrics = Metrics()
    private val tracing = Tracing.toAddress(settings.name, settings.traceAddress)
    private val platform = PlatformClient(PlatformClientSettings(settings.platform, settings.dataCentre))
    private val table = HttpTable(platform)
    private val workers = HttpWorkerClient(WorkerClientSettings(settings.dataCentre))
    private val membership =
        Membership(MembershipSettings(settings.heartbeat.suspectMs.toLong(), settings.heartbeat.deadMs.toLong()), clock)
    private val events = MembershipEvents()
    private val network: PeerNetwork = PeerNetwork(scope, settings.cluster, { from, message, _ -> peers.handle(from, message) }, events)
    private val queues = TeamQueues({ preset().queueSettings() }, clock)
    private val placement =
        settings.placement.policy.create(placementSettings { preset() }, { clock.millis() }, SharedRandom(random.nextLong()))
    private val capacity = CapacityView(placement, clock)
    private val retryBudget = RetryBudget { preset().retryBudget }
    private val hedgeBudget = RetryBudget { preset().hedgeBudget }
    private val slots = SlotExchange(scope, network, placement, queues) { dispatcher.signal() }
    private val dispatcher: Dispatcher =
        Dispatcher(
            scope = scope,
            queues = queues,
            placement = placement,
            client = workers,
            clock = clock,
            budgets = CallBudgets(retryBudget, HedgeRule(hedgeBudget)),
            observer = CallObserver(metrics, tracing),
            requestSlots = { slots.requestSlots() },
        )
    private val directory = DirectoryPoller(HttpPlatformDirectory(platform), placement) { addresses -> connect(addresses) }

    private lateinit var self: VmIdentity
    private lateinit var configuration: ConfigurationService
    private lateinit var ownership: ShardOwnership
    private lateinit var jobs: LocalJobs
    private lateinit var routes: JobRoutes
    private lateinit var peers: PeerService
    private lateinit var api: ApiServer

    @Volatile
    private var isDraining = false

    /** Current state of this VM. */
    fun state(): ServingState = servingState(
        ServingConditions(
            isDraining = isDraining,
            hasConfiguration = configuration.current() != null,
            configurationAgeMs = configuration.confirmationAgeMs(),
            hasHadWorkers = capacity.lastUsable() != null,
        ),
    )

    /** Binds the ports and starts to serve. Throws IOException if a port is in use. */
    suspend fun start(): EntryPorts {
        val peerPort = network.bind(settings.peer.host, settings.peer.port)
        self = VmIdentity(
            name = settings.name,
            incarnation = UUID.randomUUID().toString(),
            region = settings.region,
            dataCentre = settings.dataCentre,
            host = settings.peer.host,
            port = peerPort,
        )
        createComponents()
        val httpPort = api.start(settings.http.host, settings.http.port)
        network.start(self)
        connect(settings.seedPeers.map { PeerAddress(it.host, it.port) }.toSet())
        startLoops()
        log.info { "event=started vm=${self.name} incarnation=${self.incarnation} http=$httpPort peer=$peerPort" }
        return EntryPorts(httpPort, peerPort)
    }

    private fun createComponents() {
        configuration = ConfigurationService(table, clock, ConfigurationSettings(self), SharedRandom(random.nextLong()))
        configuration.onChange { applyConfiguration(it) }
        ownership = ShardOwnership(
            table = table,
            objects = HttpObjectStore(platform),
            self = self,
            settings = settings.ownership.toOwnershipRules(),
            clock = clock,
            random = SharedRandom(random.nextLong()),
        )
        val dependencies = LocalJobsDependencies(
            ownership = ownership,
            queues = queues,
            placement = placement,
            capacity = capacity,
            dispatcher = dispatcher,
            countRequest = { countRequest() },
            clock = clock,
            random = SharedRandom(random.nextLong()),
            newWorkRefusal = { newWorkRefusal(it) },
        )
        jobs = LocalJobs(scope, dependencies)
        val router = JobRouter(jobs, network, clock) { ownership.ownerOf(it) }
        peers = PeerService(PeerServiceDependencies(membership, queues, placement, configuration, router) { dispatcher.signal() })
        routes = JobRoutes(scope, JobRouteDependencies(router, jobs, tokens, metrics, tracing) { state() == ServingState.STARTING })
        val operators = OperatorRoutes(tokens, placement) { scope.launch { drain() } }
        val admin = AdminRoutes(configuration, tokens, scope)
        api = ApiServer(settings.limits, routes, HealthSources(::state, metrics)) { config ->
            operators.addTo(config)
            admin.addTo(config.routes)
        }
        registerGauges()
    }

    private fun countRequest() {
        retryBudget.onRequest()
        hedgeBudget.onRequest()
    }

    private fun preset(): Preset = configuration.activePreset()

    private fun registerGauges() {
        metrics.gauge("dandelionpoint.config.age.ms", "Time since the configuration was last confirmed") {
            configuration.confirmationAgeMs()
        }
        metrics.gauge("dandelionpoint.config.version", "Version in force") { configuration.current()?.version ?: 0 }
        metrics.gauge("dandelionpoint.queue.tasks", "Tasks that wait for a slot") { queues.waitingTasks() }
        metrics.gauge("dandelionpoint.shards.owned", "Shards that this VM owns") { ownership.ownedShards().size }
        metrics.gauge("dandelionpoint.peers.reachable", "Peers that may be given work") { membership.reachable().size }
        metrics.gauge("dandelionpoint.peer.sent.bytes", "Bytes sent to peers") { network.traffic.sentBytes() }
        metrics.gauge("dandelionpoint.peer.sent.frames", "Frames sent to peers") { network.traffic.sentFrames() }
        metrics.gauge("dandelionpoint.jobs.active", "Jobs and requests in progress") { jobs.activeCount() }
    }

    private fun newWorkRefusal(team: String): Refusal? =
        newWorkRefusal(state(), configuration.activePreset().acceptNewJobs, configuration.current()?.teams?.containsKey(team) ?: false)

    private fun applyConfiguration(value: Configuration) {
        queues.updateTeams(value.teams.mapValues { it.value.weight.toDouble() })
        log.info { "event=configuration_in_force version=${value.version} preset=${value.activePreset}" }
    }

    private fun connect(addresses: Set<PeerAddress>) = addresses.forEach { network.connect(it) }

    private fun startLoops() {
        scope.launch { configuration.run() }
        scope.launch { ownership.run() }
        scope.launch { dispatcher.run() }
        every(settings.heartbeat.intervalMs.toLong()) {
            updateMembers()
            peers.sendHeartbeats(network, state())
            peers.pullConfiguration(network)
        }
        every(DIRECTORY_MS) { directory.refresh() }
        every(TICK_MS) { slots.tick() }
        every(EXPIRE_MS) { dispatcher.expireLate() }
    }

    private fun updateMembers() {
        membership.removeDead()
        queues.retainPeers(membership.members().map { it.incarnation }.toSet())
        placement.updatePeers(self, membership.members() + self)
        val (draining, live) = membership.peers()
            .filter { it.health != PeerHealth.DEAD }
            .partition { it.state == ServingState.DRAINING }
        ownership.updatePeers(live.map { it.vm }.toSet(), draining.map { it.vm }.toSet())
    }

    private fun every(periodMs: Long, action: suspend () -> Unit): Job = scope.launch {
        while (isActive) {
            runCatching { action() }.onFailure { if (isActive) log.warn(it) { "event=loop_failed" } }
            delay(periodMs)
        }
    }

    private fun hasWorkInProgress(): Boolean = jobs.activeCount() > 0 || routes.openCalls() > 0

    /**
     * Drains this VM: hands its shards over to other VMs and waits until the work in progress has ended, at most for the drain limit of
     * the settings; idle slots are returned meanwhile. Then tells the peers that this VM leaves.
     */
    suspend fun drain() {
        if (isDraining) return
        isDraining = true
        log.info { "event=draining vm=${self.name} jobs=${jobs.activeCount()}" }
        peers.sendHeartbeats(network, state())
        val endMs = clock.millis() + settings.limits.drainMs
        val release = scope.launch { ownership.releaseAll() }
        while ((hasWorkInProgress() || release.isActive) && clock.millis() < endMs) delay(DRAIN_POLL_MS)
        delay(DRAIN_SETTLE_MS)
        membership.peers().forEach { network.send(it.vm, PeerMessage.Goodbye) }
        delay(DRAIN_POLL_MS)
        log.info { "event=drained vm=${self.name} jobs=${jobs.activeCount()}" }
    }

    /** Stops at once, without draining. */
    fun close() {
        api.stop()
        network.close()
        scope.cancel()
        workers.close()
        platform.close()
        tracing.close()
    }

    private inner class MembershipEvents : PeerEvents {
        override fun connected(vm: VmIdentity) = membership.connected(vm)

        override fun disconnected(vm: VmIdentity) = membership.disconnected(vm)
    }

    private companion object {
        const val DIRECTORY_MS = 1_000L

        /**
         * Period of the placement's work, in ms: it expires leases and ejections, returns idle slots and hands slots over to other VMs.
         * Tasks that still wait are then planned again, which may request faster slots from other VMs.
         */
        const val TICK_MS = 2L
        const val EXPIRE_MS = 50L
        const val DRAIN_POLL_MS = 50L

        /** Pause after the last job has ended, in which the responses to the last requests are still being sent. */
        const val DRAIN_SETTLE_MS = 300L
    }
}
