package dandelionpoint.protocol

/** Source of the time. Tests use an implementation whose time they set. */
interface Clock {
    /** Wall-clock time in ms since the Unix epoch. It is compared only with times in ids and rows, never used for durations. */
    fun wallMs(): Long

    /** Monotonic time in ns, for durations on this VM. */
    fun nanos(): Long

    /** The clocks of the machine. */
    object System : Clock {
        override fun wallMs(): Long = java.lang.System.currentTimeMillis()

        override fun nanos(): Long = java.lang.System.nanoTime()
    }
}

/** Monotonic time in ms. */
fun Clock.millis(): Long = nanos() / 1_000_000
