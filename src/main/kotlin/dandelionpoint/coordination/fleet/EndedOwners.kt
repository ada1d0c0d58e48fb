package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.VmIdentity
import java.util.concurrent.ConcurrentHashMap

/** Owners of cells whose processes were found to have ended. Times are in ms on this VM's monotonic clock unless stated otherwise. */
internal class EndedOwners {
    private val foundAt = ConcurrentHashMap<String, Long>()

    /** The process of [vm] was found at [now] to have ended. */
    fun add(vm: VmIdentity, now: Long) {
        foundAt.values.removeIf { now - it > KEPT_MS }
        foundAt[vm.incarnation] = now
    }

    /** [vm] is alive: what seemed to show the end of its process did not. */
    fun remove(vm: VmIdentity) {
        foundAt.remove(vm.incarnation)
    }

    /** True if the owner of [claim], which was read at [now], [storeMs] on the store's clock, has ended and has not renewed it since. */
    fun includeOwnerOf(claim: CellClaim, storeMs: Long, now: Long): Boolean {
        val found = foundAt[claim.vm.incarnation] ?: return false
        return storeMs - claim.renewedAtStoreMs >= now - found
    }

    private companion object {
        /** How long an owner is remembered, in ms: longer than its cells take to be claimed. */
        const val KEPT_MS = 60_000L
    }
}
