/*
 * Claims of cells. The claim, a row of the shared store, names the VM that owns the cell; the version of the write that claimed it is the
 * fencing token, so that a later claim always has a higher token. A VM owns a cell until it stops, fails or hands it over. Another VM takes
 * the cell over only if it receives no heartbeats from the owner and the owner has also stopped renewing its claim, so that an owner that
 * only one VM cannot reach is not replaced.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.VmIdentity
import kotlinx.serialization.Serializable

/**
 * Value of a cell's row in the shared store: [vm] owns the cell. [renewedAtStoreMs] is the last renewal on the store's clock, in ms.
 * [token] is 0 until the first renewal, since the token is the version that the store gives to the first write.
 */
@Serializable
internal data class CellClaim(val vm: VmIdentity, val token: Long, val renewedAtStoreMs: Long, val isReleased: Boolean = false)

internal object ClaimRules {
    /** True if the owner has released [claim], or had stopped renewing it when it was read at [storeMs] on the store's clock. */
    fun isStale(claim: CellClaim, storeMs: Long, rules: FleetRules): Boolean =
        claim.isReleased || storeMs - claim.renewedAtStoreMs > rules.claimStaleMs
}
