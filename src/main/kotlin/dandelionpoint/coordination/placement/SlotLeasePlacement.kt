/* Placement on slots that this VM holds: its own, and those leased from other allocators in batches. */
package dandelionpoint.coordination.placement

import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.SlotHolding
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.store.VmEntry
import dandelionpoint.protocol.store.WorkerUsage
import dandelionpoint.protocol.worker.CallOutcome
import dandelionpoint.state.worker.SlotQuery
import dandelionpoint.state.worker.WorkerRecord
import dandelionpoint.state.worker.WorkerShard
import dandelionpoint.state.worker.WorkerTable
import java.util.concurrent.atomic.LongAdder
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Implements [PlacementPolicy.SlotLeases], the default policy (section 6 of the design). [clock] is monotonic, in ms. */
internal class SlotLeasePlacement(private val settings: PlacementSettings, private val clock: () -> Long) : Placement {
    private val table = WorkerTable(settings.health)
    private val estimates = RunTimeEstimates()
    private val recalls = SlotRecalls()
    private val outcomes = OutcomeRecorder(table, estimates, settings, recalls)
    private val summary = ClusterSummary(table, clock)

    /** Guards the exchange of slots with peers: everything below. Taken before the lock of a shard, never after it. */
    private val exchange = ReentrantLock()
    private val allocator = SlotAllocator(table, settings)
    private val leaseHolder = SlotLeaseHolder(table, settings, recalls)
    private var self: VmIdentity? = null
    private var choice = SlotAllocatorChoice(emptySet())
    private val backlog = Backlog()
    private val placed = LongAdder()

    @Volatile
    private var tickedMs = clock()
    private var unresponsiveCheckedMs = clock()

    override fun place(demand: TaskDemand): Reservation? {
        val nowMs = clock()
        if (wasPaused(nowMs)) return null
        val expectedMs = estimates.expectedMs(demand.taskClass, demand.declaredMs)
        val query = SlotQuery(
            expectedMs,
            settings.hopCostMs,
            demand.memoryMb,
            demand.avoid,
            demand.retryable,
            leasedOnly = table.ownBusy >= allocator.ownLimit,
            slowestBucket = leaseHolder.slowestBucket(nowMs),
        )
        return table.withBestWorker(query, nowMs) { record ->
            placed.increment()
            record.occupy(expectedMs, nowMs)
            record.minIdle = minOf(record.minIdle, record.idle)
            reindex(record, nowMs)
            Reservation(record.address, demand.taskClass, demand.declaredMs, expectedMs)
        }
    }

    override fun complete(reservation: Reservation, outcome: CallOutcome, elapsedMs: Double) {
        outcomes.record(reservation, outcome, elapsedMs, clock())
    }

    override fun updateWorkers(workers: List<VmEntry>) = exchange.withLock {
        val nowMs = clock()
        table.update(workers, nowMs, onRemove = allocator::removeWorker) { record, isNew ->
            if (isNew) assign(record, nowMs)
            reindex(record, nowMs)
        }
    }

    override fun updateUsage(usage: List<WorkerUsage>) {
        for (report in usage) table.withWorker(report.id) { it.usage = report }
    }

    override fun updatePeers(self: VmIdentity, live: Set<VmIdentity>) = exchange.withLock {
        val nowMs = clock()
        this.self = self
        choice = SlotAllocatorChoice(live + self)
        allocator.updatePeers(live - self)
        leaseHolder.updatePeers(live - self)
        table.forEach { record ->
            assign(record, nowMs)
            reindex(record, nowMs)
        }
    }

    private fun WorkerShard.assign(record: WorkerRecord, nowMs: Long) {
        val entry = record.entry
        val chosen = choice.choose(entry.id, entry.dataCentre, entry.region)
        record.hops = hops(entry)
        if (chosen == record.allocator) return
        val wasOwn = record.isOwn
        record.allocator = chosen
        if (chosen != null && chosen == self) {
            allocator.startAllocating(record, nowMs)
        } else {
            record.pendingReturn = 0
            record.recalled = 0
            if (wasOwn) allocator.stopAllocating(record)
        }
    }

