/* Messages between entry VMs. Each travels as one frame: a 4-byte length and the CBOR form of [PeerFrame]. */
package dandelionpoint.protocol.peer

import dandelionpoint.protocol.JobSubmission
import dandelionpoint.protocol.JobView
import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.SubmissionId
import kotlinx.serialization.Serializable

/**
 * Identity of one process of an entry VM: [name] is from the settings, [incarnation] is generated at each start. [cpuMilli] is its share of
 * the processor in thousandths of a core.
 */
@Serializable
data class VmIdentity(
    val name: String,
    val incarnation: String,
    val region: String,
    val dataCentre: String,
    val host: String,
    val port: Int,
    val cpuMilli: Int = 1_000,
)

/**
 * State of an entry VM as operators and peers see it. `STARTING` lasts until it has a configuration and workers; `SERVING_CUT_OFF` means
 * that its configuration was not confirmed recently, so that a newer one may be in force elsewhere.
 */
@Serializable
enum class ServingState { STARTING, SERVING, SERVING_CUT_OFF, DRAINING }

/**
 * Work of one team on one VM: tasks running and tasks queued, and the queued work in slot-ms. [neededSlots] is the smallest number of
 * slots of speed 1 that would complete the queued work by its deadlines.
 */
@Serializable
data class TeamLoad(val running: Int, val queued: Int, val queuedSlotMs: Long, val neededSlots: Double = 0.0)

/** Slots of worker [workerId] that its allocator has leased to the sender, and how many of them are busy. */
@Serializable
data class SlotHolding(val workerId: String, val held: Int, val busy: Int)

/** [count] tasks that have waited for [ageMs]. */
@Serializable
data class WaitingTasks(val ageMs: Long, val count: Int)

/** A message of the peer protocol. */
@Serializable
sealed interface PeerMessage {
    /**
     * First frame on a connection, in both directions. [known] has the VMs that the sender is connected to, so that two VMs that share one
     * seed learn of each other.
     */
    @Serializable
    data class Hello(val protocolVersion: Int, val cluster: String, val vm: VmIdentity, val known: List<VmIdentity> = emptyList()) :
        PeerMessage

    /** Sent every 250 ms. [ejected] has the workers that the sender avoids, with the remaining time in ms. */
    @Serializable
    data class Heartbeat(
        val state: ServingState,
        val configVersion: Long,
        val teams: Map<String, TeamLoad> = emptyMap(),
        val holdings: List<SlotHolding> = emptyList(),
        val ejected: Map<String, Long> = emptyMap(),
        val freeSlots: Int = 0,
        val waitingTasks: Int = 0,
    ) : PeerMessage

    /** A submission for the shard's owner. [remainingMs] is the time left until its deadline, [hops] the number of forwards so far. */
    @Serializable
    data class ForwardSubmit(val submission: JobSubmission, val remainingMs: Int, val hops: Int = 1, val traceParent: String? = null) :
        PeerMessage

    /** Reads, waits for (up to [waitMs]) or cancels a job. [team] is the caller's team, null for an operator. */
    @Serializable
    data class ForwardJobCall(
        val id: SubmissionId,
        val team: String?,
        val waitMs: Int = 0,
        val cancel: Boolean = false,
        val hops: Int = 1,
        val traceParent: String? = null,
    ) : PeerMessage

    /** Reply to a forwarded call: exactly one of [view] and [refusal] is set. */
    @Serializable
    data class ForwardReply(val view: JobView? = null, val refusal: Refusal? = null) : PeerMessage

    /**
     * Asks the allocator for up to [wanted] slots, and renews the leases of the slots in [held] (worker id to count), which are all
     * that the sender has from this allocator. [revision] grows with each request and return of one sender. [outcomes] has the
     * workers on which tasks of the sender ended since its last message, with true if the last one succeeded. [waiting] are the tasks
     * that the slots are wanted for, oldest first.
     */
    @Serializable
    data class SlotRequest(
        val wanted: Int,
        val held: Map<String, Int> = emptyMap(),
        val revision: Long = 0,
        val outcomes: Map<String, Boolean> = emptyMap(),
        val waiting: List<WaitingTasks> = emptyList(),
    ) : PeerMessage

    /** Slots granted: worker id to count. The receiver returns [recalled] slots of the sender's workers as their tasks end. */
    @Serializable
    data class SlotGrant(val slots: Map<String, Int>, val recalled: Int = 0) : PeerMessage

    /**
     * Slots sent without a preceding request: worker id to count. [slots] are returned to their allocator; they are ignored if
     * [revision] is older than the sender's last request. [granted] are slots of the sender's own workers, which it could not grant
     * at once to the request with revision [request] (0 for none); they are ignored if the receiver has sent a later request.
     * [outcomes] as in [SlotRequest], [recalled] as in [SlotGrant].
     */
    @Serializable
    data class SlotReturn(
        val slots: Map<String, Int>,
        val revision: Long = 0,
        val outcomes: Map<String, Boolean> = emptyMap(),
        val granted: Map<String, Int> = emptyMap(),
        val request: Long = 0,
        val recalled: Int = 0,
    ) : PeerMessage

    /** Asks for the configuration changes after [afterVersion]. */
    @Serializable
    data class ConfigPull(val afterVersion: Long) : PeerMessage

    /** The sender's configuration as a JSON document, and its version. */
    @Serializable
    data class ConfigChanges(val version: Long, val document: String) : PeerMessage

    /** The sender's process exits after this frame. */
    @Serializable
    data object Goodbye : PeerMessage
}

/** A frame. [call] is the number of a request and of its reply on one connection; 0 for a message without a reply. */
@Serializable
data class PeerFrame(val call: Long, val isReply: Boolean = false, val message: PeerMessage)

/** Sends messages to other entry VMs. */
interface PeerLink {
    /** Sends [message] and waits for the reply. [PeerReply.Lost] if none came within [timeoutMs] or the connection broke after sending. */
    suspend fun call(to: VmIdentity, message: PeerMessage, timeoutMs: Long): PeerReply

    /** Sends [message] without waiting; drops it if the peer cannot be reached. */
    fun send(to: VmIdentity, message: PeerMessage)
}

/** Outcome of a call to a peer. */
sealed interface PeerReply {
    data class Answered(val message: PeerMessage) : PeerReply

    /** The message was certainly not delivered. */
    data class NotSent(val reason: String) : PeerReply

    /** The message may have been delivered and acted on. */
    data class Lost(val reason: String) : PeerReply
}
