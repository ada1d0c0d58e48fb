/* The holder's side of slot leases: which slots to request, renew and return. */
package dandelionpoint.coordination.placement

import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.state.worker.SpeedBuckets
import dandelionpoint.state.worker.WorkerRecord
import dandelionpoint.state.worker.WorkerTable

/**
 * Leases slots from other allocators. Called under the lock of [SlotLeasePlacement] that guards the exchange of slots; acquires the
 * locks of worker shards inside.
 */
internal class SlotLeaseHolder(private val table: WorkerTable, private val settings: PlacementSettings, private val recalls: SlotRecalls) {
    private class OpenRequest(val sentMs: Long, val wanted: Int, val held: Map<String, Int>)

    private class PeerAllocator {
        var open: OpenRequest? = null
        val freeByBucket = IntArray(SpeedBuckets.COUNT)
        var renewedMs = 0L
        var nextRequestMs = 0L
        var backoffMs = 0L
        var requestRevision = 0L
        var requestMs = 0L

        /** Slots of the last request that were not granted yet. */
        var outstanding = 0

        fun outstanding(nowMs: Long) = if (nowMs < requestMs + REQUEST_RETRY_MS) outstanding else 0

        /** Subtracts [count] granted slots from [freeByBucket], fastest first, since an allocator grants its fastest slots first. */
        fun deductFree(count: Int) {
            var left = count
            for (bucket in freeByBucket.indices) {
                val taken = minOf(left, freeByBucket[bucket])
                freeByBucket[bucket] -= taken
                left -= taken
            }
        }
    }

    private val allocators = HashMap<VmIdentity, PeerAllocator>()
    private var revision = 0L
    private var firstPeerIndex = 0

    /** Slots that are slower than this are not used before [deferUntilMs], since faster ones have been requested. */
    @Volatile
    private var slowestBucket = SpeedBuckets.LAST

    @Volatile
    private var deferUntilMs = 0L

    /** The slowest speed bucket in which tasks are placed at [nowMs]. Needs no lock. */
    fun slowestBucket(nowMs: Long): Int = if (nowMs < deferUntilMs) slowestBucket else SpeedBuckets.LAST

    /** Sets the live peers, without this VM. An open request to a VM that is no longer live counts as unanswered. */
    fun updatePeers(peers: Set<VmIdentity>) {
        allocators.keys.retainAll(peers)
        recalls.retain(peers)
        peers.forEach { allocators.getOrPut(it) { PeerAllocator() } }
    }

    /** Records how many slots of its own workers [from] has free. */
    fun onHeartbeat(from: VmIdentity, heartbeat: PeerMessage.Heartbeat) {
        val free = allocators[from]?.freeByBucket ?: return
        free.fill(0)
        for (holding in heartbeat.holdings) {
            table.withWorker(holding.workerId) { record ->
                val isUsable = record.allocator == from && record.acceptsWork && !record.health.onProbation
                if (isUsable) free[record.speedBucket()] += maxOf(0, holding.held - holding.busy)
            }
        }
    }

    /** Creates the slot requests to send now: for tasks that wait, and for leases that are due for renewal. */
    fun requests(backlog: Backlog, nowMs: Long): Map<VmIdentity, PeerMessage.SlotRequest> {
        if (allocators.isEmpty()) return emptyMap()
        val amounts = amounts(backlog.total, nowMs)
        val held = heldByPeer()
        val requests = HashMap<VmIdentity, PeerMessage.SlotRequest>()
        for ((vm, allocator) in allocators) {
            val wanted = amounts[vm] ?: 0
            val isRenewalDue = vm in held && nowMs >= allocator.renewedMs + settings.renewAfterMs
            if (allocator.open != null || (wanted == 0 && !isRenewalDue)) continue
            val total = wanted + allocator.outstanding(nowMs)
            val request = PeerMessage.SlotRequest(
                total,
                held[vm].orEmpty(),
                ++revision,
                collectOutcomes(vm, nowMs),
                backlog.subsetForRequest(total, nowMs),
            )
            allocator.open = OpenRequest(nowMs, total, request.held)
            allocator.outstanding = 0
            allocator.requestRevision = request.revision
            allocator.requestMs = nowMs
            requests[vm] = request
        }
        return requests
    }

