/*
 * Whether a run whose rack is full waits for the rack or goes elsewhere, where it takes longer. It waits while it is expected to end
 * earlier in the rack, by the estimates and the progress of the runs there and by the runs that wait already. Invariants: no run waits at
 * or after its latest start, or for longer than the time that it could have saved when it began to wait, however wrong the estimates are.
 * All times are in ms.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.TaskRef

/** Capacity of a worker that is expected to be free for a run after [waitMs], where the run takes [expectedMs]. */
internal data class RackSlot(val waitMs: Long, val expectedMs: Long)

/** The runs that wait for a rack. Not thread-safe. Times are on the VM's monotonic clock. */
internal class RackWaits {
    private class Waiting(val rack: String, val until: Long, var seenAt: Long)

    /** In the order in which the runs have begun to wait. */
    private val waiting = LinkedHashMap<TaskRef, Waiting>()

    /**
     * True if [order], which can be started elsewhere at [now] and takes [elsewhereMs] there, waits for its rack instead. [slots] are those
     * of the rack's workers.
     */
    fun waits(order: RunOrder, slots: List<RackSlot>, elsewhereMs: Long, now: Long): Boolean {
        waiting.values.removeIf { now - it.seenAt > FORGET_MS }
        val rack = order.rack ?: return false
        val own = waiting[order.task]
        val ahead = waiting.entries.takeWhile { it.key != order.task }.count { it.value.rack == rack }
        val slot = slots.sortedBy { it.waitMs }.getOrNull(ahead)
        val hasWaitedLong = own != null && now >= own.until
        if (slot == null || hasWaitedLong || !isWorthwhile(order, slot, elsewhereMs, now)) {
            waiting.remove(order.task)
            return false
        }
        if (own == null) {
            waiting[order.task] = Waiting(rack, until = now + elsewhereMs - slot.expectedMs, seenAt = now)
        } else {
            own.seenAt = now
        }
        return true
    }

    private fun isWorthwhile(order: RunOrder, slot: RackSlot, elsewhereMs: Long, now: Long): Boolean =
        slot.waitMs + slot.expectedMs < elsewhereMs && now + maxOf(slot.waitMs, PASS_MS) < order.latestStartAt

    /** The run of [task] has been started. */
    fun forget(task: TaskRef) {
        waiting.remove(task)
    }

    private companion object {
        /** Longest time until the next scheduling pass, which looks at a waiting run again. */
        const val PASS_MS = 50L

        /** A run that has not been looked at for this long does not wait any more. */
        const val FORGET_MS = 200L
    }
}

/** The slots of the workers in the rack of [order]. */
internal fun Collection<TrackedWorker>.rackSlots(order: RunOrder, now: Long): List<RackSlot> =
    filter { it.isInRack(order) }.flatMap { it.slots(order, now) }

/**
 * When the capacity for [order], and for further runs like it, becomes free on this worker: at most [MAX_SLOTS] slots. Empty if the run
 * cannot be started here at all.
 */
internal fun TrackedWorker.slots(order: RunOrder, now: Long): List<RackSlot> {
    if (!couldRun(order, now)) return emptyList()
    val slots = mutableListOf<RackSlot>()
    var free = free()
    fun addSlots(waitMs: Long) {
        while (slots.size < MAX_SLOTS && free.covers(order.demand)) {
            slots += RackSlot(waitMs, expectedMs(order))
            free -= order.demand
        }
    }
    addSlots(waitMs = 0)
    runs.values.sortedBy { remainingMs(it, now) }.forEach { run ->
        free += run.order.demand
        addSlots(remainingMs(run, now))
    }
    return slots
}

/** Expected time until [run] ends. One that has taken longer than expected is expected to go on for half as long again. */
private fun TrackedWorker.remainingMs(run: TrackedRun, now: Long): Long {
    val elapsed = now - run.orderedAt
    val remaining = (run.projectedMs ?: expectedMs(run.order)) - elapsed
    return if (remaining > 0) remaining else elapsed / 2
}

private const val MAX_SLOTS = 16
