/* The platform's HTTP interface for clients: jobs, by their path below a queue's prefix, and the readiness check. */
package dandelionpoint.platform

import dandelionpoint.fleet.CancellationSignal
import dandelionpoint.fleet.FleetJobService
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.QueueRoute
import dandelionpoint.protocol.peer.JobPresence
import dandelionpoint.transport.http.ClientDisconnectMonitor
import dandelionpoint.transport.http.OpenRequests
import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.Javalin
import io.javalin.http.Context
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.future
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool

private val log = KotlinLogging.logger {}

/** Address on which a server listens. */
internal data class ListenAddress(val host: String, val port: Int)

/** HTTP server for clients at [clients] and for the readiness check at [readiness]. */
internal class PlatformClients(
    private val service: FleetJobService,
    private val scope: CoroutineScope,
    private val clients: ListenAddress,
    private val readiness: ListenAddress?,
) {
    private val watch = ClientDisconnectMonitor()
    private val openRequests = OpenRequests()

    private val server: Javalin = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        // The version check formats a date, and the watcher is a thread that warns if the server is not started soon.
        config.startup.showOldJavalinVersionWarning = false
        config.startup.startupWatcherEnabled = false
        config.http.maxRequestSize = MAX_BODY_BYTES
        config.jetty.threadPool = QueuedThreadPool(MAX_THREADS, MIN_THREADS)
        config.jetty.modifyHttpConfiguration { it.sendServerVersion = false }
        config.jetty.modifyServer { it.insertHandler(openRequests) }
        readiness?.let { address ->
            config.jetty.addConnector { server, _ ->
                ServerConnector(server, 1, 1, HttpConnectionFactory(HttpConfiguration())).apply {
                    host = address.host
                    port = address.port
                }
            }
        }
        config.jetty.addConnector { server, settings ->
            ServerConnector(server, 1, 1, HttpConnectionFactory(settings)).apply {
                host = clients.host
                port = clients.port
                idleTimeout = IDLE_TIMEOUT_MS
            }
        }
        config.routes.get(READINESS) { it.status(if (service.isReady) OK else UNAVAILABLE) }
        config.routes.post(ANY_PATH) { submit(it) }
        config.routes.get(ANY_PATH) { sendStatus(it) }
        config.routes.delete(ANY_PATH) { cancel(it) }
        config.routes.exception(Exception::class.java) { e, context ->
            log.error(e) { "event=request_failed path=${context.path()}" }
            context.status(INTERNAL_ERROR)
        }
    }

    /** Requests in progress. */
    fun open(): Int = watch.open()

    /** Checks the open connections and cancels the jobs of clients that have closed theirs. */
    fun poll() = watch.poll()

    /** Binds and serves; port 0 takes any free one. Returns the clients' port. */
    fun start(): Int {
        server.start()
        return server.jettyServer().server().connectors.filterIsInstance<ServerConnector>().last().localPort
    }

    /** Accepts no more connections, closes those without a request in progress, and waits up to [waitMs] ms for the others. */
    suspend fun finish(waitMs: Long) {
        val connectors = server.jettyServer().server().connectors.filterIsInstance<ServerConnector>()
        connectors.forEach { it.close() }
        val latest = System.nanoTime() + waitMs * NANOS_PER_MS
        do {
            val (busy, idle) = connectors.flatMap { it.connectedEndPoints }.partition { openRequests.isBusy(it) }
            idle.forEach { it.close() }
            delay(FINISH_POLL_MS)
        } while (busy.isNotEmpty() && System.nanoTime() < latest)
    }

    fun stop() {
        server.stop()
    }

    private fun routeOf(context: Context): QueueRoute? {
        if (service.isStopping) context.header("Connection", "close")
        if (!service.hasConfiguration) {
            sendError(context, UNAVAILABLE, "no configuration yet")
            return null
        }
        val route = service.route(context.host().orEmpty().substringBefore(':'), context.path())
        if (route == null) sendError(context, NOT_FOUND, "no such queue")
        return route
    }

    private fun submit(context: Context) {
        val route = routeOf(context) ?: return
        val id = context.path().removePrefix(route.pathPrefix)
        if (!ID.matches(id)) return sendError(context, BAD_REQUEST, "the id must be 16 hexadecimal digits")
        when (val body = decodeJob(id, context.bodyAsBytes())) {
            is SubmittedBody.Malformed -> sendError(context, BAD_REQUEST, body.reason)
            is SubmittedBody.Unsupported -> sendError(context, UNAVAILABLE, "not served: ${body.feature}")
            is SubmittedBody.BestEffort -> run(context, route, body)
        }
    }

    private fun run(context: Context, route: QueueRoute, body: SubmittedBody.BestEffort) {
        val waitMs = (context.header("Deadline-Remaining-Ms")?.toLongOrNull() ?: DEFAULT_WAIT_MS).coerceIn(0, MAX_WAIT_MS)
        val signal = CancellationSignal()
        val entry = watch.watch(context.req()) { signal.cancel() }
            ?: return sendError(context, UNAVAILABLE, "not run: the client has disconnected")
        context.future {
            scope.future {
                try {
                    service.run(body.job, route.queue, waitMs, signal)
                } finally {
                    entry.end()
                }
            }.thenAccept { outcome ->
                if (entry.mustClose) context.header("Connection", "close")
                sendOutcome(context, outcome)
            }
        }
    }

    private fun sendOutcome(context: Context, outcome: JobOutcome) {
        when (outcome) {
            is JobOutcome.Completed -> sendState(context, "completed")

            is JobOutcome.Failed -> sendState(context, "failed")

            is JobOutcome.NotRun -> {
                context.header("Retry-After", ((outcome.retryAfterMs + MS_PER_S - 1) / MS_PER_S).toString())
                sendError(context, UNAVAILABLE, "not run: ${outcome.reason}")
            }

            is JobOutcome.GivenUp -> sendError(context, GATEWAY_TIMEOUT, outcome.reason)
        }
    }

    private fun sendStatus(context: Context) {
        val route = routeOf(context) ?: return
        val id = context.path().removePrefix(route.pathPrefix)
        when {
            id.isEmpty() -> sendJson(context, buildJsonObject { put("pending", service.waitingJobs(route.queue.name)) }.toString())
            else -> answerPresence(context, id, state = "running") { service.find(id) }
        }
    }

    /** Answers with [state] if [find] finds the job. Ids of another form are those of no job. */
    private fun answerPresence(context: Context, id: String, state: String, find: suspend () -> JobPresence) {
        if (!ID.matches(id)) return sendError(context, GONE, "no such job")
        context.future { scope.future { find() }.thenAccept { sendPresence(context, it, state) } }
    }

    private fun sendPresence(context: Context, presence: JobPresence, state: String) {
        when (presence) {
            JobPresence.FOUND -> sendState(context, state)

            JobPresence.NONE -> sendError(context, GONE, "no such job")

            JobPresence.UNKNOWN -> {
                context.header("Retry-After", "1")
                sendError(context, UNAVAILABLE, "the VM that dispatches the job gave no answer")
            }
        }
    }

    private fun cancel(context: Context) {
        val route = routeOf(context) ?: return
        val id = context.path().removePrefix(route.pathPrefix)
        answerPresence(context, id, state = "cancelled") { service.cancel(id) }
    }

    private fun sendState(context: Context, state: String) = sendJson(context, buildJsonObject { put("state", state) }.toString())

    private fun sendError(context: Context, status: Int, reason: String) {
        context.status(status)
        sendJson(context, buildJsonObject { put("error", reason) }.toString())
    }

    private fun sendJson(context: Context, body: String) {
        context.contentType("application/json").result(body)
    }

    private companion object {
        const val READINESS = "/v1/readiness"
        const val ANY_PATH = "/<path>"
        const val MAX_BODY_BYTES = 262_144L
        const val MAX_THREADS = 24
        const val MIN_THREADS = 4
        const val IDLE_TIMEOUT_MS = 60_000L

        /** Wait for a job whose client has sent no `Deadline-Remaining-Ms`, in ms. */
        const val DEFAULT_WAIT_MS = 10_000L

        /** Longest wait for a job, in ms; a longer one would overflow the job's deadline. */
        const val MAX_WAIT_MS = 600_000L
        const val MS_PER_S = 1_000L
        const val NANOS_PER_MS = 1_000_000L
        const val FINISH_POLL_MS = 10L
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val GONE = 410
        const val INTERNAL_ERROR = 500
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
        val ID = Regex("[0-9a-fA-F]{16}")
    }
}
