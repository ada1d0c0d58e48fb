/* Counts the slots that allocators have recalled from this VM. */
package dandelionpoint.coordination.placement

import dandelionpoint.protocol.peer.VmIdentity
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Number of slots to return to each allocator as tasks end. Thread-safe without a lock. */
internal class SlotRecalls {
    private val counts = ConcurrentHashMap<VmIdentity, AtomicInteger>()

    /** Sets the number of slots to return to [allocator]; replaces the previous number. */
    fun set(allocator: VmIdentity, count: Int) {
        val counter = counts[allocator]
        if (counter != null) {
            counter.set(count)
        } else if (count > 0) {
            counts[allocator] = AtomicInteger(count)
        }
    }

    /** Claims one recalled slot of [allocator], to be returned now; false if there is none. */
    fun tryClaim(allocator: VmIdentity): Boolean {
        val counter = counts[allocator] ?: return false
        return counter.get() > 0 && counter.getAndUpdate { maxOf(0, it - 1) } > 0
    }

    /** Drops the counts of allocators that are not in [live]. */
    fun retain(live: Set<VmIdentity>) {
        counts.keys.retainAll(live)
    }
}
