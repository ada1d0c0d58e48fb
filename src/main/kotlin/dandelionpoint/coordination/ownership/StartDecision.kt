/* Answers of shard ownership to the entry VM. */
package dandelionpoint.coordination.ownership

import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.state.record.Record

/** Whether a submission may start on this VM. */
internal sealed interface StartDecision {
    /** The caller starts the submission now; no other call for this id gets this answer. */
    data object Start : StartDecision

    /** The submission is already running. */
    data object Running : StartDecision

    data class Finished(val record: Record) : StartDecision

    data class Refused(val refusal: Refusal) : StartDecision

    /** The VM [to] decides on the submission. */
    data class Forward(val to: VmIdentity) : StartDecision
}

/** State of a submission as far as this VM knows it. */
internal sealed interface Lookup {
    data object Running : Lookup

    data class Finished(val record: Record) : Lookup

    /** The submission has not started anywhere. */
    data object Unknown : Lookup

    /** The submission may have started under an earlier owner, and its outcome is unknown. */
    data object OwnerLost : Lookup

    /** The VM [to] has the state. */
    data class Forward(val to: VmIdentity) : Lookup
}

/** The VM that owns the shard of an id, as far as this VM knows. */
internal sealed interface ShardOwner {
    data object Self : ShardOwner

    data class Other(val vm: VmIdentity) : ShardOwner

    data object None : ShardOwner
}
