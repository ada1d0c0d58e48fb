/* The allocator's side of slot leases: records which slots of this VM's workers are leased to which VM. */
package dandelionpoint.coordination.placement

import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.state.worker.SlotQuery
import dandelionpoint.state.worker.WorkerRecord
import dandelionpoint.state.worker.WorkerShard
import dandelionpoint.state.worker.WorkerTable

/**
 * Leases slots of the workers that this VM allocates. A slot is either leased to one VM or this VM's own. Called under the lock of
 * [SlotLeasePlacement] that guards the exchange of slots; acquires the locks of worker shards inside.
 */
internal class SlotAllocator(private val table: WorkerTable, private val settings: PlacementSettings) {
    /**
     * [count] slots of one worker. [confirmedMs] is the last time when the holder reported that it holds all of them, or when they were
     * granted. [isGranted] is true if this VM granted slots itself, [isListed] once a request of the holder has listed the lease.
     */
    private class Lease(var count: Int, var confirmedMs: Long, var isGranted: Boolean, var isListed: Boolean = false)

    private class Holder {
        val leases = HashMap<String, Lease>()
        var revision = 0L
        var heartbeatMs = Long.MIN_VALUE
        var requestRevision = 0L
        var waiting: List<ArrivalGroup> = emptyList()
        var requestedMs = 0L

        /** Slots that were recalled and are not yet returned. */
        var recalled = 0
        val held get() = leases.values.sumOf { it.count }

        fun waiting(nowMs: Long) = if (nowMs < requestedMs + REQUEST_VALID_MS) waiting else emptyList()

        /** Removes the oldest [count] tasks from [waiting], since slots were granted to them. */
        fun removeServed(count: Int) {
            var left = count
            for (group in waiting) {
                val served = minOf(left, group.count)
                group.count -= served
                left -= served
            }
            waiting = waiting.filter { it.count > 0 }
        }
    }

    private val holders = HashMap<VmIdentity, Holder>()
    private val settlingSince = HashMap<String, Long>()
    private var live: Set<VmIdentity> = emptySet()

    /** Upper limit of the tasks that this VM may run on its own workers now, so that slots become free for VMs entitled to them. */
    @Volatile
    var ownLimit = Int.MAX_VALUE
        private set

    /** Sets the live peers, without this VM. The slots of a VM that is no longer live become free once its leases have expired. */
    fun updatePeers(peers: Set<VmIdentity>) {
        live = peers
    }

    /** Makes this VM the allocator of [record]. It uses and grants none of the slots until it knows which of them other VMs hold. */
    fun startAllocating(record: WorkerRecord, nowMs: Long) {
        record.isOwn = true
        record.isSettling = live.isNotEmpty()
        record.leasedOut = 0
        record.recalled = 0
        record.pendingReturn = 0
        record.recomputeOwn()
        if (record.isSettling) settlingSince[record.id] = nowMs
    }

    /**
     * Discards all leases after a process pause and collects them anew: other VMs may have been the allocators of this VM's workers
     * meanwhile.
     */
    fun restartAllocating(nowMs: Long) {
        holders.values.forEach { it.leases.clear() }
        table.forEach { record ->
            if (record.isOwn) startAllocating(record, nowMs)
            reindex(record, nowMs)
        }
    }

    /** Called when another VM has become the allocator of [record]. Running tasks keep their slots until they end. */
    fun stopAllocating(record: WorkerRecord) {
        record.isOwn = false
        record.isSettling = false
        record.leasedOut = 0
        record.granted = 0
        settlingSince.remove(record.id)
        holders.values.forEach { it.leases.remove(record.id) }
    }

    /** Drops all state of a worker that has left the table. */
    fun removeWorker(record: WorkerRecord) {
        settlingSince.remove(record.id)
        holders.values.forEach { it.leases.remove(record.id) }
    }

    /**
     * Applies the holdings that [from] reports. A count below the lease may be older than the grant, so it lowers the lease only once that
     * has expired.
     */
    fun onHeartbeat(from: VmIdentity, heartbeat: PeerMessage.Heartbeat, nowMs: Long) {
        val holder = holders.getOrPut(from) { Holder() }
        holder.heartbeatMs = nowMs
        val reported = heartbeat.holdings.associate { it.workerId to it.held }
        for ((workerId, count) in reported) confirm(holder, workerId, count, nowMs)
        for ((workerId, lease) in holder.leases.toList()) {
            val count = reported[workerId] ?: 0
            if (count < lease.count && (!lease.isGranted || isExpired(lease, nowMs))) setLease(holder, workerId, count, nowMs)
        }
        if (heartbeat.waitingTasks == 0) holder.waiting = emptyList()
    }

