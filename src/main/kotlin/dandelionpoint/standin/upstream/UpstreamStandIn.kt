/*
 * Fake of the upstream service: many workers in one process, each on its own loopback port, and a control port with `/workers`,
 * `/workers/{id}/faults`, `/starts` and `/starts/query`.
 */
package dandelionpoint.standin.upstream

import dandelionpoint.protocol.store.VmEntry
import dandelionpoint.protocol.store.VmRole
import dandelionpoint.protocol.store.WorkerUsage
import dandelionpoint.standin.store.PlatformRegistration
import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** The upstream stand-in. Listens from [start] to [close]. */
class UpstreamStandIn(private val settings: UpstreamStandInSettings = UpstreamStandInSettings()) : AutoCloseable {
    private val startLog = StartLog(settings.startLogFile)
    private val timer = ScheduledThreadPoolExecutor(TIMER_THREADS) { Thread(it, "upstream-timer").apply { isDaemon = true } }
    private val workers = settings.profiles().map { StandInWorker(it, settings, timer, startLog) }
    private val workersById = workers.associateBy { it.profile.id }
    private val server = WorkerServer(settings, workers)
    private val control = Javalin.create(::configure)
    private val registration = settings.platformUrl?.let { PlatformRegistration(it) }

    /** Port of the control interface; available after [start]. */
    val controlPort: Int get() = control.port()

    /** Starts the workers and registers them. Throws IOException if the platform refuses a registration. */
    fun start(): UpstreamStandIn = apply {
        server.start()
        control.start(settings.host, settings.controlPort)
        registration?.let { platform ->
            workers.forEach { platform.register(entry(it)) }
            val report = { platform.report(workers.map { it.usage() }) }
            timer.scheduleWithFixedDelay(report, 0, settings.usageReportMs, TimeUnit.MILLISECONDS)
        }
    }

    /** Current state of the workers, ordered by id. */
    fun workers(): List<WorkerStatus> = workers.map { status(it) }

    /** Replaces the fault switches of worker [id]. Returns false if there is no such worker. */
    fun setFaults(id: String, faults: WorkerFaults): Boolean {
        val worker = workersById[id] ?: return false
        worker.apply(faults)
        server.setListening(worker, !faults.killed)
        return true
    }

    /** Summary of all starts so far. */
    fun starts(): StartSummary = startLog.summary()

    /** Returns how often each of [keys] was started. */
    fun startsOf(keys: Collection<String>): Map<String, Int> = keys.associateWith { startLog.count(it) }

    override fun close() {
        timer.shutdownNow()
        registration?.close()
        control.stop()
        server.close()
        startLog.close()
    }

    private fun configure(config: JavalinConfig) {
        config.startup.showJavalinBanner = false
        config.jetty.threadPool = QueuedThreadPool(CONTROL_THREADS)
        config.http.maxRequestSize = MAX_BODY_BYTES
        val routes = config.routes
        routes.get("/workers") { ctx -> ctx.contentType(JSON_TYPE).result(JSON.encodeToString(workers())) }
        routes.post("/workers/{id}/faults") { ctx ->
            val isKnown = setFaults(ctx.pathParam("id"), JSON.decodeFromString<WorkerFaults>(ctx.body()))
            ctx.status(if (isKnown) NO_CONTENT else NOT_FOUND)
        }
        routes.get("/starts") { ctx -> ctx.contentType(JSON_TYPE).result(JSON.encodeToString(starts())) }
        routes.post("/starts/query") { ctx ->
            val keys = JSON.decodeFromString<List<String>>(ctx.body())
            ctx.contentType(JSON_TYPE).result(JSON.encodeToString(startsOf(keys)))
        }
        routes.exception(SerializationException::class.java) { e, ctx -> ctx.status(BAD_REQUEST).result(e.message.orEmpty()) }
    }

    private fun status(worker: StandInWorker): WorkerStatus {
        val (busy, queued) = worker.load()
        return WorkerStatus(worker.profile, settings.host, server.port(worker), busy, queued, worker.faults)
    }

    private fun entry(worker: StandInWorker) = VmEntry(
        id = worker.profile.id,
        role = VmRole.WORKER,
        region = worker.profile.region,
        dataCentre = worker.profile.dataCentre,
        rack = worker.profile.rack,
        host = settings.host,
        port = server.port(worker),
        slots = worker.profile.slots,
        memoryMb = worker.profile.memoryMb,
        accelerators = worker.profile.accelerators,
    )

    private fun StandInWorker.usage(): WorkerUsage {
        val (busy, queued) = load()
        return WorkerUsage(profile.id, busy, queued, ageMs = 0)
    }

    private companion object {
        val JSON = Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }
        const val JSON_TYPE = "application/json"
        const val TIMER_THREADS = 4
        const val CONTROL_THREADS = 16
        const val MAX_BODY_BYTES = 64L * 1024 * 1024
        const val NO_CONTENT = 204
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
    }
}
