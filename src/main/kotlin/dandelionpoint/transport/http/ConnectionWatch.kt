/*
 * Notices clients that close their connection while their request is in progress. Jetty does not read from an HTTP/1.1 connection until
 * the response is written, so the open requests' channels are polled with a read of one byte. A byte that arrives belongs to a pipelined
 * request, which cannot be put back: the connection is then closed after the response, and the client sends that request again.
 */
package dandelionpoint.transport.http

import jakarta.servlet.http.HttpServletRequest
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.io.EndPoint
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import java.util.concurrent.ConcurrentHashMap

/** Open requests and what to do when their client goes away. */
internal class ConnectionWatch {
    /** One open request. */
    inner class Entry internal constructor(internal val channel: SocketChannel?, private val onGone: () -> Unit) {
        /** True if bytes of a further request were dropped: the connection cannot be used again. */
        @Volatile
        var mustClose = false
            private set

        internal fun poll() {
            val open = channel ?: return
            val count = try {
                open.read(ByteBuffer.allocate(1))
            } catch (_: IOException) {
                END
            }
            if (count > 0) mustClose = true
            if (count < 0) {
                entries.remove(this)
                onGone()
            }
        }

        /** Ends the watch, before the response is written. */
        fun end() {
            entries.remove(this)
        }
    }

    private val entries = ConcurrentHashMap.newKeySet<Entry>()

    /** Watches the connection of [request]; [onGone] is called once if the client closes it. */
    fun watch(request: HttpServletRequest, onGone: () -> Unit): Entry {
        val endPoint = ServletContextRequest.getServletContextRequest(request)?.connectionMetaData?.connection?.endPoint
        return Entry(endPoint?.transport as? SocketChannel, onGone).also { entries.add(it) }
    }

    /** Looks at every open request. */
    fun poll() = entries.forEach { it.poll() }

    /** Requests in progress. */
    fun open(): Int = entries.size

    /** True if a request on [endPoint] is in progress. */
    fun isBusy(endPoint: EndPoint): Boolean = entries.any { it.channel != null && it.channel == endPoint.transport }

    private companion object {
        const val END = -1
    }
}
