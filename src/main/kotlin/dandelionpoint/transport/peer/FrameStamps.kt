/*
 * Dates the frames of peers without a common clock. A frame carries the time at which it was made on its sender's clock, and echoes the
 * latest such time of its receiver that the sender had read by then. Invariant: the sender made a frame no earlier than its receiver made
 * the stamp that it echoes. So the receiver has a date on its own clock for each frame, however long the frame was on its way, lay unread
 * or was repeated; a delay in either direction only makes the date earlier. A process that relies on the dates of its frames makes
 * messages, and reads frames, on one thread: no stamp is read between the making of a message and that of its frame.
 */
package dandelionpoint.transport.peer

import dandelionpoint.protocol.UptimeClock
import java.util.concurrent.ConcurrentHashMap

/**
 * Times at the head of a frame: the [stamp] of its sender, and the [echo] of a stamp of its receiver, [NO_STAMP] if the sender has read
 * none. A stamp is the lower half of a time in ms, so that it wraps after 49 days.
 */
internal data class FrameTimes(val stamp: Int, val echo: Int) {
    companion object {
        /** No stamp has this value. */
        const val NO_STAMP = 0
    }
}

/**
 * The stamps of this process, times on [uptime], and the latest ones that were read from each peer, by the incarnations of the peers.
 * Thread-safe.
 */
internal class FrameStamps(private val uptime: UptimeClock) {
    private val latest = ConcurrentHashMap<String, Int>()

    /** The times of a frame that is made now for the peer [incarnation], null before the handshake. */
    fun timesFor(incarnation: String?): FrameTimes = FrameTimes(stamp(), incarnation?.let { latest[it] } ?: FrameTimes.NO_STAMP)

    private fun stamp(): Int = uptime.millis().toInt().let { if (it == FrameTimes.NO_STAMP) it + 1 else it }

    /**
     * Records that a frame with [times] was read from the peer [incarnation]. Returns the date on [uptime] at or after which the peer made
     * the frame, [UNKNOWN_DATE] if it echoes no stamp.
     */
    fun onRead(incarnation: String, times: FrameTimes): Long {
        latest.merge(incarnation, times.stamp) { known, read -> if (read - known > 0) read else known }
        if (times.echo == FrameTimes.NO_STAMP) return UNKNOWN_DATE
        val now = uptime.millis()
        val ageMs = now.toInt() - times.echo
        return if (ageMs < 0) UNKNOWN_DATE else now - ageMs
    }

    /** Forgets the stamps of the peer [incarnation]. */
    fun forget(incarnation: String) {
        latest.remove(incarnation)
    }

    companion object {
        /** Date of a frame that is not known: earlier than that of any message that still counts. */
        const val UNKNOWN_DATE = Long.MIN_VALUE / 4
    }
}
