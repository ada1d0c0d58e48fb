package dandelionpoint.coordination.dispatch

import dandelionpoint.coordination.placement.TaskDemand
import dandelionpoint.state.job.Job
import dandelionpoint.state.queue.QueuedJob
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Work in the queues of this VM: a job, or a request as a job of one task. Only work that [isRepeatable] may be sent more than
 * once: an idempotent request without an id. [traceParent] is the W3C trace context of the caller's span.
 */
internal class WorkItem(val job: Job, val queued: QueuedJob, val isRepeatable: Boolean = false, val traceParent: String? = null) {
    /** By task: workers to avoid, each until a time on the VM's monotonic clock, in ms. */
    private val avoided = ConcurrentHashMap<Int, Map<String, Long>>()

    /** Calls of a request that have not ended. */
    val callsInFlight = AtomicInteger()

    /** Calls of a request so far. */
    val calls = AtomicInteger()

    /** Keeps task [index] away from a worker that refused it or failed it, until [untilMs]: it may be all that is left by then. */
    fun avoid(index: Int, workerId: String, untilMs: Long) {
        avoided.merge(index, mapOf(workerId to untilMs)) { old, new -> old + new }
    }

    /** Workers that task [index] avoids at [nowMs]. */
    fun avoided(index: Int, nowMs: Long): Set<String> = avoided[index]?.filterValues { nowMs < it }?.keys.orEmpty()

    /** What task [index] needs at [nowMs]. */
    fun demand(index: Int, nowMs: Long) = TaskDemand(
        taskClass = job.submission.taskClass,
        declaredMs = job.submission.tasks[index].declaredMs,
        memoryMb = job.submission.memoryMb,
        retryable = isRepeatable,
        avoid = avoided(index, nowMs),
    )
}
