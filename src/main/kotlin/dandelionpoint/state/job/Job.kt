/*
 * A job that this VM runs. All changes are made under the job's own lock, so that a job has exactly one final state, a task starts only
 * while the job is not final, and the outcome 'not run' is reported only if no task of the job has started.
 */
package dandelionpoint.state.job

import dandelionpoint.protocol.Certainty
import dandelionpoint.protocol.JobState
import dandelionpoint.protocol.JobSubmission
import dandelionpoint.protocol.JobView
import dandelionpoint.protocol.ResultCode
import kotlinx.coroutines.CompletableDeferred

/** A queued, running or finished job. [receivedMs] and [deadlineMs] are on the VM's monotonic clock, in ms. */
internal class Job(val submission: JobSubmission, val digest: String, val receivedMs: Long, val deadlineMs: Long) {
    private val lock = Any()
    private val results = arrayOfNulls<String>(submission.tasks.size)
    private var state = JobState.QUEUED
    private var code = ResultCode.OK
    private var detail = ""
    private var started = 0
    private var finished = 0

    /** True once the record of the outcome is durable in the platform's table. */
    @Volatile
    var recorded = false

    /** Completes with the final view. */
    val done = CompletableDeferred<JobView>()

    /** Counts a task as started. Returns false if the job is final: the task must then not be sent. */
    fun beginTask(): Boolean = synchronized(lock) {
        if (state.isFinal) return false
        state = JobState.RUNNING
        started++
        true
    }

    /** Reverts [beginTask] for a task that certainly has not started. */
    fun taskNotStarted() = synchronized(lock) {
        started--
        if (started == 0 && !state.isFinal) state = JobState.QUEUED
    }

    /** Stores [body] as the result of task [index], unless it has one or the job is final. The last result completes the job. */
    fun completeTask(index: Int, body: String) {
        val complete =
            synchronized(lock) {
                if (state.isFinal || results[index] != null) return
                results[index] = body
                finished++
                (finished == results.size).also { if (it) state = JobState.COMPLETE }
            }
        if (complete) done.complete(view())
    }

    /**
     * Ends the job in state [final]. Its code is [whenQueued], which must have the certainty 'not run', if no task has started, and
     * [whenStarted] otherwise. Returns false if the job was already final.
     */
    fun fail(whenQueued: ResultCode, whenStarted: ResultCode, reason: String? = null, final: JobState = JobState.FAILED): Boolean {
        require(whenQueued.certainty == Certainty.NOT_RUN && whenStarted.certainty != Certainty.NOT_RUN)
        synchronized(lock) {
            if (state.isFinal) return false
            state = final
            code = if (started == 0) whenQueued else whenStarted
            detail = reason ?: code.advice
        }
        done.complete(view())
        return true
    }

    /** Cancels the job. Returns false if it was already final. */
    fun cancel(): Boolean = fail(ResultCode.CANCELLED, ResultCode.CANCELLED_RUNNING, final = JobState.CANCELLED)

    /** The job as its caller sees it. */
    fun view(): JobView = synchronized(lock) {
        JobView(
            id = submission.id,
            team = submission.team,
            state = state,
            code = code,
            detail = detail,
            tasks = results.size,
            started = started,
            finished = finished,
            results = if (state == JobState.COMPLETE) results.map { checkNotNull(it) } else null,
            recorded = recorded,
        )
    }
}
