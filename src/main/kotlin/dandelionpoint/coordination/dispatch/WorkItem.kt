package dandelionpoint.coordination.dispatch

import dandelionpoint.coordination.placement.TaskDemand
import dandelionpoint.state.job.Job
import dandelionpoint.state.queue.QueuedJob
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Work in the queues of this VM: a job, or a request as a job of one task. [isRetryable] is true for an idempotent request without an
 * id; only such work may be sent to workers more than once. [traceParent] is the W3C trace context of the caller's span.
 */
internal class WorkItem(val job: Job, val queued: QueuedJob, val isRetryable: Boolean = false, val traceParent: String? = null) {
    /** By task index: ids of the workers to avoid, each until a time in ms on the VM's monotonic clock. */
    private val avoided = ConcurrentHashMap<Int, Map<String, Long>>()

    /** Number of calls that have not ended. */
    val callsInFlight = AtomicInteger()

    /** Number of calls so far. */
    val calls = AtomicInteger()

    /**
     * Makes task [index] avoid a worker that refused or failed it. This ends at [untilMs], since the worker may be the only one left by
     * then.
     */
    fun avoid(index: Int, workerId: String, untilMs: Long) {
        avoided.merge(index, mapOf(workerId to untilMs)) { old, new -> old + new }
    }

    /** Ids of the workers that task [index] avoids at [nowMs]. */
    fun avoided(index: Int, nowMs: Long): Set<String> = avoided[index]?.filterValues { nowMs < it }?.keys.orEmpty()

    /** The placement demand of task [index] at [nowMs]. */
    fun demand(index: Int, nowMs: Long) = TaskDemand(
        taskClass = job.submission.taskClass,
        declaredMs = job.submission.tasks[index].declaredMs,
        memoryMb = job.submission.memoryMb,
        retryable = isRetryable,
        avoid = avoided(index, nowMs),
    )
}
