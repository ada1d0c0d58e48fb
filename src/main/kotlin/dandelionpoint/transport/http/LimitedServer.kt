/*
 * A Jetty server whose clients are limited, with threads of its own. Handlers do not block, but are not declared as such to Jetty: it would
 * run them on the selector's thread, which a client with very many pipelined requests would then keep from all others.
 */
package dandelionpoint.transport.http

import org.eclipse.jetty.http.HttpStatus
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.server.Connector
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.NetworkConnectionLimit
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.Callback
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.nio.ByteBuffer

/** Address on which a server listens. */
internal data class ListenAddress(val host: String, val port: Int)

/** Serves at [address] with up to [maxThreads] threads and [maxConnections] connections. [onRequest] does not block. */
internal class LimitedServer(
    private val address: ListenAddress,
    maxThreads: Int,
    maxConnections: Int,
    private val budget: ClientBudget,
    private val onRequest: (ClientExchange) -> Unit,
) {
    private val server = Server(QueuedThreadPool(maxThreads, minOf(maxThreads, MIN_THREADS)))
    private val connections = LimitedConnections(configuration(), budget)
    private val connector = ServerConnector(server, 1, 1, connections).apply {
        host = address.host
        port = address.port
        idleTimeout = budget.limits.idleMs
    }

    private val openRequests = OpenRequests().apply { handler = Exchanges() }

    init {
        server.addConnector(connector)
        server.addBean(CountedConnectionLimit(maxConnections, connector, budget))
        server.handler = openRequests
        server.setErrorHandler(JsonErrors)
    }

    private fun configuration() = HttpConfiguration().apply {
        sendServerVersion = false
        requestHeaderSize = budget.limits.headerBytes
        responseHeaderSize = ANSWER_HEADER_BYTES
    }

    /** Connections on which a client may send requests. */
    val endPoints get() = connector.connectedEndPoints

    /** True if a request on [endPoint] is in progress. */
    fun isBusy(endPoint: EndPoint): Boolean = openRequests.isBusy(endPoint)

    /** Binds and serves; port 0 takes any free one. Returns the port. */
    fun start(): Int {
        server.start()
        return connector.localPort
    }

    /** Accepts no more connections. */
    fun closeListener() = connector.close()

    /** Ends requests and connections that are too slow; to be called at intervals. */
    fun closeSlow(nowNs: Long) = connections.closeSlow(nowNs)

    fun stop() = server.stop()

    private inner class Exchanges : Handler.Abstract() {
        override fun handle(request: Request, response: Response, callback: Callback): Boolean {
            onRequest(ClientExchange(request, response, callback))
            return true
        }
    }

    private class CountedConnectionLimit(max: Int, connector: Connector, private val budget: ClientBudget) :
        NetworkConnectionLimit(max, connector) {
        init {
            endPointIdleTimeout = budget.limits.crowdedIdleMs
        }

        override fun limit() {
            budget.onReached(ClientLimit.CONNECTIONS)
            super.limit()
        }
    }

    /** Answers requests that Jetty itself refuses, before anything was run. */
    private object JsonErrors : Request.Handler {
        override fun handle(request: Request, response: Response, callback: Callback): Boolean {
            val reason = HttpStatus.getMessage(response.status)
            val isRefused = response.status < HttpStatus.INTERNAL_SERVER_ERROR_500 || response.status == HttpStatus.SERVICE_UNAVAILABLE_503
            if (response.status == HttpStatus.SERVICE_UNAVAILABLE_503) response.headers.put("Retry-After", "1")
            response.headers.put("Content-Type", "application/json")
            val text = if (isRefused) "not run: $reason" else reason
            response.write(true, ByteBuffer.wrap("""{"error":"$text"}""".encodeToByteArray()), callback)
            return true
        }
    }

    private companion object {
        const val MIN_THREADS = 4

        /** More than the header of any answer needs. */
        const val ANSWER_HEADER_BYTES = 2_048
    }
}
