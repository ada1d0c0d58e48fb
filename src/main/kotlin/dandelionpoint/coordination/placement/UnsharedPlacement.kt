/* Baseline placements that exchange no slots between VMs. */
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
import kotlin.random.Random

/** Common part of the baselines without slot exchange: they track the health of workers, but send no slot messages. */
internal abstract class UnsharedPlacement(private val settings: PlacementSettings, protected val clock: () -> Long) : Placement {
    protected val table = WorkerTable(settings.health)
    private val estimates = RunTimeEstimates()
    private val outcomes = OutcomeRecorder(table, estimates, settings)
    private val summary = ClusterSummary(table, clock)

    /** Slots of [record] that this VM may use. */
    protected abstract fun share(record: WorkerRecord): Int

    protected fun query(demand: TaskDemand): SlotQuery {
        val expectedMs = estimates.expectedMs(demand.taskClass, demand.declaredMs)
        return SlotQuery(expectedMs, settings.hopCostMs, demand.memoryMb, demand.avoid, demand.retryable)
    }

    protected fun WorkerShard.reserve(record: WorkerRecord, demand: TaskDemand, query: SlotQuery, nowMs: Long): Reservation {
        record.occupy(query.expectedMs, nowMs)
        reindex(record, nowMs)
        return Reservation(record.address, demand.taskClass, demand.declaredMs, query.expectedMs)
    }

    override fun complete(reservation: Reservation, outcome: CallOutcome, elapsedMs: Double) {
        outcomes.record(reservation, outcome, elapsedMs, clock())
    }

    override fun updateWorkers(workers: List<VmEntry>) {
        val nowMs = clock()
        table.update(workers, nowMs) { record, _ -> assign(record, nowMs) }
    }

    protected fun WorkerShard.assign(record: WorkerRecord, nowMs: Long) {
        record.granted = share(record)
        record.leaseUntilMs = Long.MAX_VALUE
        reindex(record, nowMs)
    }

    override fun updateUsage(usage: List<WorkerUsage>) {
        for (report in usage) table.withWorker(report.id) { it.usage = report }
    }

    override fun updatePeers(self: VmIdentity, live: Set<VmIdentity>) {
        val nowMs = clock()
        table.forEach { record -> assign(record, nowMs) }
    }

    override fun onHeartbeat(from: VmIdentity, heartbeat: PeerMessage.Heartbeat) {
        val nowMs = clock()
        for ((workerId, remainingMs) in heartbeat.ejected) {
            table.withWorker(workerId) { record ->
                record.health.applyPeerEjection(nowMs, remainingMs)
                reindex(record, nowMs)
            }
        }
    }

    override fun onSlotRequest(from: VmIdentity, request: PeerMessage.SlotRequest) = PeerMessage.SlotGrant(emptyMap())

    override fun onSlotReturn(from: VmIdentity, slots: PeerMessage.SlotReturn) = Unit

    override fun slotRequests(waitingTasks: Int): Map<VmIdentity, PeerMessage.SlotRequest> = emptyMap()

    override fun onSlotGrant(from: VmIdentity, grant: PeerMessage.SlotGrant?) = Unit

    override fun tick(): Map<VmIdentity, PeerMessage.SlotReturn> {
        table.endEjections(clock())
        return emptyMap()
    }

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
}

/** Every live VM uses the same number of slots of each worker; the remainder goes to VMs in an order that differs by worker. */
internal class FixedSharesPlacement(settings: PlacementSettings, clock: () -> Long) : UnsharedPlacement(settings, clock) {
    @Volatile
    private var rank = 0

    @Volatile
    private var vms = 1

    override fun share(record: WorkerRecord): Int {
        val turn = Math.floorMod(record.id.hashCode() + rank, vms)
        return record.entry.slots / vms + if (turn < record.entry.slots % vms) 1 else 0
    }

    override fun updatePeers(self: VmIdentity, live: Set<VmIdentity>) {
        val ordered = (live + self).sortedWith(compareBy({ it.name }, { it.incarnation }))
        rank = ordered.indexOf(self)
        vms = ordered.size
        super.updatePeers(self, live)
    }

    override fun place(demand: TaskDemand): Reservation? {
        val nowMs = clock()
        val query = query(demand)
        return table.withBestWorker(query, nowMs) { record -> reserve(record, demand, query, nowMs) }
    }
}

/** Random, round-robin and two-choices: each VM counts its own calls only, and sends as many calls to a worker as it has slots. */
internal class CallCountPlacement(
    private val policy: PlacementPolicy,
    settings: PlacementSettings,
    clock: () -> Long,
    private val random: Random,
) : UnsharedPlacement(settings, clock) {
    @Volatile
    private var ids: List<String> = emptyList()

    @Volatile
    private var turn = 0

    override fun share(record: WorkerRecord): Int = record.entry.slots

    override fun updateWorkers(workers: List<VmEntry>) {
        super.updateWorkers(workers)
        ids = workers.map { it.id }
    }

    /** Tries [ATTEMPTS] choices of the policy, then every worker in turn, so that null means that no worker is usable. */
    override fun place(demand: TaskDemand): Reservation? {
        val nowMs = clock()
        val query = query(demand)
        val known = ids
        if (known.isEmpty()) return null
        repeat(ATTEMPTS) { reserveAt(choose(known), demand, query, nowMs)?.let { return it } }
        val start = random.nextInt(known.size)
        return known.indices.firstNotNullOfOrNull { reserveAt(known[(start + it) % known.size], demand, query, nowMs) }
    }

    private fun choose(known: List<String>): String = when (policy) {
        PlacementPolicy.RoundRobin -> known[Math.floorMod(turn++, known.size)]
        PlacementPolicy.TwoChoices -> lessLoaded(known[random.nextInt(known.size)], known[random.nextInt(known.size)])
        else -> known[random.nextInt(known.size)]
    }

    private fun lessLoaded(first: String, second: String): String = if (load(first) <= load(second)) first else second

    private fun load(id: String): Double = table.withWorker(id) { record ->
        val reported = record.usage?.let { it.busySlots + it.queued } ?: 0
        (record.busy + reported).toDouble() / record.entry.slots
    } ?: Double.MAX_VALUE

    private fun reserveAt(id: String, demand: TaskDemand, query: SlotQuery, nowMs: Long): Reservation? =
        table.withWorker(id) { record -> if (fits(record, query, nowMs)) reserve(record, demand, query, nowMs) else null }

    private companion object {
        const val ATTEMPTS = 8
    }
}
