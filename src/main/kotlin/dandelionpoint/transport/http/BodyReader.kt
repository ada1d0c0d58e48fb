package dandelionpoint.transport.http

import org.eclipse.jetty.io.Content
import org.eclipse.jetty.server.Request
import java.util.concurrent.atomic.AtomicBoolean

/** Receives the end of the reading of a body; exactly one function is called, once. */
internal interface BodyListener {
    fun onBody(bytes: ByteArray)

    /** The body is longer than the limit. */
    fun onTooLong()

    /** The budget for unfinished requests does not allow the body now. */
    fun onNoRoom()

    /** The body did not arrive in time. */
    fun onTooSlow()

    /** The connection was closed or the body violates the protocol. */
    fun onFailure(cause: Throwable)
}

/**
 * Reads the body of [request] without blocking a thread. A body that is there as a whole, as most are, is copied once and not counted: its
 * connection holds one such body at a time. What arrives in parts is counted before memory is allocated for it.
 */
internal class BodyReader(
    private val request: Request,
    private val connection: LimitedConnection,
    private val maxBytes: Int,
    private val listener: BodyListener,
) : Runnable {
    private val hasEnded = AtomicBoolean()
    private var buffer = ByteArray(0)
    private var size = 0
    private var counted = 0L

    fun start() {
        connection.onTooSlow = { end { it.onTooSlow() } }
        run()
    }

    override fun run() {
        while (!hasEnded.get()) {
            val chunk = request.read()
            if (chunk == null) {
                request.demand(this)
                return
            }
            if (Content.Chunk.isFailure(chunk)) return end { it.onFailure(chunk.failure) }
            val isTaken = try {
                take(chunk)
            } finally {
                chunk.release()
            }
            if (!isTaken) return
            if (chunk.isLast) return complete()
        }
    }

    private fun complete() = end {
        val body = if (buffer.size == size) buffer else buffer.copyOf(size)
        connection.requestIsComplete()
        connection.holding.removeUnfinished(counted)
        it.onBody(body)
    }

    /** Appends [chunk]; false if that has ended the reading. */
    private fun take(chunk: Content.Chunk): Boolean {
        val count = chunk.remaining()
        if (count == 0) return true
        if (size + count > maxBytes) {
            end { it.onTooLong() }
            return false
        }
        if (size + count > buffer.size && !grow(size + count, chunk.isLast && size == 0)) {
            end { it.onNoRoom() }
            return false
        }
        chunk.byteBuffer.get(buffer, size, count)
        size += count
        return true
    }

    private fun grow(needed: Int, isWhole: Boolean): Boolean {
        val capacity = if (isWhole) needed else maxOf(needed, minOf(buffer.size * 2, maxBytes))
        val more = if (isWhole) 0L else (capacity - buffer.size).toLong()
        if (more > 0 && !connection.holding.addUnfinished(more)) return false
        counted += more
        buffer = buffer.copyOf(capacity)
        return true
    }

    private fun end(tell: (BodyListener) -> Unit) {
        if (!hasEnded.compareAndSet(false, true)) return
        connection.onTooSlow = null
        tell(listener)
    }
}
