/*
 * In-memory fake of the platform for tests and experiments: table, object store, and the lists of VMs and workers. [PlatformCallSimulator]
 * applies faults, rate limits and latency to the calls of the platform's interface, but not to those that exist only in the stand-in
 * (`PUT` and `DELETE /vms/{id}`, `POST /vms/{id}/state`, `PUT /workers`, `/faults`, `/stats`).
 */
package dandelionpoint.standin.store

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.store.PlatformApi
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.protocol.store.VmEntry
import dandelionpoint.protocol.store.VmState
import dandelionpoint.protocol.store.WorkerUsage
import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** The platform stand-in. Listens from [start] to [close]. Rate limits and lags follow [clock]; latencies are real time. */
class PlatformStandIn(private val settings: PlatformStandInSettings = PlatformStandInSettings(), clock: Clock = Clock.System) :
    AutoCloseable {
    private val table = LimitedTable(settings, clock)
    private val objects = LimitedObjects(settings, clock)
    private val vms = LaggedValue(emptyMap<String, VmEntry>(), clock)
    private val usage = LaggedValue(emptyMap<String, WorkerUsage>(), clock)
    private val lists = Counters()
    private val callSimulator = PlatformCallSimulator(settings)
    private val server = Javalin.create(::configure)

    /** Port that the stand-in listens on; available after [start]. */
    val port: Int get() = server.port()

    /** Address for the clients' settings. */
    val baseUrl: String get() = "http://${settings.host}:$port"

    /** The fault switches; `GET` and `POST /faults` read and set the same value. */
    var faults: PlatformFaults by callSimulator::faults

    fun start(): PlatformStandIn = apply { server.start(settings.host, settings.port) }

    /** Counts since the start. */
    fun stats() = PlatformStats(table.stats(), objects.stats(), lists.snapshot(), callSimulator.unanswered)

    override fun close() {
        callSimulator.close()
        server.stop()
    }

    private fun configure(config: JavalinConfig) {
        config.startup.showJavalinBanner = false
        config.jetty.threadPool = QueuedThreadPool(MAX_THREADS)
        config.jetty.modifyHttpConfiguration { it.idleTimeout = IDLE_TIMEOUT_MS }
        config.http.maxRequestSize = MAX_BODY_BYTES
        config.http.asyncTimeout = 0
        addTable(config.routes)
        addObjects(config.routes)
        addLists(config.routes)
        addControl(config.routes)
        config.routes.exception(SerializationException::class.java) { e, ctx -> ctx.status(BAD_REQUEST).result(e.message.orEmpty()) }
    }

    private fun addTable(routes: RoutesConfig) {
        routes.get(PlatformApi.TABLE_ROW) { ctx ->
            val key = ctx.queryParam("key").orEmpty()
            callSimulator.read(ctx, callSimulator.faults.table, table) { ctx.json(JSON.encodeToString(table.get(key))) }
        }
        routes.get(PlatformApi.TABLE_SCAN) { ctx ->
            val prefix = ctx.queryParam("prefix").orEmpty()
            val after = ctx.queryParam("after")
            val limit = ctx.queryParam("limit")?.toIntOrNull()?.coerceIn(1, MAX_SCAN) ?: MAX_SCAN
            callSimulator.read(ctx, callSimulator.faults.table, table) { ctx.json(JSON.encodeToString(table.scan(prefix, after, limit))) }
        }
        routes.post(PlatformApi.TABLE_TRANSACT) { ctx ->
            val transaction = JSON.decodeFromString<Transaction>(ctx.body())
            callSimulator.write(ctx, callSimulator.faults.table, table) { ctx.json(JSON.encodeToString(table.transact(transaction))) }
        }
    }

    private fun addObjects(routes: RoutesConfig) {
        val path = "${PlatformApi.OBJECTS}/<key>"
        routes.get(path) { ctx ->
            val key = ctx.pathParam("key")
            callSimulator.read(ctx, callSimulator.faults.objects, objects) {
                objects.get(key)?.let { ctx.contentType("application/octet-stream").result(it) } ?: ctx.status(NOT_FOUND)
            }
        }
        routes.put(path) { ctx ->
            val key = ctx.pathParam("key")
            val bytes = ctx.bodyAsBytes()
            callSimulator.write(ctx, callSimulator.faults.objects, objects) { objects.put(key, bytes) }
        }
    }

    private fun addLists(routes: RoutesConfig) {
        routes.get(PlatformApi.VMS) { ctx ->
            callSimulator.list(ctx) {
                lists.add("vms")
                val visible = vms.read(callSimulator.faults.listLagMs ?: settings.listLagMs).first
                ctx.json(JSON.encodeToString(visible.values.toList()))
            }
        }
        routes.get(PlatformApi.WORKERS) { ctx ->
            callSimulator.list(ctx) {
                lists.add("workers")
                val (visible, ageMs) = usage.read(callSimulator.faults.listLagMs ?: settings.usageLagMs)
                ctx.json(JSON.encodeToString(visible.values.map { it.copy(ageMs = ageMs) }))
            }
        }
    }

    private fun addControl(routes: RoutesConfig) {
        routes.put("${PlatformApi.VMS}/{id}") { ctx ->
            val vm = JSON.decodeFromString<VmEntry>(ctx.body())
            vms.update { it + (ctx.pathParam("id") to vm) }
        }
        routes.delete("${PlatformApi.VMS}/{id}") { ctx -> vms.update { it - ctx.pathParam("id") } }
        routes.post("${PlatformApi.VMS}/{id}/state") { ctx -> setState(ctx) }
        routes.put(PlatformApi.WORKERS) { ctx ->
            val reports = JSON.decodeFromString<List<WorkerUsage>>(ctx.body())
            usage.update { visible -> visible + reports.associateBy { it.id } }
        }
        routes.get("/faults") { ctx -> ctx.json(JSON.encodeToString(callSimulator.faults)) }
        routes.post("/faults") { ctx -> callSimulator.faults = JSON.decodeFromString(ctx.body()) }
        routes.get("/stats") { ctx -> ctx.json(JSON.encodeToString(stats())) }
    }

    /** Sets the state of a VM. The body is the JSON string `"LIVE"` or `"LEAVING"`. */
    private fun setState(ctx: Context) {
        val id = ctx.pathParam("id")
        val state = JSON.decodeFromString<VmState>(ctx.body())
        vms.update { visible -> visible[id]?.let { visible + (id to it.copy(state = state)) } ?: visible.also { ctx.status(NOT_FOUND) } }
    }

    private fun Context.json(text: String) {
        contentType("application/json").result(text)
    }

    private companion object {
        val JSON = Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }
        const val MAX_THREADS = 64
        const val MAX_SCAN = 1_000
        const val MAX_BODY_BYTES = 8L * 1024 * 1024
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404

        /** Longer than the clients keep idle connections, so that the server is never the first to close one. */
        const val IDLE_TIMEOUT_MS = 60_000L
    }
}
