package dandelionpoint.coordination.job

import dandelionpoint.coordination.admission.ClusterCapacity
import dandelionpoint.coordination.placement.Placement
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.millis

/**
 * Cluster capacity for admission, cached for [MAX_AGE_MS] because placement sums it over all workers. While no worker has usable slots,
 * for example when slot allocators change, the last capacity that had some is used: work then waits up to its deadline instead of being
 * refused at once.
 */
internal class CapacityView(private val placement: Placement, private val clock: Clock) {
    private class Reading(val capacity: ClusterCapacity?, val atMs: Long)

    @Volatile
    private var last = Reading(null, Long.MIN_VALUE / 2)

    /** The current capacity if it has slots, else the last one that had; null if there never was one. */
    fun lastUsable(): ClusterCapacity? {
        val nowMs = clock.millis()
        val reading = last
        if (nowMs - reading.atMs < MAX_AGE_MS) return reading.capacity
        return read(reading.capacity).also { last = Reading(it, nowMs) }
    }

    private fun read(previous: ClusterCapacity?): ClusterCapacity? {
        val now = placement.capacity()
        if (now.usableSlots == 0) return previous
        return ClusterCapacity(slots = now.usableSlots, speedSum = now.speedSum, largestMemoryMb = now.largestMemoryMb)
    }

    private companion object {
        const val MAX_AGE_MS = 50L
    }
}
