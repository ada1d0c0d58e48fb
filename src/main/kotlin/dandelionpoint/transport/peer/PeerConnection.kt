/*
 * One connection between two entry VMs. A single coroutine writes, so that frames never interleave. Its queue is bounded; a call
 * that finds the queue full is reported as 'not sent'. Replies carry the id of their call, so they may arrive in any order.
 */
package dandelionpoint.transport.peer

import dandelionpoint.protocol.peer.PeerFrame
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

private val log = KotlinLogging.logger {}

/** The local side of a connection: its cluster and identity, the stamps of its frames, and the VMs that it is connected to. */
internal data class LocalPeer(
    val cluster: String,
    val vm: VmIdentity,
    val stamps: FrameStamps,
    val known: () -> Set<VmIdentity> = { emptySet() },
)

/**
 * Handles a message from a peer, which the peer has made on the date [sentAt] or later ([FrameStamps.UNKNOWN_DATE] if unknown). Returns the
 * reply, or null for a message that has none.
 */
internal typealias PeerHandler = suspend (from: VmIdentity, message: PeerMessage, sentAt: Long) -> PeerMessage?

/** An open connection. [handshake] must succeed before any other function is called. */
internal class PeerConnection(
    private val socket: Socket,
    private val local: LocalPeer,
    private val codec: FrameCodec,
    private val handler: PeerHandler,
    private val traffic: PeerTraffic,
) {
    private val input = socket.openReadChannel()
    private val output = socket.openWriteChannel(autoFlush = false)

    /** Encoded frames that wait to be written, with the times at which they were made. */
    private val outgoing = Channel<RawFrame>(SEND_QUEUE_FRAMES)

    /** Calls that wait for a reply, by their id. */
    private val pendingCalls = ConcurrentHashMap<Long, CompletableDeferred<PeerReply>>()
    private val nextCallId = AtomicLong(1)

    /** Set by [drop]. */
    @Volatile
    private var isDropped = false

    /** Identity of the peer; set by [handshake]. */
    lateinit var remote: VmIdentity
        private set

    /**
     * Exchanges `Hello` frames and returns the VMs that the peer knows. Throws [FrameException] if the peer uses another
     * protocol version or belongs to another cluster.
     */
    suspend fun handshake(): List<VmIdentity> {
        val hello = PeerMessage.Hello(PROTOCOL_VERSION, local.cluster, local.vm, local.known().toList())
        val answer =
            withTimeout(HELLO_TIMEOUT_MS) {
                codec.write(output, RawFrame(local.stamps.timesFor(null), codec.encode(PeerFrame(0, message = hello))))
                codec.read(input, limit = FrameCodec.MAX_HELLO_BYTES)
            }
        val message = codec.decode(answer.body).message
        val vm = (message as? PeerMessage.Hello)?.vm
        val error = handshakeError(message)
        if (vm == null || error != null) throw FrameException(error ?: "first frame is not Hello")
        remote = vm
        local.stamps.onRead(vm.incarnation, answer.times)
        return (message as PeerMessage.Hello).known
    }

    private fun handshakeError(answer: PeerMessage): String? = when {
        answer !is PeerMessage.Hello -> "first frame is not Hello"
        answer.protocolVersion != PROTOCOL_VERSION -> "peer ${answer.vm.name} uses protocol version ${answer.protocolVersion}"
        answer.cluster != local.cluster -> "peer ${answer.vm.name} belongs to cluster ${answer.cluster}"
        else -> null
    }

    /** Reads and writes frames until the connection ends, then completes all pending calls as lost. */
    suspend fun serve(scope: CoroutineScope) {
        // Unconfined: a frame is written by the thread that sends it, without a switch to another one.
        val writer = scope.launch(Dispatchers.Unconfined) { writeFrames() }
        val frames = FrameReader(input, codec)
        try {
            while (true) {
                val read = frames.next()
                val sentAt = local.stamps.onRead(remote.incarnation, read.times)
                read.frame?.let { onFrame(it, sentAt, scope) }
            }
        } finally {
            writer.cancel()
            close()
        }
    }

    private suspend fun writeFrames() {
        try {
            for (frame in outgoing) {
                codec.write(output, frame)
                traffic.sent(frame.body.size)
            }
        } catch (e: IOException) {
            log.debug { "event=peer_write_failed peer=${remote.name} reason=\"${e.message}\"" }
            close()
        }
    }

    /** Messages without a reply are handled in the order in which they arrive; calls, which may take long, run beside each other. */
    private suspend fun onFrame(frame: PeerFrame, sentAt: Long, scope: CoroutineScope) {
        traffic.received()
        when {
            frame.isReply -> pendingCalls.remove(frame.call)?.complete(PeerReply.Answered(frame.message))
            frame.call == 0L -> handle(frame.message, sentAt)
            else -> scope.launch(start = CoroutineStart.UNDISPATCHED) { answer(frame, sentAt) }
        }
    }

    private suspend fun answer(call: PeerFrame, sentAt: Long) {
        val reply = handle(call.message, sentAt) ?: return
        enqueue(PeerFrame(call.call, isReply = true, message = reply))
    }

    private suspend fun handle(message: PeerMessage, sentAt: Long): PeerMessage? {
        if (isDropped) return null
        val reply = runCatching { handler(remote, message, sentAt) }
        val failure = reply.exceptionOrNull()
        if (failure != null && failure !is CancellationException) log.warn(failure) { "event=peer_handler_failed peer=${remote.name}" }
        return reply.getOrNull()
    }

    private fun enqueue(frame: PeerFrame): Boolean = enqueue(codec.encode(frame))

    private fun enqueue(body: ByteArray): Boolean = outgoing.trySend(RawFrame(local.stamps.timesFor(remote.incarnation), body)).isSuccess

    /** Sends [message] without a reply; discards it if the queue is full or the connection is closed. */
    fun send(message: PeerMessage) {
        enqueue(PeerFrame(0, message = message))
    }

    /** Sends a frame with an encoded [body]; discards it if the queue is full or the connection is closed. */
    fun send(body: ByteArray) {
        enqueue(body)
    }

    /** Sends a frame that only carries the times. */
    fun sendStamp() {
        enqueue(NO_BODY)
    }

    /** Sends [message] and waits up to [timeoutMs] for the reply. */
    suspend fun call(message: PeerMessage, timeoutMs: Long): PeerReply {
        val callId = nextCallId.getAndIncrement()
        val reply = CompletableDeferred<PeerReply>()
        pendingCalls[callId] = reply
        if (!enqueue(PeerFrame(callId, message = message))) {
            pendingCalls.remove(callId)
            return PeerReply.NotSent("queue to ${remote.name} is full or closed")
        }
        val answer = withTimeoutOrNull(timeoutMs) { reply.await() }
        pendingCalls.remove(callId)
        return answer ?: PeerReply.Lost("no reply from ${remote.name} within $timeoutMs ms")
    }

    /** Closes the connection and discards the messages that were received before and whose handling has not begun. */
    fun drop() {
        isDropped = true
        close()
    }

    /** Closes the socket. Pending calls are reported as lost, because the peer may have acted on them. */
    fun close() {
        outgoing.close()
        runCatching { socket.close() }
        pendingCalls.keys.toList().forEach { pendingCalls.remove(it)?.complete(PeerReply.Lost("connection closed")) }
    }

    companion object {
        /** Version of the peer protocol. Connections to peers with another version are refused. */
        const val PROTOCOL_VERSION = 2
        private val NO_BODY = ByteArray(0)
        private const val SEND_QUEUE_FRAMES = 4_096
        private const val HELLO_TIMEOUT_MS = 2_000L
    }
}
