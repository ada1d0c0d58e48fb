package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun

/**
 * A run to be placed on a worker of [pool]. [origin] is the incarnation of the VM that dispatches the job; the run is stopped when that
 * VM is lost. [entryVm] is the incarnation of the VM that the job's client is connected to, [origin] if it is unknown. [estimateMs] is
 * the expected run time in ms. [avoid] is the worker of an earlier, unsuccessful run of the task, used only as a last choice. If the
 * earlier run [hasFailed] there, that worker is not used at all while another one of the cell can run the task, since a task has few
 * attempts.
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
    val entryVm: String = origin,
) {
    val task: TaskRef get() = run.task

    /** True if both runs belong to the same step of the same job. */
    fun sharesStepWith(other: RunOrder): Boolean = task.jobId == other.task.jobId && task.step == other.task.step
}
