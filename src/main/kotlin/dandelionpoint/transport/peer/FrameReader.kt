package dandelionpoint.transport.peer

import dandelionpoint.protocol.peer.PeerFrame
import io.ktor.utils.io.ByteReadChannel

/** A frame that was read: its [times], and what it contains, null if it only carries the times. */
internal data class ReadFrame(val times: FrameTimes, val frame: PeerFrame?)

/**
 * Reads the frames of one connection from [channel]. Most are heartbeats, and most heartbeats report no change: a frame with the same body
 * as the last message without a reply is not decoded again, and the same object is returned.
 */
internal class FrameReader(private val channel: ByteReadChannel, private val codec: FrameCodec) {
    private var lastBytes = ByteArray(0)
    private var lastFrame: PeerFrame? = null

    /** Waits for the next frame and returns it. Throws [FrameException] if it violates the protocol. */
    suspend fun next(): ReadFrame {
        val raw = codec.read(channel)
        return ReadFrame(raw.times, if (raw.body.isEmpty()) null else decode(raw.body))
    }

    private fun decode(bytes: ByteArray): PeerFrame {
        val last = lastFrame
        if (last != null && bytes.contentEquals(lastBytes)) return last
        return codec.decode(bytes).also { remember(bytes, it) }
    }

    private fun remember(bytes: ByteArray, frame: PeerFrame) {
        if (frame.call != 0L || bytes.size > MAX_REMEMBERED_BYTES) return
        lastBytes = bytes
        lastFrame = frame
    }

    private companion object {
        /** Largest frame that is kept for comparison, in bytes: more than a heartbeat has. */
        const val MAX_REMEMBERED_BYTES = 16 * 1024
    }
}