    private fun confirm(holder: Holder, workerId: String, count: Int, nowMs: Long) {
        val lease = holder.leases[workerId]
        if (lease == null || lease.count < count) {
            setLease(holder, workerId, count, nowMs)
        } else if (lease.count == count) {
            lease.confirmedMs = nowMs
        }
    }

    /** Renews what [from] holds, then grants up to the requested number of slots. An outdated request has no effect: its grant is empty. */
    fun onRequest(from: VmIdentity, request: PeerMessage.SlotRequest, backlog: Backlog, nowMs: Long): PeerMessage.SlotGrant {
        val holder = holders.getOrPut(from) { Holder() }
        if (from !in live || request.revision <= holder.revision) return PeerMessage.SlotGrant(emptyMap())
        holder.revision = request.revision
        holder.requestRevision = request.revision
        synchronise(holder, request.held, nowMs)
        applyOutcomes(request.outcomes, nowMs)
        holder.waiting = request.waiting.map { ArrivalGroup(nowMs - maxOf(0, it.ageMs), maxOf(0, it.count)) }
        holder.requestedMs = nowMs
        val share = computeShares(backlog, nowMs).getValue(holder)
        val granted = grant(holder, minOf(request.wanted, share.granted), nowMs)
        holder.recalled = share.surplus
        return PeerMessage.SlotGrant(granted, holder.recalled)
    }

    /** Computes the share of each holder; the key null stands for this VM. */
    private fun computeShares(backlog: Backlog, nowMs: Long): Map<Holder?, SlotShare> {
        val ordered = holders.values.toList() + null
        val own = backlog.subset(ceilDiv(backlog.total, live.size + 1))
        val demands = ordered.map { if (it == null) SlotDemand(table.ownBusy, own) else SlotDemand(it.held, it.waiting(nowMs)) }
        return ordered.zip(SlotShares.divide(table.ownFree, demands)).toMap()
    }

    private fun grant(holder: Holder, wanted: Int, nowMs: Long): Map<String, Int> {
        val granted = HashMap<String, Int>()
        var remaining = wanted
        while (remaining > 0) {
            val (workerId, count) = leaseFastestOwn(remaining, nowMs) ?: break
            granted.merge(workerId, count, Int::plus)
            remaining -= count
        }
        for ((workerId, count) in granted) recordGrant(holder, workerId, count, nowMs)
        holder.removeServed(granted.values.sum())
        return granted
    }

    /** Grants free slots to the VMs that wait for them, and recalls slots from VMs that hold more than their share. */
    fun grantToWaiting(backlog: Backlog, nowMs: Long): Map<VmIdentity, PeerMessage.SlotReturn> {
        ownLimit = Int.MAX_VALUE
        if (backlog.total == 0 && holders.values.all { it.waiting(nowMs).isEmpty() }) return emptyMap()
        val shares = computeShares(backlog, nowMs)
        val ownSurplus = shares.getValue(null).surplus
        if (ownSurplus > 0) ownLimit = table.ownBusy - ownSurplus
        val messages = HashMap<VmIdentity, PeerMessage.SlotReturn>()
        for ((vm, holder) in holders) {
            if (vm !in live) continue
            val granted = grant(holder, shares.getValue(holder).granted, nowMs)
            val surplus = shares.getValue(holder).surplus
            val isIncreased = surplus > holder.recalled
            if (isIncreased) holder.recalled = surplus
            if (granted.isEmpty() && !isIncreased) continue
            messages[vm] = PeerMessage.SlotReturn(
                slots = emptyMap(),
                granted = granted,
                request = holder.requestRevision,
                recalled = holder.recalled,
            )
        }
        return messages
    }

    fun onReturn(from: VmIdentity, slots: PeerMessage.SlotReturn, nowMs: Long) {
        val holder = holders[from] ?: return
        applyOutcomes(slots.outcomes, nowMs)
        if (slots.revision <= holder.revision) return
        holder.recalled = maxOf(0, holder.recalled - slots.slots.values.sum())
        for ((workerId, count) in slots.slots) {
            val lease = holder.leases[workerId] ?: continue
            setLease(holder, workerId, maxOf(0, lease.count - maxOf(0, count)), nowMs)
        }
    }

