package dandelionpoint.fleet.simulation

import dandelionpoint.protocol.Clock

/** The clocks of one simulated machine. Its monotonic clock does not count suspensions; its wall clock does. */
internal class SuspendableClock(private val clock: Clock) : Clock {
    private var suspendedMs = 0L

    /** The machine is suspended for [ms] from now on, during which nothing reads its clocks. */
    fun suspend(ms: Long) {
        suspendedMs += ms
    }

    override fun wallMs(): Long = clock.wallMs()

    override fun nanos(): Long = clock.nanos() - suspendedMs * NANOS_PER_MS

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}
