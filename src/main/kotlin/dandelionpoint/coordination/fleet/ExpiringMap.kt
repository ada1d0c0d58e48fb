/* A map whose entries expire, for answers to requests that may be repeated. */
package dandelionpoint.coordination.fleet

/** Keeps each entry until its time to live is over. Not thread-safe. Times are in ms on the VM's monotonic clock. */
internal class ExpiringMap<K : Any, V : Any> {
    private class Entry<V>(val value: V, val expiresAt: Long)

    private val entries = LinkedHashMap<K, Entry<V>>()

    operator fun get(key: K): V? = entries[key]?.value

    operator fun contains(key: K): Boolean = key in entries

    /** Adds or replaces the entry of [key], which is kept until [expiresAt] at least. Removes entries that have expired at [now]. */
    fun put(key: K, value: V, expiresAt: Long, now: Long) {
        entries.remove(key)
        entries[key] = Entry(value, expiresAt)
        removeExpired(now)
    }

    /** Stops at the first entry that has not expired, so that a call costs no more than what it removes. */
    private fun removeExpired(now: Long) {
        val oldest = entries.values.iterator()
        while (oldest.hasNext() && oldest.next().expiresAt <= now) oldest.remove()
    }
}
