/*
 * Detects pauses of this VM's process: the process was stopped, the VM was suspended, or it had no processor time. The monotonic clock
 * does not count a suspension, and the wall clock does. A forward step of the wall clock cannot be told from a suspension; a step back is
 * ignored.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.millis

/** The time since this object was made, in ms, by the clock that has counted more of it. */
internal class ElapsedTime(private val clock: Clock) {
    private val startMs = clock.millis()
    private val startWallMs = clock.wallMs()

    fun ms(): Long = maxOf(clock.millis() - startMs, clock.wallMs() - startWallMs)
}

/** A pause, which took at most [maxMs]. The monotonic clock has counted at most [monotonicMs] of it. */
internal data class ProcessPause(val maxMs: Long, val monotonicMs: Long)

/** Measures the time between observations, of which the tick loop makes one every [tickMs]. Not thread-safe. */
internal class PauseDetector(private val clock: Clock, private val tickMs: Long) {
    private var lastMs: Long? = null
    private var lastWallMs = 0L

    /** Returns the pause since the previous observation, or null if there was none. */
    fun observe(): ProcessPause? {
        val now = clock.millis()
        val wallMs = clock.wallMs()
        val monotonicMs = now - (lastMs ?: now)
        val maxMs = maxOf(monotonicMs, if (lastMs == null) 0 else wallMs - lastWallMs)
        lastMs = now
        lastWallMs = wallMs
        return if (maxMs > tickMs + THRESHOLD_MS) ProcessPause(maxMs, monotonicMs) else null
    }

    private companion object {
        /** An observation that is late by more than this counts as a pause, in ms. */
        const val THRESHOLD_MS = 250L
    }
}
