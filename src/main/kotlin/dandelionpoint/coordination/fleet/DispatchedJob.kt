/* Progress of one job on the VM that dispatches it. */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import kotlin.math.max

/** Where a run has been placed. */
internal sealed interface RunLocation {
    /** On a worker of [cell], which this VM owns. */
    data class Local(val cell: String) : RunLocation

    /** On a worker of a cell of the VM with the incarnation [vm]: a remote run. */
    data class Remote(val vm: String) : RunLocation
}

/**
 * Progress of one task. [run] is the number of its last run, 0 before the first; [location] is where that run is, null if none is in
 * progress. The next run is not started before [notBefore] (ms), and preferably not on the worker [avoid].
 */
internal class DispatchedTask(val ref: TaskRef) {
    var run = 0
    var failures = 0
    var isDone = false
    var location: RunLocation? = null
    var notBefore = 0L
    var avoid: String? = null

    /** True if the last run failed, on the worker [avoid] if that is known. */
    var hasFailedLast = false

    val isWaiting: Boolean get() = !isDone && location == null
}

/**
 * Progress of one job, first submitted by [submission], under the number [dispatch]. Times are in ms on this VM's monotonic clock. Not
 * thread-safe.
 */
internal class DispatchedJob(submission: Submission, val dispatch: Long) {
    val job: FleetJob = submission.job
    val queue: JobQueue = submission.queue
    val arrivedAt: Long = submission.arrivedAt

    /** Latest deadline of the clients that wait for the job. */
    var deadlineAt: Long = submission.deadlineAt
        private set

    /** The submissions whose clients wait for the job, which ends when there are none left. */
    val attempts = linkedSetOf(submission.attempt)

    /** Incarnation of the VM whose client the runs are started for. */
    val entryVm: String get() = attempts.first().entryVm

    /** Adds another submission of the same job. */
    fun join(submission: Submission) {
        attempts += submission.attempt
        deadlineAt = max(deadlineAt, submission.deadlineAt)
    }

    private val tasks: List<List<DispatchedTask>> =
        job.steps.mapIndexed { number, step -> List(step.count) { index -> DispatchedTask(TaskRef(job.id, number, index)) } }

    /** Time from [arrivedAt] within which the job has to end to be on time, in ms. */
    val objectiveMs: Long = (queue.stretch * job.longestChainMs()).toLong() + queue.latencyTargetMs

    /** Number of runs that are in progress or being started. */
    private var placedRuns = 0

    /** True once a run of the job has ended that may have been started. */
    private var hasEndedRun = false

    /** True once a run of the job may have been started. A run that is known never to have started does not count. */
    val hasStarted: Boolean get() = hasEndedRun || placedRuns > 0

    val isDone: Boolean get() = tasks.all { step -> step.all { it.isDone } }

    val hasWaitingTasks: Boolean get() = tasks.any { step -> step.any { it.isWaiting } }

    fun task(ref: TaskRef): DispatchedTask? = tasks.getOrNull(ref.step)?.getOrNull(ref.index)

    /** Tasks that can be placed at [now]: the steps that they depend on are done, and they are not done, in progress or delayed. */
    fun waiting(now: Long): List<DispatchedTask> = job.steps.indices
        .filter { step -> job.steps[step].after.all { before -> tasks[before].all { it.isDone } } }
        .flatMap { step -> tasks[step].filter { it.isWaiting && it.notBefore <= now } }

    /** The run of [order] of [task] has been placed at [location]. */
    fun recordPlaced(task: DispatchedTask, order: RunOrder, location: RunLocation) {
        task.run = order.run.run
        task.location = location
        placedRuns++
    }

    /** The run of [task] in progress has ended with [end]. */
    fun recordEnded(task: DispatchedTask, end: RunEnd) {
        task.location = null
        placedRuns--
        if (end != RunEnd.NOT_STARTED) hasEndedRun = true
    }

    fun placed(): List<DispatchedTask> = tasks.flatten().filter { it.location != null && !it.isDone }

    /** Work of the tasks that are neither done nor placed, in core-ms by the client's estimates. */
    fun waitingCoreMs(): Long = job.steps.indices.sumOf { step ->
        tasks[step].count { it.isWaiting }.toLong() * job.steps[step].estimateMs * job.steps[step].demand.cpuMilli / MILLI
    }

    /** The place of the job's tasks in the order of waiting work. */
    val urgency: Urgency get() = Urgency(queue.priority, arrivedAt + objectiveMs - remainingChainMs())

    /** Number of the tasks that are neither done nor placed. */
    fun waitingTasks(): Int = tasks.sumOf { step -> step.count { it.isWaiting } }

    /** Length of the longest chain of dependent steps that are not done, in ms by the client's estimates. */
    fun remainingChainMs(): Long = job.longestChainMs { step -> tasks[step].any { !it.isDone } }

    /**
     * The order for the next run of [task], dispatched by the VM with the incarnation [origin]. For [latestStartAt] see [RunOrder].
     */
    fun nextOrder(task: DispatchedTask, origin: String, latestStartAt: Long): RunOrder {
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
            dispatch = dispatch,
            entryVm = entryVm,
            deadlineAt = deadlineAt,
            priority = queue.priority,
            onTimeStartAt = urgency.onTimeStartAt,
            latestStartAt = latestStartAt,
        )
    }

    private companion object {
        const val MILLI = 1_000
    }
}
