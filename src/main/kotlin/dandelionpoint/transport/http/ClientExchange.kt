package dandelionpoint.transport.http

import org.eclipse.jetty.http.HttpHeader
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicBoolean

/** A request of a client and its answer, which [send] sends without blocking, from any thread; further answers are ignored. */
internal class ClientExchange(val request: Request, private val response: Response, private val callback: Callback) {
    val connection = request.connectionMetaData.connection as LimitedConnection
    private val isAnswered = AtomicBoolean()

    /** The path as it was sent. */
    val path: String = request.httpURI.path.orEmpty()
    val method: String = request.method

    /** The name of the host that the client has addressed, without a port. */
    val host: String = header("Host").orEmpty().substringBefore(':')

    fun header(name: String): String? = request.headers[name]

    /** Sets a header field of the answer. */
    fun setHeader(name: String, value: String) {
        response.headers.put(name, value)
    }

    /** The connection is closed after the answer. */
    fun closeAfterwards() = setHeader(HttpHeader.CONNECTION.asString(), "close")

    /** The connection is kept while the client waits for its answer. */
    fun keepWhileWaiting() = request.addIdleTimeoutListener { false }

    /** Answers with [status] and, if it is not empty, the JSON text [body]. */
    fun send(status: Int, body: String = "") {
        if (!isAnswered.compareAndSet(false, true)) return
        response.status = status
        if (body.isNotEmpty()) response.headers.put(HttpHeader.CONTENT_TYPE, "application/json")
        connection.answerBegins()
        response.write(true, ByteBuffer.wrap(body.encodeToByteArray()), AnswerEnd())
    }

    /** The request cannot be answered any more. */
    fun fail(cause: Throwable) {
        if (!isAnswered.compareAndSet(false, true)) return
        connection.answerEnds()
        callback.failed(cause)
    }

    private inner class AnswerEnd : Callback {
        override fun succeeded() {
            connection.answerEnds()
            callback.succeeded()
        }

        override fun failed(cause: Throwable) {
            connection.answerEnds()
            callback.failed(cause)
        }
    }
}
