/* Division of an allocator's slots among the VMs that request them. */
package dandelionpoint.coordination.placement

/** Slots that a VM holds from this allocator, and the tasks for which it requests more, oldest first. */
internal class SlotDemand(val held: Int, val waiting: List<ArrivalGroup>) {
    val waitingTasks = waiting.sumOf { it.count }
}

/** Slots that a VM is granted from the free ones now, and the slots it holds beyond its share while other VMs are below theirs. */
internal class SlotShare(val granted: Int, val surplus: Int)

internal object SlotShares {
    /**
     * Divides [free] slots, and those that become free as tasks end, among [demands]. If they are too few, each VM with waiting tasks is
     * entitled to an equal share, at least one slot, so that a single request does not wait for the jobs of other VMs. What a VM does
     * not need of its share goes to the other tasks in order of arrival.
     */
    fun divide(free: Int, demands: List<SlotDemand>): List<SlotShare> {
        if (demands.sumOf { it.waitingTasks } <= free) return demands.map { SlotShare(it.waitingTasks, 0) }
        val pool = free + demands.sumOf { it.held }
        val equalShare = maxOf(1, pool / demands.count { it.waitingTasks > 0 })
        val granted = assign(free, demands, IntArray(demands.size) { maxOf(0, equalShare - demands[it].held) })
        val targets = assign(pool, demands, IntArray(demands.size) { equalShare })
        val lacking = demands.indices.sumOf { maxOf(0, targets[it] - demands[it].held - granted[it]) }
        return demands.indices.map { SlotShare(granted[it], (demands[it].held - targets[it]).coerceIn(0, lacking)) }
    }

    /** Assigns [slots] first up to [entitled] to each VM, then in order of arrival. */
    private fun assign(slots: Int, demands: List<SlotDemand>, entitled: IntArray): IntArray {
        val assigned = IntArray(demands.size)
        var left = slots
        for (index in demands.indices) {
            assigned[index] = minOf(left, entitled[index], demands[index].waitingTasks)
            left -= assigned[index]
        }
        val groups = demands.indices.flatMap { index -> demands[index].waiting.map { index to it } }.sortedBy { it.second.arrivedMs }
        for ((index, group) in groups) {
            val count = minOf(left, group.count, demands[index].waitingTasks - assigned[index])
            assigned[index] += count
            left -= count
        }
        return assigned
    }
}
