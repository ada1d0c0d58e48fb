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

/**
 * Free capacity of one worker; [speed] is its speed relative to the average worker, [labels] are the [labelCode]s of its labels. Short
 * names keep the frequent heartbeats small.
 */
@Serializable
data class FreeCapacity(
    @SerialName("f") val free: Demand,
    @SerialName("s") val speed: Float,
    @SerialName("l") val labels: List<Int> = emptyList(),
)

/**
 * Compact form of a worker's label in heartbeats, the same on every VM. If two labels of a site had the same code, a run could be sent to
 * an owner without a worker that has the label; the owner, which knows the labels themselves, would not start it there.
 */
fun labelCode(label: String): Int = label.hashCode()

/** The data centres with [names], and no others, are evacuated at the shared store's [version]. */
@Serializable
data class EvacuatedDataCentres(@SerialName("v") val version: Long, @SerialName("n") val names: Set<String>)

/** A message between VMs that dispatch to leased workers. */
@Serializable
sealed interface FleetMessage : PeerMessage

/**
 * Heartbeat, sent at fixed intervals. [cells] has the fencing tokens of the sender's cells by their names; VMs of other data centres get
 * only those outside the sender's data centre. [freeCapacity] lists the sender's workers with free capacity and [cores] counts the cores
 * of all usable ones, both by pool. [waitingJobs] is the number of jobs without a started task, by queue. [relayed] says how long
 * before this heartbeat each VM whose clients wait for remote runs of the sender was certainly alive, in ms, by the incarnation.
 * [cancelledJobs] and [cancelledRuns] are the cancellations of the sender that no receiver has confirmed yet: since a heartbeat extends the
 * leases of the sender's runs, it must not overtake them. [evacuated] is null as long as the sender has known of no evacuation.
 * [backlog] is the work that waits for capacity in the sender's cells, its own and that of other VMs, in core-ms by pool and then by
 * priority from 0.
 */
@Serializable
@SerialName("beat")
data class FleetHeartbeat(
    @SerialName("o") val cells: Map<String, Long> = emptyMap(),
    @SerialName("r") val freeCapacity: Map<String, List<FreeCapacity>> = emptyMap(),
    @SerialName("p") val cores: Map<String, Int> = emptyMap(),
    @SerialName("s") val isStopping: Boolean = false,
    @SerialName("v") val configVersion: Long = 0,
    @SerialName("w") val waitingJobs: Map<String, Int> = emptyMap(),
    @SerialName("l") val relayed: Map<String, Long> = emptyMap(),
    @SerialName("c") val cancelledJobs: List<JobCancel> = emptyList(),
    @SerialName("x") val cancelledRuns: List<RunCancel> = emptyList(),
    @SerialName("e") val evacuated: EvacuatedDataCentres? = null,
    @SerialName("b") val backlog: Map<String, List<Long>> = emptyMap(),
) : FleetMessage

/**
 * A job for the owner of a cell, which runs it and replies with [JobAnswer]. The client submitted it [ageMs] ms ago and waits for
 * [remainingMs] ms more. [attempt] counts the sender's submissions: an offer that is repeated has the same number and gets the same answer.
 */
@Serializable
@SerialName("JobOffer")
data class JobOffer(val job: FleetJob, val queue: JobQueue, val ageMs: Long, val remainingMs: Long, val attempt: Long = 0) : FleetMessage

/**
 * Reply to [JobOffer]. Without an [outcome], its sender has not accepted the job, because it was paused or does not dispatch it; [redirect]
 * is then the VM that has the job in progress, if the sender knows one.
 */
@Serializable
@SerialName("JobAnswer")
data class JobAnswer(val outcome: JobOutcome? = null, val redirect: VmIdentity? = null) : FleetMessage

/**
 * The client of an offered job has disconnected or cancelled it, or its deadline has passed. The sender repeats it until it gets a
 * [CancelAnswer]. It may arrive before the [JobOffer] with the same [attempt], which is then refused.
 */
@Serializable
@SerialName("JobCancel")
data class JobCancel(val jobId: String, val attempt: Long = 0) : FleetMessage

/**
 * Asks whether the receiver, or the VM that dispatches the job by its knowledge, has [jobId] in progress, for a client that has cancelled
 * it ([isCancelled]) or wants to know. The sender need not have the client's submission.
 */
@Serializable
@SerialName("JobInquiry")
data class JobInquiry(val jobId: String, val isCancelled: Boolean = false) : FleetMessage

/** What a VM knows of a job. */
@Serializable
enum class JobPresence {
    /** The job was in progress; if the inquiry said that it is cancelled, it has ended. */
    FOUND,

