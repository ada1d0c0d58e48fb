/* The state of a job as it is returned to callers. */
package dandelionpoint.protocol

import kotlinx.serialization.Serializable

/** State of a job. The last three are final. */
@Serializable
enum class JobState(val isFinal: Boolean) {
    QUEUED(false),
    RUNNING(false),
    COMPLETE(true),
    FAILED(true),
    CANCELLED(true),
}

/**
 * Snapshot of a job for its caller. [results] has one entry for each task, in the order of the submission, if and only if [state] is
 * [JobState.COMPLETE]; otherwise it is null. [recorded] is false if the outcome could not yet be written to the platform, so that
 * it is lost if the VM fails.
 */
@Serializable
data class JobView(
    val id: SubmissionId,
    val team: String,
    val state: JobState,
    val code: ResultCode = ResultCode.OK,
    val detail: String = "",
    val tasks: Int,
    val started: Int = 0,
    val finished: Int = 0,
    val results: List<String>? = null,
    val recorded: Boolean = false,
)
