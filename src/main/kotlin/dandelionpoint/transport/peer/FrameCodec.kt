/*
 * Frames of the peer protocol: a 4-byte big-endian length, then that many bytes of CBOR. A length above the limit or bytes that cannot
 * be decoded end the connection, because the start of the next frame is unknown then.
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

/** Reads and writes frames of at most [maxBytes]. The body of a frame must arrive within [bodyTimeoutMs] after its length. */
@OptIn(ExperimentalSerializationApi::class)
internal class FrameCodec(private val maxBytes: Int = MAX_FRAME_BYTES, private val bodyTimeoutMs: Long = BODY_TIMEOUT_MS) {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Returns the encoded frame, without its length. Throws [FrameException] if it is larger than the limit. */
    fun encode(frame: PeerFrame): ByteArray {
        val bytes = cbor.encodeToByteArray(frame)
        if (bytes.size > maxBytes) throw FrameException("frame of ${bytes.size} bytes is above the limit of $maxBytes")
        return bytes
    }

    /** Returns the frame in [bytes]. Throws [FrameException] if they cannot be decoded. */
    fun decode(bytes: ByteArray): PeerFrame = try {
        cbor.decodeFromByteArray<PeerFrame>(bytes)
    } catch (e: IllegalArgumentException) {
        throw FrameException("frame does not decode: ${e.message?.take(MAX_REASON_CHARS)}", e)
    } catch (e: IndexOutOfBoundsException) {
        throw FrameException("frame ends early: ${e.message?.take(MAX_REASON_CHARS)}", e)
    }

    /** Waits for the next frame and returns it. */
    suspend fun read(channel: ByteReadChannel): PeerFrame = decode(readBytes(channel))

    /** Waits for the next frame and returns it as [decode] expects it. */
    suspend fun readBytes(channel: ByteReadChannel): ByteArray {
        val length = channel.readInt()
        if (length !in 1..maxBytes) throw FrameException("frame length $length is outside 1 to $maxBytes")
        // Most frames arrive whole, so that reading their body needs no timer.
        if (channel.availableForRead >= length) return channel.readByteArray(length)
        return withTimeout(bodyTimeoutMs) { channel.readByteArray(length) }
    }

    /** Writes [bytes] as one frame and flushes it. */
    suspend fun write(channel: ByteWriteChannel, bytes: ByteArray) {
        channel.writeInt(bytes.size)
        channel.writeByteArray(bytes)
        channel.flush()
    }

    companion object {
        /** Largest frame, in bytes. */
        const val MAX_FRAME_BYTES = 8 * 1024 * 1024
        private const val BODY_TIMEOUT_MS = 10_000L
        private const val MAX_REASON_CHARS = 200
    }
}
