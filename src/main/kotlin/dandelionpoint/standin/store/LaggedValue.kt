package dandelionpoint.standin.store

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.millis

/** A value that is read with a lag, to simulate a list that is updated late. Keeps past versions, of which the first is [initial]. */
internal class LaggedValue<T>(initial: T, private val clock: Clock) {
    private class Version<T>(val sinceMs: Long, val value: T)

    private val versions = ArrayDeque(listOf(Version(Long.MIN_VALUE, initial)))

    /** Replaces the value; a read returns it once its lag has passed. */
    @Synchronized
    fun update(change: (T) -> T) {
        versions.addLast(Version(clock.millis(), change(versions.last().value)))
        if (versions.size > MAX_VERSIONS) versions.removeFirst()
    }

    /** Returns the value as it was [lagMs] ago, and for how long it has been set, in ms (0 for the initial value). */
    @Synchronized
    fun read(lagMs: Long): Pair<T, Long> {
        val now = clock.millis()
        val visible = versions.lastOrNull { it.sinceMs <= now - lagMs } ?: versions.first()
        return visible.value to (if (visible.sinceMs == Long.MIN_VALUE) 0 else now - visible.sinceMs)
    }

    private companion object {
        /** Limit of the past versions; covers 17 minutes at 4 updates per second. */
        const val MAX_VERSIONS = 4_096
    }
}
