package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun

/**
 * A run to be placed on a worker of [pool]. [origin] is the incarnation of the VM that dispatches the job; its runs are stopped when
 * it is lost. [avoid] is a worker on which an earlier run of the task went wrong; if the run [hasFailed] there, it is not used at all
 * while the cell has another one that can take the run, since a task has few attempts.
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
) {
    val task: TaskRef get() = run.task

    /** True if both are tasks of one step of one job. */
    fun sharesStepWith(other: RunOrder): Boolean = task.jobId == other.task.jobId && task.step == other.task.step
}
