/*
 * Claims cells for this VM in the shared store, renews the claims, and offers cells to other VMs. All claims of a VM are renewed in one
 * transaction. When the response to a claim is lost, the VM finds its claim by reading the row, which contains its identity.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.CellClaim
import dandelionpoint.coordination.fleet.CellOwner
import dandelionpoint.coordination.fleet.CellPlan
import dandelionpoint.coordination.fleet.Cells
import dandelionpoint.coordination.fleet.ClaimRules
import dandelionpoint.coordination.fleet.EndedOwners
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.ProcessPause
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.SharedRows
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.VmIdentity
import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** What [CellClaims] reads from the VM, and the changes of ownership that it reports to it. */
internal interface ClaimHost {
    val self: VmIdentity
    val isStopping: Boolean

    /** Data centres whose cells this VM may claim: its own, and those that have workers but no live VM. */
    fun claimableDataCentres(): Set<String>

    /** The live peer with [name] that is not stopping, null if there is none. */
    fun peer(name: String): VmIdentity?

    /** True if [vm] is a live peer, so that what it uses of a cell is asked for when this VM takes the cell over. */
    fun isLive(vm: VmIdentity): Boolean

    /** The peer that reports to own [cell], null if there is none. */
    fun peerOwner(cell: String): CellOwner?

    /** True if a worker of [dataCentre] can be reached from here. */
    suspend fun canReach(dataCentre: String): Boolean

    /** This VM owns [cell] now, under the fencing token [token]. Workers that a live [formerOwner] uses are free once it releases them. */
    fun gained(cell: String, token: Long, formerOwner: VmIdentity?)

    /** The VM [successor], null if unknown, owns [cell] now. After a [handover] this VM's runs there may continue to their end. */
    fun lost(cell: String, successor: CellOwner?, handover: Boolean)

    /** Asks [successor] to take over [cell]. */
    fun offer(cell: String, successor: VmIdentity)
}

