/*
 * A connection of a client that Jetty serves, with the limits that Jetty does not have: on the number of header fields, on the memory of
 * headers that are not complete, and on the time in which a whole request must arrive and its answer be taken. Jetty's idle timeout begins
 * anew with each byte. The times are checked by [closeIfTooSlow], which is called at intervals, so that a request needs no timer.
 */
package dandelionpoint.transport.http

import org.eclipse.jetty.http.HttpException
import org.eclipse.jetty.http.HttpField
import org.eclipse.jetty.http.HttpStatus
import org.eclipse.jetty.http.HttpVersion
import org.eclipse.jetty.io.Connection
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.server.Connector
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.internal.HttpConnection
import java.util.concurrent.ConcurrentHashMap

/** Creates the connections of a server, and knows those that are open. */
internal class LimitedConnections(configuration: HttpConfiguration, private val budget: ClientBudget) :
    HttpConnectionFactory(configuration) {
    private val open = ConcurrentHashMap.newKeySet<LimitedConnection>()

    override fun newConnection(connector: Connector, endPoint: EndPoint): Connection {
        val connection = LimitedConnection(httpConfiguration, connector, endPoint, budget, open)
        return configure(connection, connector, endPoint)
    }

    /** Ends the requests that have taken too long to arrive and the connections whose answers have taken too long to be read. */
    fun closeSlow(nowNs: Long) = open.forEach { it.closeIfTooSlow(nowNs) }
}

internal class LimitedConnection(
    configuration: HttpConfiguration,
    connector: Connector,
    endPoint: EndPoint,
    private val budget: ClientBudget,
    private val open: MutableSet<LimitedConnection>,
) : HttpConnection(configuration, connector, endPoint) {
    val holding = ClientHolding(budget)

    /** Time of the first byte of the request that is arriving, [NOT_NOW] if none is. */
    @Volatile
    private var receivingSinceNs = NOT_NOW

    /** Time at which the answer was passed to the system, [NOT_NOW] if none is waiting there. */
    @Volatile
    private var answeringSinceNs = NOT_NOW

    /** Answers a request whose body takes too long; null while there is none that can be answered. */
    @Volatile
    var onTooSlow: (() -> Unit)? = null
    private var fields = 0
    private var uncountedBytes = 0L

    override fun newRequestHandler(): RequestHandler = CountingHandler()

    /** Counts the header while Jetty's parser reads it. The parser calls it on one thread at a time. */
    private inner class CountingHandler : RequestHandler() {
        override fun messageBegin() {
            receivingSinceNs = System.nanoTime()
            super.messageBegin()
        }

        override fun startRequest(method: String?, uri: String?, version: HttpVersion?) {
            fields = 0
            uncountedBytes = uri.orEmpty().length.toLong()
            super.startRequest(method, uri, version)
        }

        override fun parsedHeader(field: HttpField) {
            onField(field)
            super.parsedHeader(field)
        }

        override fun messageComplete(): Boolean {
            receivingSinceNs = NOT_NOW
            return super.messageComplete()
        }
    }

    private fun onField(field: HttpField) {
        if (++fields > budget.limits.headerFields) {
            budget.onReached(ClientLimit.HEADER_FIELDS)
            throw HttpException.RuntimeException(HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431, "too many header fields")
        }
        uncountedBytes += FIELD_BYTES + field.name.length + field.value.orEmpty().length
        if (uncountedBytes < COUNTED_BYTES) return
        val isAdded = holding.addUnfinished(uncountedBytes)
        if (!isAdded) throw HttpException.RuntimeException(HttpStatus.SERVICE_UNAVAILABLE_503, "too many requests")
        uncountedBytes = 0
    }

    /** The whole request has arrived. */
    fun requestIsComplete() {
        receivingSinceNs = NOT_NOW
    }

    fun answerBegins() {
        answeringSinceNs = System.nanoTime()
    }

    fun answerEnds() {
        receivingSinceNs = NOT_NOW
        answeringSinceNs = NOT_NOW
        holding.release()
    }

    fun closeIfTooSlow(nowNs: Long) {
        if (isPast(answeringSinceNs, nowNs, budget.limits.answerMs)) {
            budget.onReached(ClientLimit.ANSWER_TIME)
            endPoint.close()
        } else if (isPast(receivingSinceNs, nowNs, budget.limits.receiveMs)) {
            receivingSinceNs = NOT_NOW
            budget.onReached(ClientLimit.RECEIVE_TIME)
            onTooSlow?.invoke() ?: endPoint.close()
        }
    }

    private fun isPast(sinceNs: Long, nowNs: Long, limitMs: Long) = sinceNs != NOT_NOW && nowNs - sinceNs > limitMs * NS_PER_MS

    override fun onOpen() {
        open += this
        super.onOpen()
    }

    override fun onClose(cause: Throwable?) {
        open -= this
        holding.close()
        super.onClose(cause)
    }

    private companion object {
        const val NOT_NOW = Long.MIN_VALUE
        const val NS_PER_MS = 1_000_000L

        /** Memory of a header field beside its name and value. */
        const val FIELD_BYTES = 128L

        /** The header is counted in steps of this size, so that an ordinary one costs nothing. */
        const val COUNTED_BYTES = 2_048L
    }
}
