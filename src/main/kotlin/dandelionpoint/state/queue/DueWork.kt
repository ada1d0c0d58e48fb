/* Queued work by the time at which it is due. */
package dandelionpoint.state.queue

import java.util.TreeMap

/** Sums of queued work in slot-ms per interval of deadlines. Guarded by the lock of its owner. */
internal class DueWork {
    private val slotMsByInterval = TreeMap<Long, Long>()

    /** Adds [slotMs] of work that is due at [deadlineMs]; a negative amount removes work. */
    fun add(deadlineMs: Long, slotMs: Long) {
        slotMsByInterval.merge(deadlineMs / INTERVAL_MS, slotMs) { old, change -> (old + change).takeIf { it != 0L } }
    }

    /**
     * The lowest number of slots that completes all work by its deadlines: the highest quotient of the work due by a time and the time left
     * until then. Leaves out deadlines that would need more than [limit] slots, since that work is lost in any case.
     */
    fun neededSlots(nowMs: Long, limit: Double): Double = neededSlotsWith(nowMs, 0, 0, limit)

    /** Like [neededSlots], for the deadlines from [deadlineMs] on, if [slotMs] of work due at [deadlineMs] were added. */
    fun neededSlotsWith(nowMs: Long, deadlineMs: Long, slotMs: Long, limit: Double): Double {
        val interval = deadlineMs / INTERVAL_MS
        var due = slotMsByInterval.headMap(interval, true).values.sum()
        var needed = (due + slotMs) / timeLeft(deadlineMs, nowMs)
        for ((later, work) in slotMsByInterval.tailMap(interval, false)) {
            due += work
            val left = timeLeft(later * INTERVAL_MS, nowMs)
            if (due / left <= limit) needed = maxOf(needed, (due + slotMs) / left)
        }
        return needed
    }

    private fun timeLeft(deadlineMs: Long, nowMs: Long) = (deadlineMs - nowMs).coerceAtLeast(1).toDouble()

    private companion object {
        /** Resolution of deadlines. Finer than most run times of tasks, and coarse enough that a queue of one minute has few intervals. */
        const val INTERVAL_MS = 100L
    }
}
