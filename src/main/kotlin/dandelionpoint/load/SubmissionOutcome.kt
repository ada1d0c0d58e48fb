/* Answers that callers received, for comparison with the upstream's start log. */
package dandelionpoint.load

import dandelionpoint.protocol.ResultCode

/**
 * One attempt to submit work, and its answer. Times are in ms from the start of the replay. [isResubmission] marks attempts of a
 * resubmission that the trace prescribes; it runs concurrently with the first submission.
 */
internal data class Attempt(val sentMs: Double, val answeredMs: Double, val answer: Answer, val isResubmission: Boolean = false)

/** A submission with its answers. [id] is the first part of its tasks' keys; [attempts] are in order of their answers. */
internal data class SubmissionOutcome(val submission: Submission, val id: String, val attempts: List<Attempt>) {
    private val finalAttempt: Attempt = attempts.last { !it.isResubmission }

    /** The result code of the final answer, or null if it has none. */
    val code: ResultCode? = finalAttempt.answer.code

    /** Why the final attempt has no usable answer, or null if it has one. */
    val failureReason: String? = (finalAttempt.answer as? Answer.CallFailed)?.reason

    /** Time in ms from the planned arrival to the final answer, so that a late send counts as response time. */
    val responseMs: Double = finalAttempt.answeredMs - submission.atMs

    /** Time in ms from the planned arrival to the first send. */
    val sendLagMs: Double = attempts.minOf { it.sentMs } - submission.atMs

    /** When the caller received the final answer, in ms from the start of the replay. */
    val answeredMs: Double = finalAttempt.answeredMs

    val isOk: Boolean = code == ResultCode.OK

    val isOkInTime: Boolean = isOk && responseMs <= submission.deadlineMs

    val faults: Set<AnswerFault> = attempts.flatMapTo(mutableSetOf()) { checkAnswer(id, submission.tasks.size, it.answer) }

    /** Keys of all tasks. */
    fun keys(): List<String> = submission.tasks.indices.map { taskKey(id, it) }
}
