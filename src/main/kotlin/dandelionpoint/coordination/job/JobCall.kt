package dandelionpoint.coordination.job

import dandelionpoint.protocol.SubmissionId

/**
 * A call to read, wait for or cancel an earlier submission. [team] is the caller's team, null for an operator; [waitMs] is how long to
 * wait for the job to end.
 */
internal data class JobCall(
    val id: SubmissionId,
    val team: String?,
    val waitMs: Int = 0,
    val cancel: Boolean = false,
    val hops: Int = 0,
    val traceParent: String? = null,
)
