/*
 * The list of workers as last read from the shared store. Entries that expired while the store was unavailable may reappear shortly after
 * it is available again, so a missing worker stays listed until a grace period after the store's return has passed.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.WorkerEntry

/** The workers by id. All times are in ms on the VM's monotonic clock. */
internal class WorkerList(private val rules: FleetRules) {
    private val lock = Any()
    private val entries = HashMap<String, WorkerEntry>()
    private val missingSince = HashMap<String, Long>()

    /** The list that [current] has last returned, null if an entry has changed since. */
    private var listed: List<WorkerEntry>? = null
    private var lastStoreAnswerAt: Long? = null
    private var storeAvailableSince = Long.MIN_VALUE / 2

    /** Records that the store answered at [now]. */
    fun onStoreAnswer(now: Long) {
        synchronized(lock) {
            val last = lastStoreAnswerAt
            if (last != null && now - last > STORE_UNAVAILABLE_MS) storeAvailableSince = now
            lastStoreAnswerAt = now
        }
    }

    /** Adds or updates [entry]. */
    fun put(entry: WorkerEntry) {
        synchronized(lock) {
            if (entries.put(entry.id, entry) != entry) listed = null
            missingSince.remove(entry.id)
        }
    }

    /** Records that the store no longer has an entry for [id]. */
    fun onRemoved(id: String, now: Long) {
        synchronized(lock) { if (id in entries) missingSince.putIfAbsent(id, now) }
    }

    /** Applies the whole list, [all], as read from the store. */
    fun replaceAll(all: List<WorkerEntry>, now: Long) {
        all.forEach { put(it) }
        val present = all.map { it.id }.toSet()
        synchronized(lock) { entries.keys.filter { it !in present } }.forEach { onRemoved(it, now) }
    }

    /** The workers listed at [now], including missing ones during the grace period. While nothing changes, it is the same list. */
    fun current(now: Long): List<WorkerEntry> = synchronized(lock) {
        val isGrace = now - storeAvailableSince < rules.expiredEntryGraceMs
        if (!isGrace && missingSince.isNotEmpty()) {
            missingSince.keys.forEach { entries.remove(it) }
            missingSince.clear()
            listed = null
        }
        listed ?: entries.values.toList().also { listed = it }
    }

    private companion object {
        /** The store counts as unavailable after this long without an answer, in ms. */
        const val STORE_UNAVAILABLE_MS = 1_800L
    }
}