    /** Slots to request from each peer: the fastest known to be free; if they are too few, also an equal part of the rest from each. */
    private fun amounts(waitingTasks: Int, nowMs: Long): Map<VmIdentity, Int> {
        val alreadyRequested = allocators.values.sumOf { (it.open?.wanted ?: 0) + it.outstanding(nowMs) }
        val missing = minOf(waitingTasks - alreadyRequested, settings.maxSlotsInRequest)
        if (missing <= 0) return emptyMap()
        val candidates = allocators.filterValues { it.open == null }.toList()
        val plan = SlotRequestPlan.create(missing, table.freeByBucket(), candidates.map { it.second.freeByBucket }, REMOTE_BUCKET_PENALTY)
        val amounts = HashMap<VmIdentity, Int>()
        candidates.forEachIndexed { index, (vm, _) -> if (plan.requested[index] > 0) amounts[vm] = plan.requested[index] }
        if (amounts.isNotEmpty()) {
            slowestBucket = plan.slowestBucket
            deferUntilMs = nowMs + settings.deferMs
        }
        spreadEvenly(plan.unfilled, candidates.filter { nowMs >= it.second.nextRequestMs }.map { it.first }, amounts)
        return amounts
    }

    private fun spreadEvenly(tasks: Int, vms: List<VmIdentity>, amounts: MutableMap<VmIdentity, Int>) {
        if (vms.isEmpty()) return
        val start = firstPeerIndex++
        for (index in vms.indices) {
            val amount = (tasks + index) / vms.size
            if (amount > 0) amounts.merge(vms[(start + index) % vms.size], amount, Int::plus)
        }
    }

    /**
     * Held slots, listed both for the VM that allocates them and for the VM that granted them. VMs learn of a change of allocator at
     * different times, and an allocator takes a slot that is missing from its list to be free.
     */
    private fun heldByPeer(): Map<VmIdentity, Map<String, Int>> {
        val held = HashMap<VmIdentity, HashMap<String, Int>>()
        table.forEachLeased { record ->
            for (peer in listOfNotNull(record.allocator, record.leasedFrom)) held.getOrPut(peer) { HashMap() }[record.id] = record.held
        }
        return held
    }

    private fun collectOutcomes(allocator: VmIdentity, nowMs: Long): Map<String, Boolean> {
        val outcomes = HashMap<String, Boolean>()
        table.forEachLeased { record ->
            if (record.allocator == allocator) collectOutcome(record, nowMs)?.let { outcomes[record.id] = it }
        }
        return outcomes
    }

    /** Failures are reported at once. So are the first successes, on which the allocator's slow start depends; then one per second. */
    private fun collectOutcome(record: WorkerRecord, nowMs: Long): Boolean? {
        val outcome = record.unreportedOutcome ?: return null
        val shouldReport = !outcome || record.health.usableSlots < record.entry.slots || nowMs >= record.reportedMs + REPORT_INTERVAL_MS
        record.unreportedOutcome = null
        if (shouldReport) record.reportedMs = nowMs
        return outcome.takeIf { shouldReport }
    }

    /** Applies an answer. The lease is renewed from the time of the request, so that it expires here before it expires at the allocator. */
    fun onGrant(from: VmIdentity, grant: PeerMessage.SlotGrant?, nowMs: Long) {
        val allocator = allocators[from] ?: return
        val open = allocator.open ?: return
        allocator.open = null
        if (grant == null) {
            allocator.nextRequestMs = nowMs + settings.requestBackoffMaxMs
            return
        }
        val leaseUntil = open.sentMs + settings.leaseMs
        allocator.renewedMs = open.sentMs
        open.held.keys.forEach { renew(it, from, leaseUntil, nowMs) }
        recalls.set(from, grant.recalled)
        if (nowMs <= open.sentMs + settings.grantValidMs) {
            grant.slots.forEach { (workerId, count) -> addGrantedSlots(workerId, from, count, leaseUntil, nowMs) }
        }
        recordAnswer(allocator, open.wanted, grant.slots.values.sum(), nowMs)
    }

