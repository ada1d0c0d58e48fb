/* Waiting tasks by the time of their arrival. */
package dandelionpoint.coordination.placement

import dandelionpoint.protocol.peer.WaitingTasks

/** The quotient of [dividend] and [divisor], rounded up. */
internal fun ceilDiv(dividend: Int, divisor: Int): Int = (dividend + divisor - 1) / divisor

/** [count] waiting tasks that arrived at [arrivedMs], in ms. */
internal class ArrivalGroup(val arrivedMs: Long, var count: Int)

/**
 * Estimates the arrival times of the waiting tasks of a VM from their number alone, assuming that tasks are placed in order of arrival.
 * Called under the lock that guards the exchange of slots.
 */
internal class Backlog {
    private val groups = ArrayDeque<ArrivalGroup>()
    var total = 0
        private set
    private var placedBefore = 0L

    /** Updates the groups, given that [waiting] tasks wait now and that [placed] tasks have been placed in total so far. */
    fun update(waiting: Int, placed: Long, nowMs: Long) {
        remove((placed - placedBefore).toInt())
        placedBefore = placed
        if (waiting < total) remove(total - waiting)
        if (waiting > total) add(waiting - total, nowMs)
    }

    private fun add(count: Int, nowMs: Long) {
        total += count
        val last = groups.lastOrNull()
        if (last != null &&
            (last.arrivedMs == nowMs || groups.size >= MAX_GROUPS)
        ) {
            last.count += count
        } else {
            groups.addLast(ArrivalGroup(nowMs, count))
        }
    }

    private fun remove(count: Int) {
        var left = minOf(count, total)
        total -= left
        while (left > 0) {
            val first = groups.first()
            val removed = minOf(left, first.count)
            first.count -= removed
            left -= removed
            if (first.count == 0) groups.removeFirst()
        }
    }

    /** The tasks of [subset] with their ages, as sent to an allocator with a slot request. */
    fun subsetForRequest(size: Int, nowMs: Long): List<WaitingTasks> = subset(size).map { WaitingTasks(nowMs - it.arrivedMs, it.count) }

    /** [size] of the waiting tasks, with the same distribution of arrival times as all of them. */
    fun subset(size: Int): List<ArrivalGroup> {
        if (total == 0 || size <= 0) return emptyList()
        val subset = ArrayList<ArrivalGroup>(groups.size)
        var seen = 0L
        var selected = 0L
        for (group in groups) {
            seen += group.count
            val count = (seen * size + total - 1) / total - selected
            selected += count
            if (count > 0) subset.add(ArrivalGroup(group.arrivedMs, count.toInt()))
        }
        return subset
    }

    private companion object {
        /** Limits the size of a slot request. Tasks that arrive when there are this many groups are added to the newest group. */
        const val MAX_GROUPS = 16
    }
}
