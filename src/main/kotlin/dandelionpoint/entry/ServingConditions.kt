package dandelionpoint.entry

import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.peer.ServingState

/** Conditions that determine the serving state of a VM. [hasHadWorkers] is true once a worker with usable slots has been known. */
internal data class ServingConditions(
    val isDraining: Boolean,
    val hasConfiguration: Boolean,
    val configurationAgeMs: Long,
    val hasHadWorkers: Boolean,
)

/**
 * Longest time without a confirmation of the configuration before a VM counts as cut off, in ms. A change must be in force on every VM
 * within this time (promise P8), so after it a newer version may be in force on other VMs.
 */
internal const val CUT_OFF_AFTER_MS = 13_000L

/** State of a VM under [conditions]. A VM without a configuration or without workers does not serve. */
internal fun servingState(conditions: ServingConditions): ServingState = when {
    conditions.isDraining -> ServingState.DRAINING
    !conditions.hasConfiguration || !conditions.hasHadWorkers -> ServingState.STARTING
    conditions.configurationAgeMs > CUT_OFF_AFTER_MS -> ServingState.SERVING_CUT_OFF
    else -> ServingState.SERVING
}

/** The refusal for new work of a team on a VM in [state], or null if new work is accepted. */
internal fun newWorkRefusal(state: ServingState, acceptsNewJobs: Boolean, isTeamKnown: Boolean): Refusal? = when {
    state == ServingState.STARTING -> Refusal(ResultCode.STARTING)
    !acceptsNewJobs -> Refusal(ResultCode.MAINTENANCE)
    !isTeamKnown -> Refusal(ResultCode.UNKNOWN_TEAM)
    else -> null
}
