package dandelionpoint.coordination.fleet

import java.util.concurrent.ConcurrentHashMap

/** Racks that runs have requested in the last few seconds; other runs avoid them. Thread-safe. Times are on the VM's monotonic clock. */
internal class RackDemand {
    private val requestedAt = ConcurrentHashMap<String, Long>()

    /** Records that the run of [order] is to be placed at [now], and returns the racks that it should avoid. */
    fun racksToAvoid(order: RunOrder, now: Long): Set<String> {
        if (order.rack != null) {
            requestedAt[order.rack] = now
            return emptySet()
        }
        if (requestedAt.isEmpty()) return emptySet()
        requestedAt.values.removeIf { now - it > RECENT_MS }
        return requestedAt.keys
    }

    private companion object {
        /** How long a rack is avoided after the last request, in ms: peaks of demand for one rack last some seconds. */
        const val RECENT_MS = 3_000L
    }
}
