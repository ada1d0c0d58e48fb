/* HTTP server of the upstream stand-in: one Jetty server with a connector for each worker. */
package dandelionpoint.standin.upstream

import dandelionpoint.protocol.store.PlatformApi
import dandelionpoint.standin.http.closeConnection
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.io.Content
import org.eclipse.jetty.io.RetainableByteBuffer
import org.eclipse.jetty.server.Connector
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.Promise
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** Serves `POST /run` of each worker on its own port. */
internal class WorkerServer(private val settings: UpstreamStandInSettings, workers: List<StandInWorker>) : AutoCloseable {
    private val server = Server(QueuedThreadPool(workers.size + SPARE_THREADS).apply { name = "workers" })
    private val connectors = workers.associateWith { connector(it) }
    private val workersByConnector: Map<Connector, StandInWorker> = connectors.entries.associate { it.value to it.key }

    init {
        connectors.values.forEach(server::addConnector)
        server.handler = RunHandler(workersByConnector)
        server.stopTimeout = 0
    }

    fun start() = server.start()

    /** Port of [worker]; it does not change when the worker is killed and restored. */
    fun port(worker: StandInWorker): Int = connectors.getValue(worker).port

    /** Closes the port and all connections of [worker], or opens the port again. */
    fun setListening(worker: StandInWorker, isListening: Boolean) {
        val connector = connectors.getValue(worker)
        if (connector.isRunning == isListening) return
        if (isListening) connector.start() else connector.stop()
    }

    override fun close() = server.stop()

    private fun connector(worker: StandInWorker): ServerConnector {
        val http = HttpConfiguration().apply { sendServerVersion = false }
        return ServerConnector(server, NO_ACCEPTORS, ONE_SELECTOR, HttpConnectionFactory(http)).apply {
            name = worker.profile.id
            host = settings.host
            idleTimeout = IDLE_TIMEOUT_MS
            acceptQueueSize = ACCEPT_QUEUE
            val offset = worker.profile.id.substringAfterLast('-').toInt()
            port = if (settings.firstWorkerPort == 0) 0 else settings.firstWorkerPort + offset
            open()
            port = localPort
        }
    }

    private companion object {
        /** The selector thread accepts connections too, so that a worker needs one thread instead of two. */
        const val NO_ACCEPTORS = 0
        const val ONE_SELECTOR = 1
        const val SPARE_THREADS = 16
        const val ACCEPT_QUEUE = 128

        /** Longer than clients keep idle connections, and longer than a worker is expected to stay frozen. */
        const val IDLE_TIMEOUT_MS = 120_000L
    }
}

/** Reads a request without blocking and passes it to the worker that its connector belongs to. */
private class RunHandler(private val workers: Map<Connector, StandInWorker>) : Handler.Abstract.NonBlocking() {
    override fun handle(request: Request, response: Response, callback: Callback): Boolean {
        val worker = workers[request.connectionMetaData.connector]
        if (worker == null || request.method != "POST" || Request.getPathInContext(request) != "/run") return false
        val onBodyRead =
            Promise.from<RetainableByteBuffer>(
                { buffer -> run(worker, request, JettyReply(request, response, callback), buffer) },
                callback::failed,
            )
        Content.Source.asRetainableByteBuffer(request, null, false, MAX_BODY_BYTES, onBodyRead)
        return true
    }

    private fun run(worker: StandInWorker, request: Request, reply: RunReply, buffer: RetainableByteBuffer) {
        val body = Charsets.UTF_8.decode(buffer.byteBuffer).toString()
        val task =
            try {
                JSON.decodeFromString<RunRequest>(body)
            } catch (e: SerializationException) {
                return reply.answer(BAD_REQUEST, e.message.orEmpty())
            }
        worker.accept(task, request.headers.get(PlatformApi.DATA_CENTRE_HEADER).orEmpty(), reply)
    }

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
        const val BAD_REQUEST = 400
        const val MAX_BODY_BYTES = 1024 * 1024
    }
}

/** Sends the answer to a Jetty request. */
private class JettyReply(private val request: Request, private val response: Response, private val callback: Callback) : RunReply {
    override fun answer(status: Int, body: String) {
        response.status = status
        response.headers.put(HttpHeader.CONTENT_TYPE, "application/json")
        Content.Sink.write(response, true, body, callback)
    }

    override fun abort() {
        closeConnection(request)
        // Success, because Jetty would log a failure for each lost answer. No response is sent, since the connection is closed.
        callback.succeeded()
    }
}
