/*
 * The list of workers as the shared store last showed it. Entries that lapsed while the store was away may return shortly after it: such
 * a worker stays listed until the grace has passed.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.WorkerEntry

/** The list. All times are in ms on the VM's monotonic clock. */
internal class WorkerList(private val rules: FleetRules) {
    private val lock = Any()
    private val entries = HashMap<String, WorkerEntry>()
    private val missingSince = HashMap<String, Long>()
    private var lastContact: Long? = null
    private var returnedAt = Long.MIN_VALUE / 2

    /** The store answered at [now]. */
    fun contact(now: Long) {
        synchronized(lock) {
            val last = lastContact
            if (last != null && now - last > AWAY_MS) returnedAt = now
            lastContact = now
        }
    }

    /** Takes an entry that is new or has changed. */
    fun put(entry: WorkerEntry) {
        synchronized(lock) {
            entries[entry.id] = entry
            missingSince.remove(entry.id)
        }
    }

    /** The entry of [id] is no longer there. */
    fun removed(id: String, now: Long) {
        synchronized(lock) { if (id in entries) missingSince.putIfAbsent(id, now) }
    }

    /** Takes the whole list. */
    fun replaceAll(all: List<WorkerEntry>, now: Long) {
        all.forEach { put(it) }
        val present = all.map { it.id }.toSet()
        synchronized(lock) { entries.keys.filter { it !in present } }.forEach { removed(it, now) }
    }

    /** Workers to use at [now]. */
    fun current(now: Long): List<WorkerEntry> = synchronized(lock) {
        val isGrace = now - returnedAt < rules.lapsedGraceMs
        if (!isGrace) {
            missingSince.keys.forEach { entries.remove(it) }
            missingSince.clear()
        }
        entries.values.toList()
    }

    private companion object {
        /** The store counts as having been away after this long without an answer. */
        const val AWAY_MS = 1_800L
    }
}
