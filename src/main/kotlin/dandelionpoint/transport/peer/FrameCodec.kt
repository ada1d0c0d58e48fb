/*
 * Frames of the peer protocol: a 4-byte big-endian length, then that many bytes, of which the first 8 are the frame's times and the others,
 * its body, are CBOR. A frame without a body only carries the times. A length outside the limits or a body that cannot be decoded ends the
 * connection, because the start of the next frame is unknown then.
 */
package dandelionpoint.transport.peer

import dandelionpoint.protocol.peer.PeerFrame
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** A frame that violates the protocol. */
internal class FrameException(message: String, cause: Throwable? = null) : Exception(message, cause)

/** The parts of a frame: its [times] and its encoded [body], which is empty if the frame only carries the times. */
internal class RawFrame(val times: FrameTimes, val body: ByteArray)

/** Reads and writes frames with a body of at most [maxBytes]. The body of a frame must arrive within [bodyTimeoutMs] after its length. */
@OptIn(ExperimentalSerializationApi::class)
internal class FrameCodec(private val maxBytes: Int = MAX_FRAME_BYTES, private val bodyTimeoutMs: Long = BODY_TIMEOUT_MS) {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Returns the encoded body of [frame]. Throws [FrameException] if it is larger than the limit. */
    fun encode(frame: PeerFrame): ByteArray {
        val bytes = cbor.encodeToByteArray(frame)
        if (bytes.size > maxBytes) throw FrameException("frame of ${bytes.size} bytes is above the limit of $maxBytes")
        return bytes
    }

    /** Returns the frame whose body is [bytes]. Throws [FrameException] if they cannot be decoded. */
    fun decode(bytes: ByteArray): PeerFrame = try {
        cbor.decodeFromByteArray<PeerFrame>(bytes)
    } catch (e: IllegalArgumentException) {
        throw FrameException("frame does not decode: ${e.message?.take(MAX_REASON_CHARS)}", e)
    } catch (e: IndexOutOfBoundsException) {
        throw FrameException("frame ends early: ${e.message?.take(MAX_REASON_CHARS)}", e)
    }

    /** Waits for the next frame, whose body has at most [limit] bytes, and returns it. */
    suspend fun read(channel: ByteReadChannel, limit: Int = maxBytes): RawFrame {
        val length = channel.readInt()
        val lengths = TIMES_BYTES..TIMES_BYTES + limit
        if (length !in lengths) throw FrameException("frame length $length is outside ${lengths.first} to ${lengths.last}")
        // Most frames arrive whole, so that reading them needs no timer.
        if (channel.availableForRead >= length) return readParts(channel, length)
        return withTimeout(bodyTimeoutMs) { readParts(channel, length) }
    }

    private suspend fun readParts(channel: ByteReadChannel, length: Int): RawFrame {
        val times = FrameTimes(stamp = channel.readInt(), echo = channel.readInt())
        return RawFrame(times, channel.readByteArray(length - TIMES_BYTES))
    }

    /** Writes [frame] and flushes it. */
    suspend fun write(channel: ByteWriteChannel, frame: RawFrame) {
        channel.writeInt(TIMES_BYTES + frame.body.size)
        channel.writeInt(frame.times.stamp)
        channel.writeInt(frame.times.echo)
        channel.writeByteArray(frame.body)
        channel.flush()
    }

    companion object {
        /** Largest body of a frame, in bytes. */
        const val MAX_FRAME_BYTES = 8 * 1024 * 1024

        /**
         * Largest body of the first frame of a connection, in bytes. Any process can send one, and it names at most nine VMs, each with
         * less than 500 bytes.
         */
        const val MAX_HELLO_BYTES = 16 * 1024

        /** Size of the times at the head of a frame, in bytes. */
        const val TIMES_BYTES = 2 * Int.SIZE_BYTES
        private const val BODY_TIMEOUT_MS = 10_000L
        private const val MAX_REASON_CHARS = 200
    }
}
