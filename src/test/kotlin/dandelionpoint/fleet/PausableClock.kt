package dandelionpoint.fleet

import dandelionpoint.protocol.Clock
import java.util.concurrent.atomic.AtomicLong

/** The clocks of a VM that can be paused without waiting: each kind of pause advances the clocks that count it. */
internal class PausableClock : Clock {
    private val monotonicOffsetMs = AtomicLong()
    private val wallOffsetMs = AtomicLong()

    override fun wallMs(): Long = Clock.System.wallMs() + wallOffsetMs.get()

    override fun nanos(): Long = Clock.System.nanos() + monotonicOffsetMs.get() * NANOS_PER_MS

    /** The process was stopped for [ms]: both clocks count the pause. */
    fun freeze(ms: Long) {
        wallOffsetMs.addAndGet(ms)
        monotonicOffsetMs.addAndGet(ms)
    }

    /** The VM was suspended for [ms], which only the wall clock counts. A step of the wall clock by [ms] looks the same. */
    fun suspendFor(ms: Long) {
        wallOffsetMs.addAndGet(ms)
    }

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}