    private fun recordAnswer(allocator: PeerAllocator, wanted: Int, granted: Int, nowMs: Long) {
        if (granted < wanted) allocator.freeByBucket.fill(0) else allocator.deductFree(granted)
        allocator.backoffMs = when {
            granted > 0 || wanted == 0 -> 0
            else -> (allocator.backoffMs * 2).coerceIn(settings.requestBackoffMs, settings.requestBackoffMaxMs)
        }
        allocator.nextRequestMs = nowMs + allocator.backoffMs
        allocator.outstanding = maxOf(0, wanted - granted)
    }

    private fun renew(workerId: String, from: VmIdentity, leaseUntil: Long, nowMs: Long) {
        table.withWorker(workerId) { record ->
            if (record.allocator == from && nowMs < record.leaseUntilMs) record.leaseUntilMs = maxOf(record.leaseUntilMs, leaseUntil)
        }
    }

    /** Applies slots that [from] could not grant at once. They are dropped unless they belong to the last request. */
    fun onDelayedGrant(from: VmIdentity, slots: PeerMessage.SlotReturn, nowMs: Long) {
        val allocator = allocators[from] ?: return
        if (slots.request != allocator.requestRevision || nowMs > allocator.requestMs + settings.delayedGrantValidMs) return
        val leaseUntil = allocator.requestMs + settings.leaseMs
        slots.granted.forEach { (workerId, count) -> addGrantedSlots(workerId, from, count, leaseUntil, nowMs) }
        allocator.outstanding = maxOf(0, allocator.outstanding - slots.granted.values.sum())
        recalls.set(from, slots.recalled)
    }

    /**
     * Drops a grant that would exceed the slots of the worker, or that arrives while tasks still run under an expired lease. The next
     * request lists what is held and so corrects the allocator.
     */
    private fun addGrantedSlots(workerId: String, from: VmIdentity, count: Int, leaseUntil: Long, nowMs: Long) {
        table.withWorker(workerId) { record ->
            val isAllocator = record.allocator == from && !record.isOwn
            val fits = count > 0 && record.busy <= record.granted && record.granted + count <= record.entry.slots
            if (isAllocator && fits) {
                record.granted += count
                record.leasedFrom = from
                record.leaseUntilMs = leaseUntil
                record.restartIdleWindow(nowMs)
                reindex(record, nowMs)
            }
        }
    }

    /** Expires leases and collects the slots to return: recalled ones, unusable ones, and those that were idle for long enough. */
    fun returns(nowMs: Long): Map<VmIdentity, PeerMessage.SlotReturn> {
        val returned = HashMap<VmIdentity, HashMap<String, Int>>()
        val outcomes = HashMap<VmIdentity, HashMap<String, Boolean>>()
        table.forEachLeased { record ->
            if (nowMs >= record.leaseUntilMs) record.granted = 0
            val allocator = record.allocator
            val count = collectReturn(record, nowMs)
            if (count > 0 && allocator != null) {
                returned.getOrPut(allocator) { HashMap() }[record.id] = count
                collectOutcome(record, nowMs)?.let { outcomes.getOrPut(allocator) { HashMap() }[record.id] = it }
            }
            reindex(record, nowMs)
        }
        return returned.mapValues { (allocator, slots) -> PeerMessage.SlotReturn(slots, ++revision, outcomes[allocator].orEmpty()) }
    }

    private fun collectReturn(record: WorkerRecord, nowMs: Long): Int {
        val isUnusable = !record.acceptsWork || record.health.onProbation
        val unneeded = if (nowMs >= record.idleSinceMs + settings.slotIdleReturnMs) record.minIdle else 0
        val count = if (isUnusable) record.idle else minOf(record.idle, maxOf(record.recalled, unneeded))
        record.granted -= count
        record.recalled = maxOf(0, record.recalled - count)
        if (nowMs >= record.idleSinceMs + settings.slotIdleReturnMs) record.restartIdleWindow(nowMs)
        val pendingReturn = record.pendingReturn
        record.pendingReturn = 0
        return count + pendingReturn
    }

    private companion object {
        /** Slots that were not granted are requested again after this time, since the demand may have changed. */
        const val REQUEST_RETRY_MS = 100L

        /** Leasing a slot takes about 3 ms, which is less than one step of speed for most tasks. */
        const val REMOTE_BUCKET_PENALTY = 1

        /** Interval of repeated reports of success, which make up for lost ones at little cost. */
        const val REPORT_INTERVAL_MS = 1_000L
    }
}
