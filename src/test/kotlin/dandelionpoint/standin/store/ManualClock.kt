package dandelionpoint.standin.store

import dandelionpoint.protocol.Clock
import java.util.concurrent.atomic.AtomicLong

/** A clock that moves only when a test calls [advance]. */
internal class ManualClock : Clock {
    private val nanos = AtomicLong()

    override fun wallMs(): Long = nanos.get() / 1_000_000

    override fun nanos(): Long = nanos.get()

    fun advance(ms: Long) {
        nanos.addAndGet(ms * 1_000_000)
    }
}
