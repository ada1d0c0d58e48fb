/* State of one worker in the worker table. */
package dandelionpoint.state.worker

import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.store.VmEntry
import dandelionpoint.protocol.store.VmState
import dandelionpoint.protocol.store.WorkerUsage
import dandelionpoint.protocol.worker.WorkerAddress

/** A worker and the slots of it that this VM holds. Guarded by the lock of its shard. */
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

    /** The allocator has yet to learn which slots other VMs hold; until then it has none to use or grant. */
    var isSettling = false

    /** Slots leased to other VMs, if this VM is the allocator. */
    var leasedOut = 0

    /** Slots that this VM may use: its own ones that are not leased out, or those it has under a valid lease. */
    var granted = 0
    var busy = 0
        private set

    /** The worker has left its tasks without an outcome for several times their expected run time, as of the last check. */
    var isSilent = false
        private set
    private var awaitedSinceMs = 0L
    private var awaitedMs = 0.0

    /** Slots that ended their last task after the lease on them had expired, to be reported to the allocator. */
    var owed = 0

    /** Leased slots that the allocator has recalled and that are not yet returned. */
    var recalled = 0
    var leaseUntilMs = 0L

    /** VM that granted the leased slots; differs from [allocator] for a while after a change of membership. */
    var leasedFrom: VmIdentity? = null

    /** Fewest idle slots since [idleSinceMs]; so many have not been needed for that long. */
    var idleFloor = 0
    var idleSinceMs = 0L

    /** Outcome of the last task since the allocator was told, or null. */
    var unreportedOutcome: Boolean? = null
    var reportedMs = 0L
    var drained = false

    /** The platform's list no longer has the worker; the record stays until its running tasks have ended. */
    var isUnlisted = false
    var usage: WorkerUsage? = null

    /** Hops to another data centre: 0 in this VM's data centre, 1 in its region, 2 beyond. */
    var hops = 0

    // Links of the free-slot index.
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

    /** Occupies a slot with a task that should take [expectedMs] on a worker of speed 1. */
    fun occupy(expectedMs: Double, nowMs: Long) {
        if (busy++ == 0) awaitOutcome(nowMs, expectedMs)
        awaitedMs = maxOf(awaitedMs, expectedMs)
    }

    /** Frees the slot of a task whose call has ended. */
    fun vacate(nowMs: Long) {
        busy--
        awaitOutcome(nowMs, if (busy == 0) 0.0 else awaitedMs)
    }

    private fun awaitOutcome(nowMs: Long, expectedMs: Double) {
        awaitedSinceMs = nowMs
        awaitedMs = expectedMs
        isSilent = false
    }

    /** Looks for silence. Returns true if [isSilent] has changed, and the record has to be indexed anew. */
    fun checkSilence(nowMs: Long): Boolean {
        if (isSilent || busy == 0) return false
        isSilent = nowMs - awaitedSinceMs > maxOf(SILENT_MIN_MS, SILENT_FACTOR * awaitedMs / health.speed)
        return isSilent
    }

    /** Slots that no other VM may use now. A task that runs occupies its slot even if the lease has expired. */
    val held: Int get() = maxOf(busy, granted) + owed

    /** Own slots are all that are not leased out; there are none while the allocator is settling. */
    fun recomputeOwn() {
        if (isOwn) granted = if (isSettling) 0 else maxOf(0, entry.slots - leasedOut)
    }

    /** Slots without a task that can be given away. */
    val idle: Int get() = maxOf(0, granted - busy)

    /** List of the index that the worker belongs to. */
    fun speedBucket(): Int = if (health.lastFailed || isSilent) SpeedBuckets.LAST else SpeedBuckets.of(health.speed)

    /** Starts to observe anew how many slots stay idle. */
    fun restartIdleWindow(nowMs: Long) {
        idleFloor = idle
        idleSinceMs = nowMs
    }

    /** The allocator applies slow start to all slots of the worker, wherever they are; a holder only after failures it has seen. */
    private val slowStartLimit: Int
        get() = when {
            isOwn -> health.usableSlots - leasedOut
            health.isSuspect -> health.usableSlots
            else -> entry.slots
        }

    /** Slots that can take a task at [nowMs]. */
    fun freeSlots(nowMs: Long): Int {
        val isLeaseValid = isOwn || nowMs < leaseUntilMs
        if (!acceptsWork || !isLeaseValid || health.isEjected(nowMs)) return 0
        return maxOf(0, minOf(granted - recalled, slowStartLimit) - busy)
    }

    private companion object {
        /** A worker is silent if its longest task should have ended this many times over, and at the earliest after [SILENT_MIN_MS]. */
        const val SILENT_FACTOR = 3.0
        const val SILENT_MIN_MS = 100.0
    }
}
