/* A value that is shown with a lag. */
package dandelionpoint.standin.store

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.millis

/** Keeps the versions of a value and shows the one that was current some time ago. Starts with [initial]. */
internal class Lagging<T>(initial: T, private val clock: Clock) {
    private class Version<T>(val sinceMs: Long, val value: T)

    private val versions = ArrayDeque(listOf(Version(Long.MIN_VALUE, initial)))

    /** Replaces the value from now on. */
    @Synchronized
    fun update(change: (T) -> T) {
        versions.addLast(Version(clock.millis(), change(versions.last().value)))
        if (versions.size > MAX_VERSIONS) versions.removeFirst()
    }

    /** The value as it was [lagMs] ago and how long ago it was set, in ms. */
    @Synchronized
    fun read(lagMs: Long): Pair<T, Long> {
        val now = clock.millis()
        val shown = versions.lastOrNull { it.sinceMs <= now - lagMs } ?: versions.first()
        return shown.value to (if (shown.sinceMs == Long.MIN_VALUE) 0 else now - shown.sinceMs)
    }

    private companion object {
        /** Limit of the history: at 4 updates a second, 17 minutes. */
        const val MAX_VERSIONS = 4_096
    }
}
