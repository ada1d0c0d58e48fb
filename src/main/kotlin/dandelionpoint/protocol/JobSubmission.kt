/* Submissions as clients send them, over HTTP as JSON and between VMs as CBOR. */
package dandelionpoint.protocol

import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** One task of a job. [payload] is passed to the worker as it is; [declaredMs] is the client's estimate of its run time, 0 if none. */
@Serializable
data class TaskSpec(val payload: String, val declaredMs: Int = 0)

/**
 * A job of one or more tasks. [deadlineMs] counts from the receipt of the submission. [taskClass] groups tasks of similar run
 * time for estimates. [memoryMb] is what one task needs at most.
 */
@Serializable
data class JobSubmission(
    val id: SubmissionId,
    val team: String,
    val tasks: List<TaskSpec>,
    val deadlineMs: Int = DEFAULT_DEADLINE_MS,
    val idempotent: Boolean = false,
    val taskClass: String = "default",
    val memoryMb: Int = 0,
) {
    /** Digest of all fields that define the work, to detect an id that is reused with another body. */
    fun digest(): String {
        val sha = MessageDigest.getInstance("SHA-256")
        sha.update("$team|$deadlineMs|$idempotent|$taskClass|$memoryMb|${tasks.size}".toByteArray())
        tasks.forEach {
            sha.update("|${it.payload.length}|${it.declaredMs}|".toByteArray())
            sha.update(it.payload.toByteArray())
        }
        return sha.digest().take(DIGEST_BYTES).joinToString("") { "%02x".format(it) }
    }

    companion object {
        /** Deadline of a submission that specifies none, in ms. */
        const val DEFAULT_DEADLINE_MS = 60_000

        /** Largest number of tasks in a job. */
        const val MAX_TASKS = 1_200
        private const val DIGEST_BYTES = 16
    }
}

/** A single request. Without an [id] it is served by the VM that received it, and no record of it is written. */
@Serializable
data class RequestSubmission(
    val team: String,
    val payload: String,
    val id: SubmissionId? = null,
    val idempotent: Boolean = false,
    val deadlineMs: Int = JobSubmission.DEFAULT_DEADLINE_MS,
    val declaredMs: Int = 0,
    val taskClass: String = "request",
    val memoryMb: Int = 0,
)
