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

/** Room that is free on one worker; [speed] is its speed relative to the average worker. Short names keep the frequent beats small. */
@Serializable
data class FreeRoom(@SerialName("f") val free: Demand, @SerialName("s") val speed: Float)

/** A message between VMs that dispatch to leased workers. */
@Serializable
sealed interface FleetMessage : PeerMessage

/** A cell that the sender keeps under [token], with the free rooms of its workers and the cores of all usable ones by pool. */
@Serializable
data class CellStatus(
    @SerialName("c") val cell: String,
    @SerialName("t") val token: Long,
    @SerialName("r") val rooms: Map<String, List<FreeRoom>> = emptyMap(),
    @SerialName("p") val cores: Map<String, Int> = emptyMap(),
)

/** Sent to all peers at a steady interval and after changes of the rooms. [waitingJobs] counts jobs without a started task by queue. */
@Serializable
@SerialName("beat")
data class FleetBeat(
    @SerialName("c") val cells: List<CellStatus> = emptyList(),
    @SerialName("s") val isStopping: Boolean = false,
    @SerialName("v") val configVersion: Long = 0,
    @SerialName("w") val waitingJobs: Map<String, Int> = emptyMap(),
) : FleetMessage

/** A job for the keeper of a cell, which runs it and replies with [JobAnswer]. The client waits for [remainingMs] more. */
@Serializable
@SerialName("JobOffer")
data class JobOffer(val job: FleetJob, val queue: JobQueue, val ageMs: Long, val remainingMs: Long) : FleetMessage

/** Reply to [JobOffer]. Without [outcome] the receiver is stopping and has not taken the job. */
@Serializable
@SerialName("JobAnswer")
data class JobAnswer(val outcome: JobOutcome? = null) : FleetMessage

/** The client of a job has gone, or its deadline has passed. */
@Serializable
@SerialName("JobCancel")
data class JobCancel(val jobId: String) : FleetMessage

/** A run that another VM's cell is asked to start at once; the reply, [RunAnswer], comes when it has ended. */
@Serializable
@SerialName("RunLoan")
data class RunLoan(
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

/** Reply to [RunLoan]. */
@Serializable
@SerialName("RunAnswer")
data class RunAnswer(val end: RunEnd) : FleetMessage

/** The job of a lent run has ended; the run is stopped. */
@Serializable
@SerialName("RunCancel")
data class RunCancel(val run: TaskRun) : FleetMessage

/** Asks the receiver to take over [cell], because the sender stops. */
@Serializable
@SerialName("CellHandover")
data class CellHandover(val cell: String) : FleetMessage

/** The sender has no more runs on these workers of [cell] and leaves them to the receiver. */
@Serializable
@SerialName("WorkersReleased")
data class WorkersReleased(val cell: String, val workerIds: Set<String>) : FleetMessage
