/* Messages between entry VMs that dispatch to leased workers. */
package dandelionpoint.protocol.peer

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRun
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Free capacity of one worker; [speed] is its speed relative to the average worker. Short names keep the frequent heartbeats small. */
@Serializable
data class FreeCapacity(@SerialName("f") val free: Demand, @SerialName("s") val speed: Float)

/** A message between VMs that dispatch to leased workers. */
@Serializable
sealed interface FleetMessage : PeerMessage

/** A cell that the sender owns under [token], with the free capacity of its workers and the cores of all usable ones, both by pool. */
@Serializable
data class CellStatus(
    @SerialName("c") val cell: String,
    @SerialName("t") val token: Long,
    @SerialName("r") val freeCapacity: Map<String, List<FreeCapacity>> = emptyMap(),
    @SerialName("p") val cores: Map<String, Int> = emptyMap(),
)

/**
 * Heartbeat: sent to all peers at a fixed interval, and to the owners of cells also after a change of the free capacity. [waitingJobs] is
 * the number of jobs without a started task, by queue.
 */
@Serializable
@SerialName("beat")
data class FleetHeartbeat(
    @SerialName("c") val cells: List<CellStatus> = emptyList(),
    @SerialName("s") val isStopping: Boolean = false,
    @SerialName("v") val configVersion: Long = 0,
    @SerialName("w") val waitingJobs: Map<String, Int> = emptyMap(),
) : FleetMessage

/**
 * A job for the owner of a cell, which runs it and replies with [JobAnswer]. The client submitted it [ageMs] ms ago and waits for
 * [remainingMs] ms more.
 */
@Serializable
@SerialName("JobOffer")
data class JobOffer(val job: FleetJob, val queue: JobQueue, val ageMs: Long, val remainingMs: Long) : FleetMessage

/** Reply to [JobOffer]. Without an [outcome], its sender is stopping and has not accepted the job. */
@Serializable
@SerialName("JobAnswer")
data class JobAnswer(val outcome: JobOutcome? = null) : FleetMessage

/** The client of a job has disconnected or cancelled it, or its deadline has passed. */
@Serializable
@SerialName("JobCancel")
data class JobCancel(val jobId: String) : FleetMessage

/**
 * Asks another VM to start a run at once in its [cell], for a job that the sender dispatches. The reply, [RunAnswer], is sent when the run
 * has ended.
 */
@Serializable
@SerialName("RunLoan")
data class RemoteRunRequest(
    val cell: String,
    val run: TaskRun,
    val payload: String,
    val pool: String,
    val demand: Demand,
    val estimateMs: Long,
    val requiredLabel: String? = null,
    val rack: String? = null,
    val maxPerWorker: Int = 0,
) : FleetMessage

/** Reply to [RemoteRunRequest]. */
@Serializable
@SerialName("RunAnswer")
data class RunAnswer(val end: RunEnd) : FleetMessage

/** The job of a remote run has ended; asks the receiver to stop the run. */
@Serializable
@SerialName("RunCancel")
data class RunCancel(val run: TaskRun) : FleetMessage

/** Asks the receiver to take over [cell], because the sender stops or the receiver is in the cell's data centre and the sender is not. */
@Serializable
@SerialName("CellHandover")
data class CellHandover(val cell: String) : FleetMessage

/** The sender has no more runs on these workers of [cell], which the receiver owns now and may use from here on. */
@Serializable
@SerialName("WorkersReleased")
data class WorkersReleased(val cell: String, val workerIds: Set<String>) : FleetMessage