    /** Removes expired leases of VMs that are no longer live, and ends the settling of workers whose holders are known. */
    fun expire(nowMs: Long) {
        for ((vm, holder) in holders.toList()) {
            if (vm in live) continue
            for ((workerId, lease) in holder.leases.toList()) {
                if (isExpired(lease, nowMs)) setLease(holder, workerId, 0, nowMs)
            }
            if (holder.leases.isEmpty()) holders.remove(vm)
        }
        if (settlingSince.isNotEmpty()) settle(nowMs)
    }

    private fun settle(nowMs: Long) {
        val oldestReport = live.minOfOrNull { holders[it]?.heartbeatMs ?: Long.MIN_VALUE } ?: nowMs
        val waited = settings.leaseMs + settings.leaseMarginMs
        val settled = settlingSince.filterValues { oldestReport >= it + settings.settleMs || nowMs >= it + waited }.keys
        for (workerId in settled) {
            settlingSince.remove(workerId)
            updateOwn(workerId, nowMs) { it.isSettling = false }
        }
    }

    /**
     * Replaces the leases of [holder] by those that its request lists. A holder sends no second request before the answer to the first has
     * arrived or timed out, so the list has everything that was granted to it. It may lack slots granted by another allocator that this
     * VM knows from a heartbeat only, so leases that were neither granted here nor listed before are kept.
     */
    private fun synchronise(holder: Holder, held: Map<String, Int>, nowMs: Long) {
        for ((workerId, lease) in holder.leases.toList()) {
            if (workerId !in held && (lease.isGranted || lease.isListed)) setLease(holder, workerId, 0, nowMs)
        }
        for ((workerId, count) in held) {
            setLease(holder, workerId, maxOf(0, count), nowMs)
            holder.leases[workerId]?.isListed = true
        }
    }

    private fun applyOutcomes(outcomes: Map<String, Boolean>, nowMs: Long) {
        for ((workerId, succeeded) in outcomes) {
            updateOwn(workerId, nowMs) { if (succeeded) it.health.recordPeerSuccess() else it.health.recordPeerFailure() }
        }
    }

    private fun setLease(holder: Holder, workerId: String, count: Int, nowMs: Long) {
        val before = holder.leases[workerId]?.count ?: 0
        val isOwn = updateOwn(workerId, nowMs) { it.leasedOut += count - before }
        if (!isOwn || count == 0) {
            holder.leases.remove(workerId)
        } else {
            val lease = holder.leases.getOrPut(workerId) { Lease(0, nowMs, isGranted = false) }
            lease.count = count
            lease.confirmedMs = nowMs
        }
    }

    private fun recordGrant(holder: Holder, workerId: String, count: Int, nowMs: Long) {
        val lease = holder.leases.getOrPut(workerId) { Lease(0, nowMs, isGranted = true) }
        lease.count += count
        lease.confirmedMs = nowMs
        lease.isGranted = true
    }

    private fun updateOwn(workerId: String, nowMs: Long, change: (WorkerRecord) -> Unit): Boolean = table.withWorker(workerId) { record ->
        if (record.isOwn) {
            change(record)
            record.recomputeOwn()
            reindex(record, nowMs)
        }
        record.isOwn
    } ?: false

    private fun leaseFastestOwn(wanted: Int, nowMs: Long): Pair<String, Int>? =
        table.withBestWorker(GRANT_QUERY, nowMs) { record -> record.id to leaseSlots(record, wanted, nowMs) }

    private fun WorkerShard.leaseSlots(record: WorkerRecord, wanted: Int, nowMs: Long): Int {
        val count = minOf(wanted, record.freeSlots(nowMs))
        record.leasedOut += count
        record.recomputeOwn()
        reindex(record, nowMs)
        return count
    }

    private fun isExpired(lease: Lease, nowMs: Long) = nowMs >= lease.confirmedMs + settings.leaseMs + settings.leaseMarginMs

    private companion object {
        /** A request that was not granted in full counts as waiting for this long. */
        const val REQUEST_VALID_MS = 100L

        /** Selects the fastest own workers first. A worker on probation is never leased, so that only its allocator probes it. */
        val GRANT_QUERY = SlotQuery(1.0, 0.0, 0, emptySet(), retryable = false, ownOnly = true)
    }
}
