/* Jobs and tasks in the team queues. */
package dandelionpoint.state.queue

import dandelionpoint.protocol.SubmissionId
import kotlin.math.roundToLong

/**
 * A job accepted for a team's queue. [deadlineMs] is absolute, on the monotonic clock of the VM that holds the job.
 * [expectedTaskMs] is the estimated run time of one task on a worker of speed 1.
 */
internal data class QueuedJob(
    val id: SubmissionId,
    val team: String,
    val deadlineMs: Long,
    val taskCount: Int,
    val expectedTaskMs: Double,
    val taskClass: String = "default",
) {
    /** Expected run time of one task in whole ms, at least 1, so that sums of queued work are exact. */
    val taskSlotMs: Long
        get() = expectedTaskMs.roundToLong().coerceAtLeast(1)

    /**
     * Time by which the work should be handed out so that the last tasks end by the deadline, also on slow workers. For a single task this
     * is the deadline itself, since admission checks its run time separately.
     */
    val dueMs: Long
        get() = deadlineMs - (TAIL_TASKS * taskSlotMs * (taskCount - 1) / taskCount).toLong()

    /** Expected work of the whole job, in slot-ms at speed 1. */
    val slotMs: Long
        get() = taskSlotMs * taskCount

    private companion object {
        /** Time reserved for the last tasks of a job, in expected run times: at least one for a slow worker and one for its spread. */
        const val TAIL_TASKS = 2.5
    }
}

/** Task [index] of [job], from 0. */
internal data class QueuedTask(val job: QueuedJob, val index: Int)
