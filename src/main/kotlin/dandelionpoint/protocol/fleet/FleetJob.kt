/* Jobs that entry VMs run on leased workers: steps of identical tasks, and the queue that a job is submitted to. */
package dandelionpoint.protocol.fleet

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Resources that a task needs or that a worker has: CPU in thousandths of a core, memory in MB, and number of accelerators. */
@Serializable
data class Demand(@SerialName("c") val cpuMilli: Int, @SerialName("m") val memoryMb: Int = 0, @SerialName("a") val accelerators: Int = 0) {
    operator fun plus(other: Demand) = Demand(cpuMilli + other.cpuMilli, memoryMb + other.memoryMb, accelerators + other.accelerators)

    operator fun minus(other: Demand) = Demand(cpuMilli - other.cpuMilli, memoryMb - other.memoryMb, accelerators - other.accelerators)

    /** True if these resources are sufficient for [other]. */
    fun covers(other: Demand): Boolean = cpuMilli >= other.cpuMilli && memoryMb >= other.memoryMb && accelerators >= other.accelerators
}

/**
 * A step of [count] identical tasks. [estimateMs] is the client's rough estimate of one task's run time in ms. The step starts once all
 * tasks of the steps with the indices in [after] have succeeded. Only workers with the label [requiredLabel] may run the tasks. [rack]
 * is the label of the workers near the data, which are preferred. At most [maxPerWorker] tasks run on one worker at a time (0: no limit).
 */
@Serializable
data class JobStep(
    val count: Int,
    val demand: Demand,
    val estimateMs: Long,
    val after: List<Int> = emptyList(),
    val requiredLabel: String? = null,
    val rack: String? = null,
    val maxPerWorker: Int = 0,
)

/** A job. Each task gets the same [payload]. The client chooses [id]. */
@Serializable
data class FleetJob(val id: String, val payload: String, val steps: List<JobStep>)

/**
 * A queue that clients submit jobs to. Its tasks run on the workers of [pool]. Jobs with lower [priority] values are scheduled first. A
 * task that has failed [maxAttempts] times fails its job. A job is on time if it takes at most [stretch] times the estimated length of
 * its longest chain of dependent steps, plus [latencyTargetMs] (ms).
 */
@Serializable
data class JobQueue(
    val name: String,
    val pool: String,
    val priority: Int = 0,
    val maxAttempts: Int = 1,
    val stretch: Double = 1.0,
    val latencyTargetMs: Long = 0,
)

/** Identifies one task: the task [index] of the step [step], both counted from 0, of the job [jobId]. */
@Serializable
data class TaskRef(val jobId: String, val step: Int, val index: Int)

/** One attempt to execute [task]. The number [run] increases with each attempt, from 1. */
@Serializable
data class TaskRun(val task: TaskRef, val run: Int) {
    /** The members of a log line that identify this run. */
    fun logFields(): String = "job=${task.jobId} task=${task.step}.${task.index} run=$run"
}

/** How a run ended. */
@Serializable
enum class RunEnd {
    DONE,

    /** Failed because of the task or the worker; counts towards the queue's limit of attempts. */
    FAILED,

    /** Ended without a result: it was stopped, its lease expired, or its worker was lost. */
    LOST,

    /** The run is known never to have started. */
    NOT_STARTED,
}

/** Outcome of a job. */
@Serializable
sealed interface JobOutcome {
    @Serializable
    data object Completed : JobOutcome

    /** A task has failed as often as its queue permits. */
    @Serializable
    data object Failed : JobOutcome

    /** No task was started. The job may be submitted again after [retryAfterMs]. */
    @Serializable
    data class NotRun(val reason: String, val retryAfterMs: Long) : JobOutcome

    /** Some tasks may have run, but the job will not be completed. */
    @Serializable
    data class GivenUp(val reason: String) : JobOutcome
}
