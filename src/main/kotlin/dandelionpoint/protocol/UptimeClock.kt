package dandelionpoint.protocol

/**
 * Time in ms that also counts suspensions of the machine, which the monotonic clock of [clock] leaves out and its wall clock counts. A step
 * forward of the wall clock cannot be told from a suspension and counts as one; a step back is ignored.
 */
internal class UptimeClock(private val clock: Clock) {
    private var suspendedMs = 0L
    private var wallOffsetMs = clock.wallMs() - clock.millis()

    @Synchronized
    fun millis(): Long {
        val monotonicMs = clock.millis()
        val offsetMs = clock.wallMs() - monotonicMs
        if (offsetMs - wallOffsetMs > MIN_SUSPENSION_MS) suspendedMs += offsetMs - wallOffsetMs
        wallOffsetMs = offsetMs
        return monotonicMs + suspendedMs
    }

    private companion object {
        /** The two clocks are read one after the other and rounded: a smaller difference between two readings is no suspension, in ms. */
        const val MIN_SUSPENSION_MS = 20L
    }
}
