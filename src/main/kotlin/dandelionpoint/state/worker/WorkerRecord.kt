/* State of one worker in the worker table. */
package dandelionpoint.state.worker

import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.store.VmEntry
import dandelionpoint.protocol.store.VmState
import dandelionpoint.protocol.store.WorkerUsage
import dandelionpoint.protocol.worker.WorkerAddress

/** A worker and the slots that this VM holds on it. Guarded by the lock of its shard. */
internal class WorkerRecord(entry: VmEntry, settings: HealthSettings) {
    var entry = entry
        private set
    var address = WorkerAddress(entry.id, entry.host, entry.port)
        private set
    val health = WorkerHealth(settings, entry.slots)
    val id: String get() = entry.id
    val rackKey: String = "${entry.dataCentre}/${entry.rack}"

    var allocator: VmIdentity? = null

    /** This VM is the slot allocator of the worker. */
    var isOwn = false

    /** This VM is the allocator and does not yet know which slots other VMs hold. Until then it uses and grants none. */
    var isSettling = false

    /** Slots leased to other VMs, if this VM is the allocator. */
    var leasedOut = 0

    /** Slots that this VM may use: if it is the allocator, those that are not leased out, otherwise those it has under a valid lease. */
    var granted = 0
    var busy = 0
        private set

    /** As of the last check, no call to the worker has ended for several times the expected run time of its tasks. */
    var isUnresponsive = false
        private set
    private var awaitedSinceMs = 0L
    private var longestExpectedMs = 0.0

    /** Slots whose last task ended after the lease had expired; they still have to be returned to the allocator. */
    var pendingReturn = 0

    /** Leased slots that the allocator has recalled and that are not yet returned. */
    var recalled = 0
    var leaseUntilMs = 0L

    /** VM that granted the leased slots; differs from [allocator] for a while after a change of membership. */
    var leasedFrom: VmIdentity? = null

    /** Lowest number of idle slots since [idleSinceMs]: this many slots have not been needed since then. */
    var minIdle = 0
    var idleSinceMs = 0L

    /** Whether the last task succeeded, if that has not been reported to the allocator yet; otherwise null. */
    var unreportedOutcome: Boolean? = null
    var reportedMs = 0L
    var drained = false

    /** The worker is no longer in the platform's list. The record stays until its running tasks have ended. */
    var isUnlisted = false
    var usage: WorkerUsage? = null

    /** Network distance of the worker: 0 in this VM's data centre, 1 in another one of its region, 2 in another region. */
    var hops = 0

    // State of the free-slot index and of the counters of the shard.
    var lane: FreeSlotLane? = null
    var bucket = 0
    var countedFree = 0
    var countedBucket = 0
    var countedBusy = 0
    var countedFreeOwn = 0
    var next: WorkerRecord? = null
    var previous: WorkerRecord? = null

    val isLeaving: Boolean get() = isUnlisted || entry.state != VmState.LIVE
    val acceptsWork: Boolean get() = !isLeaving && !drained

    fun update(entry: VmEntry) {
        this.entry = entry
        isUnlisted = false
        address = WorkerAddress(entry.id, entry.host, entry.port)
    }

    /** Occupies a slot with a task that is expected to take [expectedMs] on a worker of speed 1. */
    fun occupy(expectedMs: Double, nowMs: Long) {
        if (busy++ == 0) restartOutcomeTimer(nowMs, expectedMs)
        longestExpectedMs = maxOf(longestExpectedMs, expectedMs)
    }

    /** Frees the slot of a task whose call has ended. */
    fun vacate(nowMs: Long) {
        busy--
        restartOutcomeTimer(nowMs, if (busy == 0) 0.0 else longestExpectedMs)
    }

    private fun restartOutcomeTimer(nowMs: Long, expectedMs: Double) {
        awaitedSinceMs = nowMs
        longestExpectedMs = expectedMs
        isUnresponsive = false
    }

    /** Updates [isUnresponsive]. Returns true if it has become true, so that the record has to be reindexed. */
    fun updateUnresponsive(nowMs: Long): Boolean {
        if (isUnresponsive || busy == 0) return false
        isUnresponsive = nowMs - awaitedSinceMs > maxOf(UNRESPONSIVE_MIN_MS, UNRESPONSIVE_FACTOR * longestExpectedMs / health.speed)
        return isUnresponsive
    }

    /** Slots that no other VM may use now. A running task occupies its slot even if the lease has expired. */
    val held: Int get() = maxOf(busy, granted) + pendingReturn

    /** If this VM is the allocator, sets [granted] to the slots that are not leased out, or to 0 while it is settling. */
    fun recomputeOwn() {
        if (isOwn) granted = if (isSettling) 0 else maxOf(0, entry.slots - leasedOut)
    }

    /** Slots without a task, which can be leased or returned. */
    val idle: Int get() = maxOf(0, granted - busy)

    /** Bucket of the index that the worker belongs to. */
    fun speedBucket(): Int = if (health.lastFailed || isUnresponsive) SpeedBuckets.LAST else SpeedBuckets.of(health.speed)

    /** Starts a new period for [minIdle]. */
    fun restartIdleWindow(nowMs: Long) {
        minIdle = idle
        idleSinceMs = nowMs
    }

    /** The allocator applies slow start to all slots of the worker, whoever holds them; a holder only after failures that it has seen. */
    private val slowStartLimit: Int
        get() = when {
            isOwn -> health.usableSlots - leasedOut
            health.isSlowStartAfterFailure -> health.usableSlots
            else -> entry.slots
        }

    /** Slots that can take a task at [nowMs]. */
    fun freeSlots(nowMs: Long): Int {
        val isLeaseValid = isOwn || nowMs < leaseUntilMs
        if (!acceptsWork || !isLeaseValid || health.isEjected(nowMs)) return 0
        return maxOf(0, minOf(granted - recalled, slowStartLimit) - busy)
    }

    private companion object {
        /** A worker is unresponsive once it had no outcome for this many times the expected run time of its longest task. */
        const val UNRESPONSIVE_FACTOR = 3.0

        /** Lower bound of that time, in ms. */
        const val UNRESPONSIVE_MIN_MS = 100.0
    }
}
