/* The platform's HTTP interface for clients: jobs, by their path below a queue's prefix, and the readiness check. */
package dandelionpoint.platform

import dandelionpoint.fleet.CancellationSignal
import dandelionpoint.fleet.FleetJobService
import dandelionpoint.protocol.MAX_JSON_NESTING
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.QueueRoute
import dandelionpoint.protocol.peer.JobPresence
import dandelionpoint.transport.http.BodyListener
import dandelionpoint.transport.http.BodyReader
import dandelionpoint.transport.http.ClientBudget
import dandelionpoint.transport.http.ClientDisconnectMonitor
import dandelionpoint.transport.http.ClientExchange
import dandelionpoint.transport.http.ClientLimit
import dandelionpoint.transport.http.ClientLimitLog
import dandelionpoint.transport.http.ClientLimits
import dandelionpoint.transport.http.LimitedServer
import dandelionpoint.transport.http.ListenAddress
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

private val log = KotlinLogging.logger {}

/**
 * HTTP server for clients at [clients] and for the readiness check at [readiness], or at [clients] too if that is null. What clients may
 * send and hold is limited by [limits]; the readiness check has a listener, threads and limits of its own.
 */
internal class PlatformClients(
    private val service: FleetJobService,
    private val scope: CoroutineScope,
    clients: ListenAddress,
    readiness: ListenAddress?,
    limits: ClientLimits = ClientLimits(),
) {
    private val watch = ClientDisconnectMonitor()
    private val limitLog = ClientLimitLog()
    private val budget = ClientBudget(limits, limitLog::onReached)
    private val server = LimitedServer(clients, MAX_THREADS, limits.connections, budget, ::handle)
    private val readinessServer = readiness?.let { address ->
        LimitedServer(
            address,
            MAX_READINESS_THREADS,
            limits.readinessConnections,
            ClientBudget(limits.copy(crowdedIdleMs = limits.readinessCrowdedIdleMs), limitLog::onReached),
            ::handleReadiness,
        )
    }
    private var lastSweepNs = System.nanoTime()

    /** Requests in progress. */
    fun open(): Int = watch.open()

    /** How often clients have reached each limit. */
    fun reachedLimits(): Map<ClientLimit, Long> = limitLog.counts()

    /** Checks the open connections, cancels the jobs of clients that have closed theirs, and ends requests that are too slow. */
    fun poll() {
        watch.poll()
        val now = System.nanoTime()
        if (now - lastSweepNs < SWEEP_INTERVAL_NS) return
        lastSweepNs = now
        servers().forEach { it.closeSlow(now) }
    }

    private fun servers() = listOfNotNull(server, readinessServer)

    /** Binds and serves; port 0 takes any free one. Returns the clients' port. */
    fun start(): Int {
        readinessServer?.start()
        return server.start()
    }

    /** Accepts no more connections, closes those without a request in progress, and waits up to [waitMs] ms for the others. */
    suspend fun finish(waitMs: Long) {
        servers().forEach { it.closeListener() }
        val latest = System.nanoTime() + waitMs * NANOS_PER_MS
        do {
            val (busy, idle) = servers().flatMap { server -> server.endPoints.map { server to it } }
                .partition { (server, endPoint) -> server.isBusy(endPoint) }
            idle.forEach { (_, endPoint) -> endPoint.close() }
            delay(FINISH_POLL_MS)
        } while (busy.isNotEmpty() && System.nanoTime() < latest)
    }

    fun stop() = servers().forEach { it.stop() }

    private fun handle(exchange: ClientExchange) = try {
        when (exchange.method) {
            "GET", "HEAD" -> if (exchange.path == READINESS) sendReadiness(exchange) else sendStatus(exchange)
            "POST" -> submit(exchange)
            "DELETE" -> cancel(exchange)
            else -> sendError(exchange, NOT_FOUND, "no such method")
        }
    } catch (e: Exception) {
        onFailure(exchange, e)
    }

    private fun onFailure(exchange: ClientExchange, e: Throwable) {
        log.error(e) { "event=request_failed path=${exchange.path}" }
        exchange.send(INTERNAL_ERROR)
    }

    private fun handleReadiness(exchange: ClientExchange) =
        if (exchange.path == READINESS) sendReadiness(exchange) else sendError(exchange, NOT_FOUND, "no such path")

    private fun sendReadiness(exchange: ClientExchange) = exchange.send(if (service.isReady) OK else UNAVAILABLE)

    private fun routeOf(context: ClientExchange): QueueRoute? {
        if (service.isStopping) context.closeAfterwards()
        if (!service.hasConfiguration) {
            sendError(context, UNAVAILABLE, "no configuration yet")
            return null
        }
        val route = service.route(context.host, context.path)
        if (route == null) sendError(context, NOT_FOUND, "no such queue")
        return route
    }

    /** Begins to read the body, unless the job would be refused anyway. */
    private fun submit(context: ClientExchange) {
        val route = routeOf(context) ?: return
        val id = context.path.removePrefix(route.pathPrefix)
        if (!ID.matches(id)) return sendError(context, BAD_REQUEST, "the id must be 16 hexadecimal digits")
        val submission = Submission(context, route, id)
        if (context.request.length > budget.limits.bodyBytes) return submission.onTooLong()
        if (budget.parsed.isFull()) {
            budget.onReached(ClientLimit.PARSED_BYTES)
            return submission.onNoRoom()
        }
        BodyReader(context.request, context.connection, budget.limits.bodyBytes, submission).start()
    }

    /** A submission whose body is being read. */
    private inner class Submission(private val context: ClientExchange, private val route: QueueRoute, private val id: String) :
        BodyListener {
        override fun onBody(bytes: ByteArray) = try {
            parse(bytes)
        } catch (e: Exception) {
            onFailure(context, e)
        }

        /** Parses the body once the budget has room for its tree, and keeps only what the job takes. */
        private fun parse(bytes: ByteArray) {
            val (values, depth) = jsonShape(bytes)
            if (depth > MAX_JSON_NESTING) return sendError(context, BAD_REQUEST, "the body is nested too deeply")
            if (values > budget.limits.jsonValues) {
                budget.onReached(ClientLimit.JSON_VALUES)
                return sendError(context, TOO_LONG, "not run: the body has more than ${budget.limits.jsonValues} values")
            }
            val holding = context.connection.holding
            if (!holding.setParsed(treeBytes(bytes.size, values))) return onNoRoom()
            when (val body = decodeJob(id, bytes)) {
                is SubmittedBody.Malformed -> sendError(context, BAD_REQUEST, body.reason)
                is SubmittedBody.Unsupported -> sendError(context, UNAVAILABLE, "not served: ${body.feature}")
                is SubmittedBody.BestEffort -> if (holding.setParsed(jobBytes(body.job))) run(context, route, body) else onNoRoom()
            }
        }

        override fun onTooLong() {
            budget.onReached(ClientLimit.BODY_BYTES)
            sendError(context, TOO_LONG, "not run: the body is longer than ${budget.limits.bodyBytes} bytes")
        }

        override fun onNoRoom() {
            context.setHeader("Retry-After", "1")
            sendError(context, UNAVAILABLE, "not run: too many requests")
        }

        override fun onTooSlow() {
            context.closeAfterwards()
            sendError(context, TOO_SLOW, "not run: the request was not complete within ${budget.limits.receiveMs} ms")
        }

        override fun onFailure(cause: Throwable) = context.fail(cause)
    }

    private fun run(context: ClientExchange, route: QueueRoute, body: SubmittedBody.BestEffort) {
        val waitMs = (context.header("Deadline-Remaining-Ms")?.toLongOrNull() ?: DEFAULT_WAIT_MS).coerceIn(0, MAX_WAIT_MS)
        val signal = CancellationSignal()
        val entry = watch.watch(context.connection.endPoint) { signal.cancel() }
            ?: return sendError(context, UNAVAILABLE, "not run: the client has disconnected")
        context.keepWhileWaiting()
        scope.launch {
            val outcome = runCatching { service.run(body.job, route.queue, waitMs, signal) }
            entry.end()
            if (entry.mustClose) context.closeAfterwards()
            outcome.onSuccess { sendOutcome(context, it) }.onFailure { onFailure(context, it) }
        }.invokeOnCompletion {
            // Without effect unless the scope was cancelled before the job was run.
            entry.end()
            context.send(INTERNAL_ERROR)
        }
    }

    private fun sendOutcome(context: ClientExchange, outcome: JobOutcome) {
        when (outcome) {
            is JobOutcome.Completed -> sendState(context, "completed")

            is JobOutcome.Failed -> sendState(context, "failed")

            is JobOutcome.NotRun -> {
                context.setHeader("Retry-After", ((outcome.retryAfterMs + MS_PER_S - 1) / MS_PER_S).toString())
                sendError(context, UNAVAILABLE, "not run: ${outcome.reason}")
            }

            is JobOutcome.GivenUp -> sendError(context, GATEWAY_TIMEOUT, outcome.reason)
        }
    }

    private fun sendStatus(context: ClientExchange) {
        val route = routeOf(context) ?: return
        val id = context.path.removePrefix(route.pathPrefix)
        when {
            id.isEmpty() -> sendJson(context, buildJsonObject { put("pending", service.waitingJobs(route.queue.name)) }.toString())
            else -> answerPresence(context, id, state = "running") { service.find(id) }
        }
    }

    /** Answers with [state] if [find] finds the job. Ids of another form are those of no job. */
    private fun answerPresence(context: ClientExchange, id: String, state: String, find: suspend () -> JobPresence) {
        if (!ID.matches(id)) return sendError(context, GONE, "no such job")
        context.keepWhileWaiting()
        scope.launch {
            runCatching { find() }.onSuccess { sendPresence(context, it, state) }.onFailure { onFailure(context, it) }
        }.invokeOnCompletion { context.send(INTERNAL_ERROR) }
    }

    private fun sendPresence(context: ClientExchange, presence: JobPresence, state: String) {
        when (presence) {
            JobPresence.FOUND -> sendState(context, state)

            JobPresence.NONE -> sendError(context, GONE, "no such job")

            JobPresence.UNKNOWN -> {
                context.setHeader("Retry-After", "1")
                sendError(context, UNAVAILABLE, "the VM that dispatches the job gave no answer")
            }
        }
    }

    private fun cancel(context: ClientExchange) {
        val route = routeOf(context) ?: return
        val id = context.path.removePrefix(route.pathPrefix)
        answerPresence(context, id, state = "cancelled") { service.cancel(id) }
    }

    private fun sendState(context: ClientExchange, state: String) = sendJson(context, buildJsonObject { put("state", state) }.toString())

    private fun sendError(context: ClientExchange, status: Int, reason: String) =
        context.send(status, buildJsonObject { put("error", reason) }.toString())

    private fun sendJson(context: ClientExchange, body: String) = context.send(OK, body)

    private companion object {
        const val READINESS = "/v1/readiness"

        /** No thread waits for a client, so that a few are enough; each may hold the tree of one body. */
        const val MAX_THREADS = 8
        const val MAX_READINESS_THREADS = 4

        /** Interval at which requests that are too slow are looked for, in ns. */
        const val SWEEP_INTERVAL_NS = 500_000_000L

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
        const val TOO_SLOW = 408
        const val GONE = 410
        const val TOO_LONG = 413
        const val INTERNAL_ERROR = 500
        const val UNAVAILABLE = 503
        const val GATEWAY_TIMEOUT = 504
        val ID = Regex("[0-9a-fA-F]{16}")
    }
}
