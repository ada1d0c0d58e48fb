/*
 * Ownership of cells. A cell is the set of workers of one data centre. The claim, a row of the shared store, names the VM that owns the
 * cell; the row's version when it was claimed is the fencing token, so that a later claim always has a higher token. A VM owns a cell
 * until it stops or fails. Another VM takes the cell over only if it receives no heartbeats from the owner and the owner has also stopped
 * renewing its claim, so that an owner that only one VM cannot reach is not replaced.
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

/** A VM that may own cells. */
internal data class Candidate(val name: String, val dataCentre: String)

internal object ClaimRules {
    /**
     * The VM that should take over [cell], preferably one of the same data centre. All VMs with the same [candidates] choose the same one.
     */
    fun successor(cell: String, candidates: Collection<Candidate>): Candidate? {
        val preferred = candidates.filter { it.dataCentre == cell }.ifEmpty { candidates }
        return preferred.maxByOrNull { rendezvousWeight(cell, it.name) }
    }

    /** True if the owner has released [claim], or had stopped renewing it when it was read at [storeMs] on the store's clock. */
    fun isStale(claim: CellClaim, storeMs: Long, rules: FleetRules): Boolean =
        claim.isReleased || storeMs - claim.renewedAtStoreMs > rules.claimStaleMs

    /** Weight of [vm] for [cell] in rendezvous hashing: the VM with the highest weight is chosen. */
    private fun rendezvousWeight(cell: String, vm: String): Int {
        var hash = "$cell/$vm".hashCode()
        hash = (hash xor (hash ushr 16)) * -0x7a143589
        return hash xor (hash ushr 13)
    }
}
