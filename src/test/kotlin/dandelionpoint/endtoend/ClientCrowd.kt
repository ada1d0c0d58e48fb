/* Clients that exceed limits, over non-blocking sockets, so that a server that does not read holds up no other member of the crowd. */
package dandelionpoint.endtoend

import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/** What one member sends: its [pieces], one in each round, and then nothing more. */
internal class Script(vararg val pieces: ByteArray)

/** A crowd of clients of [port]. They never read, and keep their connections open until [close]. */
internal class ClientCrowd(private val port: Int, private val receiveBytes: Int? = null) : AutoCloseable {
    private class Member(val channel: SocketChannel, script: Script) {
        val left = ArrayDeque(script.pieces.map { ByteBuffer.wrap(it) })
        var isBroken = false

        /** Sends what the socket takes, at most one piece. Returns the number of bytes. */
        fun push(): Int = try {
            val piece = left.firstOrNull()
            val count = piece?.let { channel.write(it) } ?: 0
            if (piece?.hasRemaining() == false) left.removeFirst()
            count
        } catch (_: IOException) {
            isBroken = true
            0
        }
    }

    private val members = mutableListOf<Member>()

    /** Connects [count] members and lets them send until all have finished, are refused, or cannot send any more. */
    fun send(count: Int, script: Script) {
        var refused = 0
        repeat(count) {
            val channel = if (refused < MAX_REFUSED) connect() else null
            if (channel == null) refused++ else members += Member(channel, script)
        }
        var idleRounds = 0
        val latest = System.nanoTime() + MAX_SEND_NS
        while (idleRounds < MAX_IDLE_ROUNDS && System.nanoTime() < latest) {
            val senders = members.filter { !it.isBroken && it.left.isNotEmpty() }
            if (senders.isEmpty()) break
            idleRounds = if (senders.sumOf { it.push() } > 0) 0 else idleRounds + 1
            if (idleRounds > 0) Thread.sleep(ROUND_MS)
        }
        Thread.sleep(SETTLE_MS)
    }

    private fun connect(): SocketChannel? {
        val channel = SocketChannel.open()
        return try {
            receiveBytes?.let { channel.setOption(StandardSocketOptions.SO_RCVBUF, it) }
            channel.socket().connect(InetSocketAddress(PlatformStubs.HOST, port), CONNECT_MS)
            channel.configureBlocking(false)
            channel
        } catch (_: IOException) {
            channel.close()
            null
        }
    }

    override fun close() = members.forEach { it.channel.close() }

    private companion object {
        const val CONNECT_MS = 1_000

        /** No further member connects after so many could not. */
        const val MAX_REFUSED = 10

        /** Pause after a round in which no member could send. */
        const val ROUND_MS = 50L
        const val MAX_IDLE_ROUNDS = 20

        /** Time in which the server handles what was sent last. */
        const val SETTLE_MS = 500L
        const val MAX_SEND_NS = 20_000_000_000L
    }
}

/** The requests of the crowds, as bytes. */
internal object CrowdRequests {
    const val MAX_BODY_BYTES = 262_144
    private const val HOST = "Host: ${PlatformStubs.ROUTE_HOST}\r\n"

    fun head(method: String, path: String, headers: String): String = "$method $path HTTP/1.1\r\n$HOST$headers\r\n"

    /** A request with [body], as [pieces] pieces of equal size. [declared] is its declared length. */
    fun post(path: String, body: ByteArray, declared: Int = body.size, method: String = "POST", pieces: Int = 1): Script {
        val head = head(method, path, "Content-Length: $declared\r\nDeadline-Remaining-Ms: 8000\r\n").encodeToByteArray()
        if (pieces == 1) return Script(head + body)
        val size = (body.size + pieces - 1) / pieces
        return Script(head, *body.asList().chunked(size) { it.toByteArray() }.toTypedArray())
    }

    /** The body of a job with one step that no worker can take, filled up with a long payload to [size] bytes. */
    fun body(size: Int): ByteArray {
        val rest = """","best_effort":true,"steps":[{"count":1,"cpu":4000000,"est_runtime_ms":60}]}"""
        val begin = """{"spec":""""
        return (begin + "x".repeat(size - begin.length - rest.length) + rest).encodeToByteArray()
    }

    /** A body in chunks that lacks its last one. */
    fun unfinishedChunks(path: String, bytes: Int, chunkBytes: Int): Script {
        val chunk = "%x\r\n%s\r\n".format(chunkBytes, "x".repeat(chunkBytes))
        return Script(
            (head("POST", path, "Transfer-Encoding: chunked\r\n") + chunk.repeat(bytes / chunkBytes)).encodeToByteArray(),
        )
    }

    /** The body of a job with [steps], and further [members]. */
    fun job(steps: String, members: String = ""): ByteArray = """{"best_effort":true$members,"steps":[$steps]}""".encodeToByteArray()
}
