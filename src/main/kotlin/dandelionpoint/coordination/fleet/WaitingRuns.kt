/*
 * Runs that other VMs have requested and that wait for capacity in this VM's cells. They are ordered as this VM's own waiting tasks are: by
 * the priority of their queue, then by the latest time at which they can start and still be on time. This is state behind one lock,
 * without I/O: the caller passes in the time (ms on the VM's monotonic clock), starts the runs and answers those that it removes.
 * Invariant: a run that was removed is not started afterwards.
 */
package dandelionpoint.coordination.fleet

import java.util.TreeSet

/** At most [maxRuns] waiting runs. */
internal class WaitingRuns(private val maxRuns: Int = MAX_RUNS) {
    private class Entry(val order: RunOrder, val number: Long)

    private val lock = Any()
    private val byUrgency = TreeSet<Entry>(compareBy({ it.order.urgency }, { it.number }))
    private val byKey = HashMap<RunKey, Entry>()
    private var lastNumber = 0L

    /** Lower bound of the latest starts, so that a pass without an expired run does not look at all of them. */
    private var firstExpiryAt = Long.MAX_VALUE

    @Volatile
    var isEmpty = true
        private set

    val size: Int get() = synchronized(lock) { byKey.size }

    /**
     * Adds the run of [order], unless it waits already. If that makes the queue longer than its bound, the least urgent run is removed and
     * returned, which may be the added one.
     */
    fun add(order: RunOrder): RunOrder? = synchronized(lock) {
        if (order.key in byKey) return@synchronized null
        val entry = Entry(order, ++lastNumber)
        byKey[order.key] = entry
        byUrgency += entry
        firstExpiryAt = minOf(firstExpiryAt, order.latestStartAt)
        isEmpty = false
        if (byKey.size > maxRuns) byUrgency.last().order.also { removeEntry(it.key) } else null
    }

    /** Removes the run [key]. Returns false if it does not wait: it was started, removed or never added. */
    fun remove(key: RunKey): Boolean = synchronized(lock) { removeEntry(key) }

    private fun removeEntry(key: RunKey): Boolean {
        val entry = byKey.remove(key) ?: return false
        byUrgency -= entry
        isEmpty = byKey.isEmpty()
        return true
    }

    /** Removes and returns the runs that [matches] selects. */
    fun removeIf(matches: (RunOrder) -> Boolean): List<RunOrder> = synchronized(lock) {
        val removed = byUrgency.map { it.order }.filter(matches)
        removed.forEach { removeEntry(it.key) }
        removed
    }

    /** Removes and returns the runs that may not be started any more at [now]. */
    fun removeExpired(now: Long): List<RunOrder> = synchronized(lock) {
        if (isEmpty || now < firstExpiryAt) return@synchronized emptyList()
        val expired = removeIf { now >= it.latestStartAt }
        firstExpiryAt = byKey.values.minOfOrNull { it.order.latestStartAt } ?: Long.MAX_VALUE
        expired
    }

    /** Calls [start] for the run [key] if it still waits. A run that [start] has started, as it returns, is removed. */
    fun startIfWaiting(key: RunKey, start: (RunOrder) -> Boolean): Boolean = synchronized(lock) {
        val entry = byKey[key] ?: return@synchronized false
        start(entry.order) && removeEntry(key)
    }

    /** All waiting runs, the most urgent one first. */
    fun inOrder(): List<RunOrder> = if (isEmpty) emptyList() else synchronized(lock) { byUrgency.map { it.order } }

    /** Incarnations of the VMs that dispatched the waiting runs. */
    fun origins(): Set<String> = if (isEmpty) emptySet() else synchronized(lock) { byKey.keys.mapTo(HashSet()) { it.origin } }

    private companion object {
        /** More runs could not start before their latest start: it is some times the number of runs that a VM's workers take at once. */
        const val MAX_RUNS = 512
    }
}