/** The claims of this VM in the store. [step] is called at a fixed interval, from one coroutine. All times are in ms. */
internal class CellClaims(
    store: SharedRows,
    private val host: ClaimHost,
    private val plan: CellPlan,
    private val rules: FleetRules,
    private val clock: Clock = Clock.System,
) {
    /**
     * A claim of this VM, first seen in the store at [storeMs] on its clock. [provenAfterPauses] is the number of pauses of this process
     * before the last call that showed the claim to be in the store.
     */
    private inner class OwnClaim(val cell: String, val token: Long, storeMs: Long, var provenAfterPauses: Int) {
        var version = token

        /** The store's clock minus this VM's monotonic clock. */
        var storeClockOffsetMs = storeMs - clock.millis()
        var offeredAt: Long? = null

        /** When the last call was sent that showed the claim to be in the store. */
        var provenAt = clock.millis()

        /** A call that was sent at [sentAt], after [pausesBefore] pauses, has shown the claim to be in the store. */
        fun prove(sentAt: Long, pausesBefore: Int) {
            provenAt = sentAt
            provenAfterPauses = pausesBefore
        }
    }

    private val table = ClaimTable(store, clock)
    private val claims = ConcurrentHashMap<String, OwnClaim>()
    private val orphanedSince = ConcurrentHashMap<String, Long>()
    private val handoverRequests = ConcurrentHashMap<String, VmIdentity>()
    private val endedOwners = EndedOwners()
    private var hasReclaimed = false

    @Volatile
    private var renewedAt = NEVER

    /** Pauses of this process that were long enough for another VM to take over its cells. */
    @Volatile
    private var pauses = 0

    /** The owner of [cell], [from], asks this VM to take it over. */
    fun handover(cell: String, from: VmIdentity) {
        handoverRequests[cell] = from
    }

    /** The process of [vm], which owned [cells], has ended: its claims need not become stale before the cells are claimed. */
    fun ownerEnded(vm: VmIdentity, cells: Set<String>) {
        endedOwners.add(vm, clock.millis())
        cells.forEach { orphanedSince[it] = NEVER }
    }

    /** [vm] is alive: what seemed to show the end of its process did not. */
    fun ownerHeard(vm: VmIdentity) {
        endedOwners.remove(vm)
    }

    /**
     * This process was paused. If another VM may have found its claims to be stale meanwhile, they count again once the store has shown
     * them.
     */
    fun onProcessPause(pause: ProcessPause) {
        val oldestProof = claims.values.minOfOrNull { it.provenAt } ?: return
        val suspendedMs = pause.maxMs - pause.monotonicMs
        if (clock.millis() - oldestProof + suspendedMs < rules.claimStaleMs) return
        pauses++
        renewSoon()
    }

    /** True if this VM has a claim on [cell] that no other VM can have taken over during a pause of this process. */
    fun isProven(cell: String): Boolean = claims[cell]?.let { it.provenAfterPauses == pauses } ?: false

    /** True if [cell] has had no owner for longer than a claim stays valid, and the store does not answer. */
    fun isUnclaimable(cell: String): Boolean {
        val now = clock.millis()
        val since = orphanedSince[cell] ?: return false
        return table.isSilent() && now - since > rules.claimStaleMs
    }

    /** A worker has refused a token of this VM: makes the next step renew the claims, which shows whether they are still valid. */
    fun renewSoon() {
        renewedAt = NEVER
    }

    /** Renews the claims of this VM, carries out requested handovers, and claims cells that have no owner. */
    suspend fun step() {
        val now = clock.millis()
        if (!hasReclaimed) hasReclaimed = reclaim()
        claims.values.forEach { dropIfOvertaken(it) }
        claims.values.forEach { offerIfDue(it, now) }
        if (now - renewedAt >= RENEW_MS) {
            renewedAt = now
            claims.values.chunked(SharedRows.MAX_WRITES).forEach { renew(it, now) }
        }
        claim(requestedHandovers())
        claim(orphans(now).associateWith { null })
    }

    /** Claims the cells that an earlier incarnation of this VM owned. It has ended, so its claims need not become stale first. */
    private suspend fun reclaim(): Boolean {
        val rows = table.read(Cells.of(host.self.dataCentre)) ?: return false
        val own = rows.rows.filter { row -> table.claimIn(row)?.let { it.vm.name == host.self.name && !it.isReleased } == true }
        claim(own.associate { it.key to null })
        return true
    }

    private fun dropIfOvertaken(own: OwnClaim) {
        val rival = host.peerOwner(own.cell)
        if (rival != null && rival.token > own.token) onClaimLost(own, rival)
    }

    /** [successor] asks what is in use of [cell], which it has claimed on an offer of this VM. */
    fun onTakenOver(cell: String, successor: CellOwner) {
        val own = claims[cell] ?: return
        if (own.token < successor.token) onClaimLost(own, successor, isHandover = true)
    }

    /** Offers the cell to the VM that it is assigned to, at once if this VM is stopping and otherwise once the assignment has settled. */
    private fun offerIfDue(own: OwnClaim, now: Long) {
        val assigned = plan.owner(own.cell)?.name ?: return
        if (assigned == host.self.name || !(host.isStopping || plan.isSettled(own.cell, SETTLED_MS, now))) return
        if (now - (own.offeredAt ?: NEVER) < OFFER_INTERVAL_MS) return
        val successor = host.peer(assigned) ?: return
        own.offeredAt = now
        host.offer(own.cell, successor)
    }

    private suspend fun renew(batch: List<OwnClaim>, now: Long) {
        val pausesBefore = pauses
        val writes = batch.map { own ->
            table.rowOf(own.cell, CellClaim(host.self, own.token, now + own.storeClockOffsetMs), expected = own.version)
        }
        val written = table.write(writes) ?: return reread(batch)
        batch.forEach { own ->
            own.version = written.version
            own.storeClockOffsetMs = written.storeMs - clock.millis()
            own.prove(now, pausesBefore)
        }
    }

    /** Reads whether the rows still contain this VM's claims, after a renewal that failed or had an unknown outcome. */
    private suspend fun reread(batch: List<OwnClaim>) = batch.groupBy { Cells.dataCentreOf(it.cell) }.values.forEach { claims ->
        val pausesBefore = pauses
        val sentAt = clock.millis()
        val read = table.read(claims.map { it.cell }) ?: return@forEach
        val rows = read.rows.associateBy { it.key }
        claims.forEach { own ->
            val row = rows[own.cell]
            val claim = row?.let { table.claimIn(it) }
            if (row != null && claim?.vm == host.self) {
                own.version = row.version
                own.storeClockOffsetMs = read.storeMs - clock.millis()
                own.prove(sentAt, pausesBefore)
            } else {
                onClaimLost(own, claim?.let { CellOwner(it.vm, if (it.token == 0L) row.version else it.token) })
            }
        }
    }

    private fun onClaimLost(own: OwnClaim, successor: CellOwner?, isHandover: Boolean = wasOffered(own)) {
        if (!claims.remove(own.cell, own)) return
        log.info { "event=cell_lost cell=${own.cell} token=${own.token} successor=${successor?.vm?.name} handover=$isHandover" }
        host.lost(own.cell, successor, isHandover)
    }

    private fun wasOffered(own: OwnClaim) = clock.millis() - (own.offeredAt ?: NEVER) < HANDOVER_MS

    /**
     * The cells that live owners have offered, with those. A VM that is not known may have jobs and runs of the cell that this VM would not
     * ask for: its offer is not followed, and is made again.
     */
    private fun requestedHandovers(): Map<String, VmIdentity?> {
        val requests = handoverRequests.keys.toList().mapNotNull { cell -> handoverRequests.remove(cell)?.let { cell to it } }
        return requests.filter { (cell, from) -> !host.isStopping && !claims.containsKey(cell) && host.isLive(from) }.toMap()
    }

    /** Cells without an owner that this VM should claim now. */
    private suspend fun orphans(now: Long): List<String> {
        if (host.isStopping) return emptyList()
        val dataCentres = host.claimableDataCentres()
        orphanedSince.keys.removeIf { Cells.dataCentreOf(it) !in dataCentres }
        return dataCentres.flatMap { dataCentre ->
            val isOwn = dataCentre == host.self.dataCentre
            val due = Cells.of(dataCentre).filter { isOrphan(it, now, if (isOwn) ORPHAN_MS else FOREIGN_ORPHAN_MS) }
            if (due.isEmpty() || isOwn || host.canReach(dataCentre)) due else emptyList()
        }
    }

    private fun isOrphan(cell: String, now: Long, waitMs: Long): Boolean {
        if (claims.containsKey(cell) || host.peerOwner(cell) != null) {
            orphanedSince.remove(cell)
            return false
        }
        val since = orphanedSince.getOrPut(cell) { now }
        return now - since >= waitMs && plan.owner(cell)?.name == host.self.name
    }

    /** Claims those of [wanted] that are free, with the VM that each is taken over from, null if it has no live owner. */
    private suspend fun claim(wanted: Map<String, VmIdentity?>) {
        wanted.keys.groupBy { Cells.dataCentreOf(it) }.values.flatMap { it.chunked(SharedRows.MAX_WRITES) }.forEach { cells ->
            claimBatch(cells.associateWith { wanted[it] })
        }
    }

    private suspend fun claimBatch(wanted: Map<String, VmIdentity?>) {
        val pausesBefore = pauses
        val read = table.read(wanted.keys) ?: return
        val rows = read.rows.associateBy { it.key }
        val current = rows.mapValues { table.claimIn(it.value) }
        val (claimed, others) = wanted.keys.partition { current[it].let { claim -> claim?.vm == host.self && claim.token == 0L } }
        claimed.forEach { gained(OwnClaim(it, rows.getValue(it).version, read.storeMs, pausesBefore), wanted[it]) }
        val free = others.filter { isFree(current[it], wanted[it], read.storeMs) }
        if (free.isEmpty()) return
        val claim = CellClaim(host.self, token = 0, renewedAtStoreMs = read.storeMs)
        val writes = free.map { table.rowOf(it, claim, expected = rows[it]?.version ?: 0L) }
        val written = table.write(writes) ?: return
        free.forEach { gained(OwnClaim(it, written.version, written.storeMs, pausesBefore), wanted[it]) }
    }

    private fun isFree(current: CellClaim?, from: VmIdentity?, storeMs: Long): Boolean =
        current == null || current.vm.name == host.self.name || current.vm == from ||
            endedOwners.includeOwnerOf(current, storeMs, clock.millis()) || ClaimRules.isStale(current, storeMs, rules)

    private fun gained(claim: OwnClaim, from: VmIdentity?) {
        claims[claim.cell] = claim
        orphanedSince.remove(claim.cell)
        log.info { "event=cell_gained cell=${claim.cell} token=${claim.token} from=${from?.name}" }
        host.gained(claim.cell, claim.token, from)
    }

    companion object {
        /** Interval at which claims are renewed, in ms. */
        private const val RENEW_MS = 500L

        /** A cell of this VM's data centre is claimed when no live peer has reported to own it for this long, in ms. */
        private const val ORPHAN_MS = 350L

        /** The same for a cell of another data centre, in ms: longer, so that a VM of that data centre claims it first. */
        private const val FOREIGN_ORPHAN_MS = 1_500L

        /** A cell is handed over to another VM once it has been assigned to that one for this long, in ms. */
        private const val SETTLED_MS = 2_000L

        /** Shortest time between two offers of a cell, in ms. */
        private const val OFFER_INTERVAL_MS = 500L

        /** A claim that is lost within this time after the cell was offered was handed over, in ms. */
        private const val HANDOVER_MS = 3_000L

        /** A time before any other. */
        private const val NEVER = Long.MIN_VALUE / 2
    }
}