    private fun hops(entry: VmEntry): Int = when {
        entry.region != self?.region -> 2
        entry.dataCentre != self?.dataCentre -> 1
        else -> 0
    }

    override fun onHeartbeat(from: VmIdentity, heartbeat: PeerMessage.Heartbeat) = exchange.withLock {
        val nowMs = clock()
        allocator.onHeartbeat(from, heartbeat, nowMs)
        leaseHolder.onHeartbeat(from, heartbeat)
        for ((workerId, remainingMs) in heartbeat.ejected) {
            table.withWorker(workerId) { record ->
                record.health.applyPeerEjection(nowMs, remainingMs)
                reindex(record, nowMs)
            }
        }
    }

    override fun onSlotRequest(from: VmIdentity, request: PeerMessage.SlotRequest): PeerMessage.SlotGrant = exchange.withLock {
        val nowMs = clock()
        if (wasPaused(nowMs)) PeerMessage.SlotGrant(emptyMap()) else allocator.onRequest(from, request, backlog, nowMs)
    }

    override fun onSlotReturn(from: VmIdentity, slots: PeerMessage.SlotReturn) = exchange.withLock {
        val nowMs = clock()
        allocator.onReturn(from, slots, nowMs)
        leaseHolder.onDelayedGrant(from, slots, nowMs)
    }

    override fun slotRequests(waitingTasks: Int): Map<VmIdentity, PeerMessage.SlotRequest> = exchange.withLock {
        val nowMs = clock()
        backlog.update(waitingTasks, placed.sum(), nowMs)
        leaseHolder.requests(backlog, nowMs)
    }

    override fun onSlotGrant(from: VmIdentity, grant: PeerMessage.SlotGrant?) = exchange.withLock {
        leaseHolder.onGrant(from, grant, clock())
    }

    override fun tick(): Map<VmIdentity, PeerMessage.SlotReturn> = exchange.withLock {
        val nowMs = clock()
        if (wasPaused(nowMs)) allocator.restartAllocating(nowMs)
        tickedMs = nowMs
        table.endEjections(nowMs)
        if (nowMs >= unresponsiveCheckedMs + UNRESPONSIVE_CHECK_INTERVAL_MS) checkUnresponsiveWorkers(nowMs)
        allocator.expire(nowMs)
        val returned = leaseHolder.returns(nowMs)
        val delayedGrants = allocator.grantToWaiting(backlog, nowMs)
        (returned.keys + delayedGrants.keys).associateWith { merge(returned[it], delayedGrants[it]) }
    }

    private fun checkUnresponsiveWorkers(nowMs: Long) {
        unresponsiveCheckedMs = nowMs
        table.forEach { if (it.updateUnresponsive(nowMs)) reindex(it, nowMs) }
    }

    private fun merge(returned: PeerMessage.SlotReturn?, delayedGrant: PeerMessage.SlotReturn?): PeerMessage.SlotReturn {
        val slots = returned ?: PeerMessage.SlotReturn(emptyMap())
        if (delayedGrant == null) return slots
        return slots.copy(granted = delayedGrant.granted, request = delayedGrant.request, recalled = delayedGrant.recalled)
    }

    private fun wasPaused(nowMs: Long) = nowMs >= tickedMs + settings.pausedAfterMs

    override fun holdings(): List<SlotHolding> = summary.holdings()

    override fun ejected(): Map<String, Long> = table.ejectedLocally(clock())

    override fun capacity(): Capacity = summary.capacity()

    override fun expectedMs(taskClass: String, declaredMs: Int): Double = estimates.expectedMs(taskClass, declaredMs)

    override fun workers(): List<WorkerStatus> = summary.workers()

    override fun drain(workerId: String) {
        table.withWorker(workerId) { record ->
            record.drained = true
            reindex(record, clock())
        }
    }

    private companion object {
        /** Interval of the check for unresponsive workers, in ms. */
        const val UNRESPONSIVE_CHECK_INTERVAL_MS = 50L
    }
}
