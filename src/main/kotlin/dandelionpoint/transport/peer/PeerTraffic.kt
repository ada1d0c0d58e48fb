package dandelionpoint.transport.peer

import java.util.concurrent.atomic.LongAdder

/** Counts frames and bytes of the peer protocol, for the metrics and for measuring the cost of control traffic. */
internal class PeerTraffic {
    private val bytesSent = LongAdder()
    private val framesSent = LongAdder()
    private val framesReceived = LongAdder()

    fun sent(bytes: Int) {
        bytesSent.add(bytes.toLong() + LENGTH_BYTES)
        framesSent.increment()
    }

    fun received() = framesReceived.increment()

    /** Bytes sent since the start, including the length prefixes. */
    fun sentBytes(): Long = bytesSent.sum()

    /** Frames sent since the start. */
    fun sentFrames(): Long = framesSent.sum()

    /** Frames received since the start. */
    fun receivedFrames(): Long = framesReceived.sum()

    private companion object {
        const val LENGTH_BYTES = 4
    }
}