    /** The VM would dispatch the job and does not have it. If the inquiry cancelled it, an earlier submission of it starts nothing. */
    NONE,

    /** The VM does not dispatch the job, or cannot say yet who does. */
    UNKNOWN,
}

/** Reply to [JobInquiry]; [redirect] is the VM to ask if [presence] is unknown, null if the sender knows none. */
@Serializable
@SerialName("InquiryAnswer")
data class InquiryAnswer(val presence: JobPresence, val redirect: VmIdentity? = null) : FleetMessage

/** Reply to [JobCancel]: the job has been cancelled, or will be when it arrives. */
@Serializable
@SerialName("CancelAnswer")
data object CancelAnswer : FleetMessage

/**
 * Asks another VM to start a run in one of its cells, for a job that the sender dispatches. The reply, [RunAnswer], is sent when the run
 * has ended. A run that fits on no worker may wait there for [maxWaitMs], counted from when the request was made; with 0 it is refused
 * at once. Waiting runs are ordered by [priority], 0 first, and then by [slackMs], the time within which the run has to start for its
 * job to be on time, negative if that is over. [dispatch] is the sender's number of the submission: with it, a repeated request is
 * recognised. The run is stopped if it has not ended after [remainingMs] ms, when the client no longer waits. [entryVm] is the incarnation
 * of the VM that the client is connected to, null for the sender; the run is stopped if that VM is lost. It was certainly there
 * [entryAgeMs] ms before the request was made.
 */
@Serializable
@SerialName("RunLoan")
data class RemoteRunRequest(
    val run: TaskRun,
    val payload: String,
    val pool: String,
    val demand: Demand,
    val estimateMs: Long,
    val requiredLabel: String? = null,
    val rack: String? = null,
    val maxPerWorker: Int = 0,
    val dispatch: Long = 0,
    val remainingMs: Long? = null,
    val entryVm: String? = null,
    val entryAgeMs: Long? = null,
    val priority: Int = 0,
    val maxWaitMs: Long = 0,
    val slackMs: Long = 0,
) : FleetMessage

/**
 * Reply to a [RemoteRunRequest] that may have been made too long ago to be still wanted: neither it nor an earlier one for the same run
 * starts the run. The sender, which now has a recent stamp of the receiver, may ask again.
 */
@Serializable
@SerialName("RequestExpired")
data object RequestExpired : FleetMessage

/** Reply to [RemoteRunRequest]. */
@Serializable
@SerialName("RunAnswer")
data class RunAnswer(val end: RunEnd) : FleetMessage

/**
 * The job of a remote run has ended; asks the receiver to stop the run. The reply, [RunAnswer], is sent when the run has ended; until then
 * the sender repeats it. It may arrive before the [RemoteRunRequest] of the same run and [dispatch], which then starts nothing.
 */
@Serializable
@SerialName("RunCancel")
data class RunCancel(val run: TaskRun, val dispatch: Long = 0) : FleetMessage

/** Asks the receiver to take over [cell], because the sender stops or the receiver is to own the cell. */
@Serializable
@SerialName("CellHandover")
data class CellHandover(val cell: String) : FleetMessage

/**
 * What the sender, and the owners before it, still use of [cell], which the receiver owns under [token]: they have runs on [usedWorkers]
 * and have [openJobs] of the cell in progress. It is about their claims under lower tokens, so that neither set grows; a worker that the
 * sender does not know is not in use. Sent after each change, until the receiver has confirmed it by a [ReleaseAnswer].
 */
@Serializable
@SerialName("CellUse")
data class CellUse(
    @SerialName("c") val cell: String,
    @SerialName("t") val token: Long,
    @SerialName("w") val usedWorkers: Set<String> = emptySet(),
    @SerialName("j") val openJobs: Set<String> = emptySet(),
) : FleetMessage

/** Reply to [CellUse], sent only if the receiver has applied it. */
@Serializable
@SerialName("ReleaseAnswer")
data object ReleaseAnswer : FleetMessage

/**
 * The sender has taken over [cells] from the receiver, each under the given token, and does not know yet that nothing there is in use any
 * more. Sent at a fixed interval until it does. The reply is [CellUseAnswer].
 */
@Serializable
@SerialName("CellUseQuery")
data class CellUseQuery(@SerialName("c") val cells: Map<String, Long>) : FleetMessage

/** Reply to [CellUseQuery]. It lacks the cells of which the sender does not know yet what is in use. */
@Serializable
@SerialName("CellUseAnswer")
data class CellUseAnswer(@SerialName("r") val reports: List<CellUse>) : FleetMessage
