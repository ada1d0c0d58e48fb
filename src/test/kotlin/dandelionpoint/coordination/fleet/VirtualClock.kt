package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.Clock

/** Clocks that move only when a test sets them. */
internal class VirtualClock(var monotonicMs: Long = 1_000, var wallMs: Long = 1_700_000_000_000) : Clock {
    override fun wallMs(): Long = wallMs

    override fun nanos(): Long = monotonicMs * 1_000_000

    /** Time passes, in which the process runs or is stopped: both clocks count it. */
    fun advance(ms: Long) {
        monotonicMs += ms
        wallMs += ms
    }
}
