/* A server that answers every request with the same bytes and closes the connection. */
package dandelionpoint.transport.worker

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Answers every request on a free loopback port with [response] and counts the requests. */
internal class RawServer(private val response: String) : AutoCloseable {
    private val listener = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val count = AtomicInteger()

    val port: Int get() = listener.localPort

    /** Number of requests so far. */
    val requests: Int get() = count.get()

    init {
        thread(isDaemon = true) {
            try {
                while (true) answerOne()
            } catch (_: SocketException) {
                // The test has closed the listener.
            }
        }
    }

    override fun close() = listener.close()

    private fun answerOne() {
        listener.accept().use { socket ->
            readRequest(socket.getInputStream())
            count.incrementAndGet()
            socket.getOutputStream().write(response.toByteArray())
            socket.getOutputStream().flush()
        }
    }

    /** Reads a request up to the end of its body, which must be `{}`. */
    private fun readRequest(input: InputStream) {
        val text = StringBuilder()
        while (!text.endsWith("{}")) {
            val byte = input.read()
            if (byte < 0) return
            text.append(byte.toChar())
        }
    }
}
