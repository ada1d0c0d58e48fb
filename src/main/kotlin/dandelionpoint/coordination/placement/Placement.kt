/* Placement of tasks on workers, as the entry VM uses it. Implementations do no I/O and are thread-safe. */
package dandelionpoint.coordination.placement

import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.SlotHolding
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.store.VmEntry
import dandelionpoint.protocol.store.WorkerUsage
import dandelionpoint.protocol.worker.CallOutcome
import dandelionpoint.protocol.worker.WorkerAddress

/**
 * Requirements of a task. [declaredMs] is the client's estimate of the run time, 0 if none. A [retryable] task may be used to probe a
 * worker that was ejected. Workers whose ids are in [avoid] are not considered.
 */
internal data class TaskDemand(
    val taskClass: String,
    val declaredMs: Int = 0,
    val memoryMb: Int = 0,
    val retryable: Boolean = false,
    val avoid: Set<String> = emptySet(),
)

/** A slot of [worker] that is reserved for one task until [Placement.complete]. [expectedMs] is the expected run time of the task class. */
internal class Reservation(val worker: WorkerAddress, val taskClass: String, val declaredMs: Int, val expectedMs: Double)

/**
 * Capacity as this VM sees it: [usableSlots] of all workers that may receive work, [speedSum] the sum of their speeds over those
 * slots, [largestMemoryMb] of any such worker, and [freeSlots] that this VM holds and can use now.
 */
internal data class Capacity(val usableSlots: Int, val speedSum: Double, val largestMemoryMb: Int, val freeSlots: Int)

/** Status of a worker, for operators. [ejectedMs] is the remaining time of an ejection, 0 if none. */
internal data class WorkerStatus(
    val id: String,
    val dataCentre: String,
    val rack: String,
    val slots: Int,
    val held: Int,
    val busy: Int,
    val speed: Double,
    val usableSlots: Int,
    val leaving: Boolean,
    val drained: Boolean,
    val ejectedMs: Long,
    val allocator: String?,
)

/** Chooses workers for tasks and exchanges slots with the other entry VMs. */
internal interface Placement {
    /** Reserves a slot that this VM holds; null if none is held or usable now. */
    fun place(demand: TaskDemand): Reservation?

    /**
     * Frees the slot of [reservation] and updates the estimates and the health of the worker from the outcome. Called exactly once for each
     * reservation.
     */
    fun complete(reservation: Reservation, outcome: CallOutcome, elapsedMs: Double)

    /** Applies the platform's worker list. A worker that is leaving or no longer listed gets no new task from now on. */
    fun updateWorkers(workers: List<VmEntry>)

    fun updateUsage(usage: List<WorkerUsage>)

    /** Applies the membership. [live] are the entry VMs that routing does not consider dead; it may contain [self]. */
    fun updatePeers(self: VmIdentity, live: Set<VmIdentity>)

    fun onHeartbeat(from: VmIdentity, heartbeat: PeerMessage.Heartbeat)

    fun onSlotRequest(from: VmIdentity, request: PeerMessage.SlotRequest): PeerMessage.SlotGrant

    fun onSlotReturn(from: VmIdentity, slots: PeerMessage.SlotReturn)

    /** Slot requests to send now, with at most one open request per peer. [onSlotGrant] is called exactly once for each of them. */
    fun slotRequests(waitingTasks: Int): Map<VmIdentity, PeerMessage.SlotRequest>

    /** Handles the answer to an open request; null if none arrived. After null, a late answer must not be passed in. */
    fun onSlotGrant(from: VmIdentity, grant: PeerMessage.SlotGrant?)

    /** Periodic work, run every few ms: expires leases and ejections, and returns the slot messages to send. */
    fun tick(): Map<VmIdentity, PeerMessage.SlotReturn>

    fun holdings(): List<SlotHolding>

    /** Workers that this VM has ejected itself, with the remaining time in ms. */
    fun ejected(): Map<String, Long>

    fun capacity(): Capacity

    /** Expected run time of a task in ms on a worker of speed 1. */
    fun expectedMs(taskClass: String, declaredMs: Int): Double

    fun workers(): List<WorkerStatus>

    /** Stops new work to a worker from this VM until the worker leaves the platform's list. */
    fun drain(workerId: String)
}
