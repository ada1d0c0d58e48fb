/* Checks of a submission that need no state. */
package dandelionpoint.coordination.job

import dandelionpoint.protocol.JobSubmission
import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.RequestSubmission
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.TaskSpec

/** Largest task payload, in characters. */
internal const val MAX_PAYLOAD_CHARS = 64 * 1024

/** Longest deadline, in ms. It must stay far below the time for which the record of a submission is kept. */
internal const val MAX_DEADLINE_MS = 600_000

private const val MAX_NAME_CHARS = 64

/** Returns the refusal of [submission], or null if it is valid. */
internal fun refusalOf(submission: JobSubmission): Refusal? = when {
    SubmissionId.parse(submission.id.text) == null -> Refusal(ResultCode.BAD_ID)
    submission.tasks.isEmpty() -> Refusal(ResultCode.BAD_BODY, "tasks: a job has at least one task")
    submission.tasks.size > JobSubmission.MAX_TASKS -> Refusal(ResultCode.TOO_MANY_TASKS)
    submission.deadlineMs !in 1..MAX_DEADLINE_MS -> Refusal(ResultCode.BAD_BODY, "deadlineMs: from 1 to $MAX_DEADLINE_MS ms")
    submission.memoryMb < 0 -> Refusal(ResultCode.BAD_BODY, "memoryMb: at least 0")
    submission.taskClass.length !in 1..MAX_NAME_CHARS -> Refusal(ResultCode.BAD_BODY, "taskClass: 1 to $MAX_NAME_CHARS characters")
    submission.tasks.any { it.declaredMs < 0 } -> Refusal(ResultCode.BAD_BODY, "declaredMs: at least 0")
    submission.tasks.any { it.payload.length > MAX_PAYLOAD_CHARS } -> Refusal(ResultCode.BODY_TOO_LARGE, "a task payload is too large")
    submission.tasks.maxOf { it.declaredMs } > submission.deadlineMs -> Refusal(ResultCode.DEADLINE_BELOW_TASK)
    else -> null
}

/** Converts a request to a job of one task with the id [id]. */
internal fun RequestSubmission.asJob(id: SubmissionId) = JobSubmission(
    id = id,
    team = team,
    tasks = listOf(TaskSpec(payload, declaredMs)),
    deadlineMs = deadlineMs,
    idempotent = idempotent,
    taskClass = taskClass,
    memoryMb = memoryMb,
)
