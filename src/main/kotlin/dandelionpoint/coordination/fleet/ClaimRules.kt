/*
 * Who keeps a cell. A cell is the workers of one data centre. Its keeper is recorded in a row of the shared store; the version of the
 * row at the claim is the fencing token, so that a later claim always has a higher one. A keeper stays until it stops or is lost. A VM
 * takes over only a cell whose keeper is silent towards it and has also stopped to renew its row: a keeper that only one VM cannot
 * hear is not replaced.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.VmIdentity
import kotlinx.serialization.Serializable

/** Value of a cell's row. [renewedAtStoreMs] is on the store's clock; [token] is 0 in the claim itself, whose version is the token. */
@Serializable
internal data class CellClaim(val vm: VmIdentity, val token: Long, val renewedAtStoreMs: Long, val isReleased: Boolean = false)

/** A VM that may keep cells. */
internal data class Candidate(val name: String, val dataCentre: String)

internal object ClaimRules {
    /** The VM that should take [cell] over: one of the same data centre if there is any, the same choice on every VM. */
    fun successor(cell: String, candidates: Collection<Candidate>): Candidate? {
        val near = candidates.filter { it.dataCentre == cell }.ifEmpty { candidates }
        return near.maxByOrNull { mix(cell, it.name) }
    }

    /** True if the keeper of a claim that was read at [storeMs] has stopped to renew it. */
    fun isStale(claim: CellClaim, storeMs: Long, rules: FleetRules): Boolean =
        claim.isReleased || storeMs - claim.renewedAtStoreMs > rules.claimStaleMs

    /** Rendezvous weight. */
    private fun mix(cell: String, vm: String): Int {
        var hash = "$cell/$vm".hashCode()
        hash = (hash xor (hash ushr 16)) * -0x7a143589
        return hash xor (hash ushr 13)
    }
}
