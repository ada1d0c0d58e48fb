package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun

/**
 * Identifies a run for as long as any VM knows of it. Run numbers begin anew when a client submits its job again, so that [run] alone may
 * name two runs. [origin] is the incarnation of the VM that dispatches the job, [dispatch] the number that it gave to this submission.
 */
internal data class RunKey(val origin: String, val dispatch: Long, val run: TaskRun)

/**
 * Identifies one request of a client to run a job. [entryVm] is the incarnation of the VM that the client is connected to, [number] counts
 * the submissions that it has accepted.
 */
internal data class AttemptKey(val entryVm: String, val jobId: String, val number: Long)

/**
 * The order of waiting work: by [priority] of the queue, 0 first, then by [onTimeStartAt], the latest time at which the work can start and
 * still be on time, in ms on the VM's monotonic clock. Smaller values are more urgent.
 */
internal data class Urgency(val priority: Int, val onTimeStartAt: Long) : Comparable<Urgency> {
    override fun compareTo(other: Urgency): Int =
        if (priority != other.priority) priority.compareTo(other.priority) else onTimeStartAt.compareTo(other.onTimeStartAt)
}

/**
 * A run to be placed on a worker of [pool]. [origin] is the incarnation of the VM that dispatches the job; the run is stopped when that VM
 * is lost. [dispatch] is the origin's number of the submission. [entryVm] is the incarnation of the VM that the job's client is connected
 * to, [origin] if it is unknown; the client waits for the job until [deadlineAt], in ms on the monotonic clock of the VM that holds this
 * order. [estimateMs] is the expected run time in ms. [avoid] is the worker of an earlier, unsuccessful run of the task, used only as a
 * last choice. If the earlier run [hasFailed] there, that worker is not used at all while another one of the cell can run the task, since
 * a task has few attempts. [wantedAt] is the date at which the request for a remote run says that it was wanted, see [RunDemand].
 * Waiting runs get capacity in the order of [priority], 0 first, and then of [onTimeStartAt], the latest time at which the run can start
 * for its job to be on time. A run that waits in a cell of another VM is not started at [latestStartAt] or later. Both are times on the
 * monotonic clock, as above.
 */
internal data class RunOrder(
    val run: TaskRun,
    val origin: String,
    val pool: String,
    val payload: String,
    val demand: Demand,
    val estimateMs: Long,
    val requiredLabel: String? = null,
    val rack: String? = null,
    val maxPerWorker: Int = 0,
    val avoid: String? = null,
    val hasFailed: Boolean = false,
    val dispatch: Long = 0,
    val entryVm: String = origin,
    val deadlineAt: Long = Long.MAX_VALUE,
    val wantedAt: Long = Long.MIN_VALUE / 2,
    val priority: Int = 0,
    val onTimeStartAt: Long = 0,
    val latestStartAt: Long = Long.MIN_VALUE,
) {
    val key: RunKey get() = RunKey(origin, dispatch, run)

    val task: TaskRef get() = run.task

    val urgency: Urgency get() = Urgency(priority, onTimeStartAt)

    /** Work of the run in core-ms by the client's estimates. */
    val coreMs: Long get() = estimateMs * demand.cpuMilli / MILLI

    /** True if both runs belong to the same step of the same job. */
    fun sharesStepWith(other: RunOrder): Boolean = task.jobId == other.task.jobId && task.step == other.task.step

    private companion object {
        const val MILLI = 1_000
    }
}
