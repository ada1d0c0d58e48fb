/*
 * Detects clients that close their connection while their request is in progress. Jetty does not read from an HTTP/1.1 connection until
 * the response is written, so the channels of open requests are polled with a read of one byte. A byte that arrives belongs to a pipelined
 * request and cannot be put back. The connection is then closed after the response, and the client has to send that request again.
 */
package dandelionpoint.transport.http

import org.eclipse.jetty.io.EndPoint
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import java.util.concurrent.ConcurrentHashMap

/** Open requests, each with a callback for the case that its client disconnects. */
internal class ClientDisconnectMonitor {
    /** One open request. */
    inner class Entry internal constructor(internal val channel: SocketChannel?, private val onDisconnect: () -> Unit) {
        /** True if a byte of a pipelined request was discarded, so that the connection cannot be reused. */
        @Volatile
        var mustClose = false
            private set

        internal fun poll() {
            if (isConnected()) return
            entries.remove(this)
            onDisconnect()
        }

        internal fun isConnected(): Boolean {
            val open = channel ?: return true
            val count = try {
                open.read(ByteBuffer.allocate(1))
            } catch (_: IOException) {
                END_OF_STREAM
            }
            if (count > 0) mustClose = true
            return count != END_OF_STREAM
        }

        /** Stops polling this request; to be called before the response is written. */
        fun end() {
            entries.remove(this)
        }
    }

    private val entries = ConcurrentHashMap.newKeySet<Entry>()

    /**
     * Adds the connection at [endPoint] to those that are polled. [onDisconnect] is called once if the client closes it. Returns null if
     * the client has closed it already.
     */
    fun watch(endPoint: EndPoint, onDisconnect: () -> Unit): Entry? {
        val entry = Entry(endPoint.transport as? SocketChannel, onDisconnect)
        if (!entry.isConnected()) return null
        entries.add(entry)
        return entry
    }

    /** Polls the connection of every open request once. */
    fun poll() = entries.forEach { it.poll() }

    /** Number of requests in progress. */
    fun open(): Int = entries.size

    private companion object {
        const val END_OF_STREAM = -1
    }
}
