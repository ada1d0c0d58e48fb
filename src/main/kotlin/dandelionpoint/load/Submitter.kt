/* Submits work as a client does: tries one entry VM after another until it has a final answer. */
package dandelionpoint.load

import dandelionpoint.protocol.JobSubmission
import dandelionpoint.protocol.RequestSubmission
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.TaskSpec
import kotlinx.coroutines.delay
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlin.random.Random

/** Submits work to the entry VMs at [entries]. [nowMs] returns the time since the start of the replay. */
internal class Submitter(private val client: EntryClient, private val entries: List<EntryAddress>, private val nowMs: () -> Double) {
    private val json = Json { encodeDefaults = true }

    /** Submits [submission] with [id] and returns all attempts, the final one last. [random] orders the VMs, as a load balancer would. */
    suspend fun submit(submission: Submission, id: SubmissionId, random: Random, isResubmission: Boolean = false): List<Attempt> {
        val shuffledEntries = entries.shuffled(random)
        val body = encodeBody(submission, id)
        val giveUpAtMs = nowMs() + submission.deadlineMs + GRACE_MS
        val attempts = mutableListOf<Attempt>()
        do {
            val entry = shuffledEntries[attempts.size % shuffledEntries.size]
            val sentMs = nowMs()
            val answer = attempt(submission, id, entry, body, giveUpAtMs)
            attempts += Attempt(sentMs, nowMs(), answer, isResubmission)
            val pauseMs = pauseBeforeRetryMs(submission.kind, answer)
            if (pauseMs != null) delay(pauseMs)
        } while (pauseMs != null && attempts.size < shuffledEntries.size + EXTRA_ATTEMPTS && nowMs() < giveUpAtMs)
        return attempts
    }

    private suspend fun attempt(submission: Submission, id: SubmissionId, entry: EntryAddress, body: String, giveUpAtMs: Double): Answer {
        if (submission.kind == SubmissionKind.REQUEST) {
            return client.post(entry, "/v1/requests", submission.team, body, giveUpAtMs.remainingMs())
        }
        val waitMs = minOf(MAX_WAIT_MS, submission.deadlineMs + WAIT_MARGIN_MS)
        var answer = client.post(entry, "/v1/jobs?waitMs=$waitMs", submission.team, body, giveUpAtMs.remainingMs())
        while (answer is Answer.View && !answer.view.state.isFinal) {
            if (nowMs() >= giveUpAtMs) return Answer.CallFailed(isUnsent = false, "no final state in time")
            answer = client.get(entry, "/v1/jobs/$id?waitMs=$waitMs", submission.team, giveUpAtMs.remainingMs())
        }
        return answer
    }

    /** Pause in ms before the next VM is tried, or null if there must be no further attempt. */
    private fun pauseBeforeRetryMs(kind: SubmissionKind, answer: Answer): Long? {
        val isResubmittable = kind == SubmissionKind.JOB
        return when (answer) {
            is Answer.CallFailed -> if (isResubmittable || answer.isUnsent) 0L else null

            is Answer.Refused ->
                when (answer.code) {
                    ResultCode.STARTING -> 0L
                    ResultCode.OWNER_UNREACHABLE, ResultCode.FORWARD_LOST -> RETRY_PAUSE_MS.takeIf { isResubmittable }
                    else -> null
                }

            is Answer.View, is Answer.Result -> null
        }
    }

    /** Encodes [submission] as the body of its HTTP call. */
    fun encodeBody(submission: Submission, id: SubmissionId): String = when (submission.kind) {
        SubmissionKind.REQUEST -> json.encodeToString(submission.asRequest(id))
        SubmissionKind.JOB -> json.encodeToString(submission.asJob(id))
    }

    private fun Submission.asRequest(id: SubmissionId) = RequestSubmission(
        team = team,
        payload = payload(id, 0),
        idempotent = idempotent,
        deadlineMs = deadlineMs,
        declaredMs = tasks.single().declaredMs,
        taskClass = taskClass,
    )

    private fun Submission.asJob(id: SubmissionId) = JobSubmission(
        id = id,
        team = team,
        tasks = tasks.mapIndexed { index, task -> TaskSpec(payload(id, index), task.declaredMs) },
        deadlineMs = deadlineMs,
        idempotent = idempotent,
        taskClass = taskClass,
    )

    private fun Submission.payload(id: SubmissionId, index: Int): String =
        json.encodeToString(TaskPayload(taskKey(id.text, index), tasks[index].trueMs))

    private fun Double.remainingMs(): Long = (this - nowMs()).toLong().coerceAtLeast(1)

    private companion object {
        /** Longest `waitMs` that the entry VMs accept. */
        const val MAX_WAIT_MS = 60_000
        const val WAIT_MARGIN_MS = 1_000

        /** Time after the deadline at which a client gives up. It exceeds the takeover of a shard, which takes 7 s and one write. */
        const val GRACE_MS = 15_000.0

        /** Attempts in addition to one for each VM. */
        const val EXTRA_ATTEMPTS = 2
        const val RETRY_PAUSE_MS = 100L
    }
}
