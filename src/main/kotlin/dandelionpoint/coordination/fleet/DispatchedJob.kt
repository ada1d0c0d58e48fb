/* Progress of one job on the VM that dispatches it. */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import kotlin.math.max

/** Where a run was placed. */
internal sealed interface RunPlace {
    /** On a worker of this VM's cell [cell]. */
    data class Local(val cell: String) : RunPlace

    /** Lent to the cell [cell] of the VM with the incarnation [vm]. */
    data class Remote(val vm: String, val cell: String) : RunPlace
}

/** One task of a job. */
internal class DispatchedTask(val ref: TaskRef) {
    var run = 0
    var failures = 0
    var isDone = false
    var place: RunPlace? = null
    var notBefore = 0L
    var avoid: String? = null

    /** True if the last run failed, at [avoid] if that is known. */
    var hasFailedLast = false

    val isWaiting: Boolean get() = !isDone && place == null
}

/**
 * One job. [entryVm] is the incarnation of the VM that holds the client's connection, [arrivedAt] and [deadlineAt] are in ms on this
 * VM's monotonic clock. Not thread-safe.
 */
internal class DispatchedJob(val job: FleetJob, val queue: JobQueue, val entryVm: String, val arrivedAt: Long, val deadlineAt: Long) {
    private val tasks: List<List<DispatchedTask>> =
        job.steps.mapIndexed { number, step -> List(step.count) { index -> DispatchedTask(TaskRef(job.id, number, index)) } }

    /** Time within which the client expects the answer, in ms after [arrivedAt]. */
    val objectiveMs: Long = (queue.stretch * longestChainMs()).toLong() + queue.latencyTargetMs

    /** True once a run of the job may have been started. */
    var hasStarted = false

    val isDone: Boolean get() = tasks.all { step -> step.all { it.isDone } }

    fun task(ref: TaskRef): DispatchedTask? = tasks.getOrNull(ref.step)?.getOrNull(ref.index)

    /** Tasks whose turn has come and that are not placed. */
    fun waiting(now: Long): List<DispatchedTask> = job.steps.indices
        .filter { step -> job.steps[step].after.all { before -> tasks[before].all { it.isDone } } }
        .flatMap { step -> tasks[step].filter { it.isWaiting && it.notBefore <= now } }

    fun placed(): List<DispatchedTask> = tasks.flatten().filter { it.place != null && !it.isDone }

    /** Work that is not placed yet, in core-ms by the client's estimates. */
    fun waitingCoreMs(): Long = job.steps.indices.sumOf { step ->
        tasks[step].count { it.isWaiting }.toLong() * job.steps[step].estimateMs * job.steps[step].demand.cpuMilli / MILLI
    }

    /** Length of the longest chain of steps from now on, in ms by the client's estimates. */
    fun remainingChainMs(): Long = longestChainMs { step -> tasks[step].any { !it.isDone } }

    private fun longestChainMs(counts: (Int) -> Boolean = { true }): Long {
        val ends = LongArray(job.steps.size)
        job.steps.forEachIndexed { index, step ->
            val begin = step.after.maxOfOrNull { ends[it] } ?: 0L
            ends[index] = begin + if (counts(index)) step.estimateMs else 0L
        }
        return ends.maxOrNull() ?: 0L
    }

    /** The next run of [task]. */
    fun order(task: DispatchedTask, origin: String): RunOrder {
        val step = job.steps[task.ref.step]
        return RunOrder(
            run = TaskRun(task.ref, task.run + 1),
            origin = origin,
            pool = queue.pool,
            payload = job.payload,
            demand = step.demand,
            estimateMs = max(1L, step.estimateMs),
            requiredLabel = step.requiredLabel,
            rack = step.rack,
            maxPerWorker = step.maxPerWorker,
            avoid = task.avoid,
            hasFailed = task.hasFailedLast,
        )
    }

    private companion object {
        const val MILLI = 1_000
    }
}
