/*
 * Claims cells for this VM in the shared store, renews the claims, and offers cells to other VMs. The rules are in [ClaimRules]; this class
 * makes the calls. When the response to a claim is lost, the VM finds its claim by reading the row, which contains its identity.
 */
package dandelionpoint.fleet

import arrow.core.Either
import dandelionpoint.coordination.fleet.Candidate
import dandelionpoint.coordination.fleet.CellClaim
import dandelionpoint.coordination.fleet.ClaimRules
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.LivePeer
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.SharedRow
import dandelionpoint.protocol.fleet.SharedRows
import dandelionpoint.protocol.fleet.WriteResult
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.VmIdentity
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.json.Json
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** What [CellClaims] reads from the VM, and the changes of ownership that it reports to it. */
internal interface ClaimHost {
    val self: VmIdentity
    val isStopping: Boolean

    fun livePeers(): List<LivePeer>

    /** Data centres that have workers. */
    fun cells(): Set<String>

    /** True if a worker of [cell] can be reached from here. */
    suspend fun canReach(cell: String): Boolean

    /** This VM owns [cell] now, under the fencing token [token]. Workers that a live [formerOwner] uses are free once it releases them. */
    fun gained(cell: String, token: Long, formerOwner: VmIdentity?)

    /** The VM [successor], null if unknown, owns [cell] now. After a [handover] this VM's runs there may continue to their end. */
    fun lost(cell: String, successor: VmIdentity?, handover: Boolean)

    /** Asks [successor] to take over [cell]. */
    fun offer(cell: String, successor: VmIdentity)
}

/** The claims of this VM in the store. [step] is called at a fixed interval, from one coroutine. All times are in ms. */
internal class CellClaims(
    private val store: SharedRows,
    private val host: ClaimHost,
    private val rules: FleetRules,
    private val clock: Clock = Clock.System,
) {
    /** A claim of this VM in row [version]. [storeClockOffsetMs] is the store's clock minus this VM's monotonic clock. */
    private class OwnClaim(val token: Long, var version: Long, var storeClockOffsetMs: Long, var renewedAt: Long) {
        var offeredAt: Long? = null
    }

    private val claims = ConcurrentHashMap<String, OwnClaim>()
    private val orphanedSince = HashMap<String, Long>()
    private val localLiveSince = HashMap<String, Long>()
    private var hasReclaimed = false
    private val handoverRequests = ConcurrentHashMap<String, VmIdentity>()

    /** The owner of [cell], [from], asks this VM to take it over. */
    fun handover(cell: String, from: VmIdentity) {
        handoverRequests[cell] = from
    }

    /** Renews the claims of this VM, carries out requested handovers, and claims cells that have no owner. */
    suspend fun step() {
        val now = clock.millis()
        if (!hasReclaimed) hasReclaimed = reclaim()
        handoverRequests.keys.toList().forEach { cell -> handoverRequests.remove(cell)?.let { takeOver(cell, it) } }
        for (cell in host.cells() + claims.keys) {
            val own = claims[cell]
            when {
                own != null -> maintain(cell, own, now)
                host.isStopping -> Unit
                else -> claimIfOrphaned(cell, now)
            }
        }
    }

    /** Claims the cells that an earlier incarnation of this VM owned. It has ended, so its claims need not become stale first. */
    private suspend fun reclaim(): Boolean {
        val read = store.read(TABLE)
        val rows = (read as? Either.Right)?.value?.rows ?: return false
        rows.filter { row ->
            decode(row)?.let { it.vm.name == host.self.name && !it.isReleased } == true
        }.forEach { claim(it.key, from = null) }
        return true
    }

    private suspend fun maintain(cell: String, own: OwnClaim, now: Long) {
        val rival = host.livePeers().firstOrNull { peer -> peer.heartbeat.cells.any { it.cell == cell && it.token > own.token } }
        if (rival != null) return onClaimLost(cell, rival.vm)
        offerIfDue(cell, own, now)
        if (now - own.renewedAt >= RENEW_MS) {
            own.renewedAt = now
            renew(cell, own, now)
        }
    }

    /** Offers the cell to another VM if this VM is stopping, or if a VM of the cell's data centre has been live for [LOCAL_STABLE_MS]. */
    private fun offerIfDue(cell: String, own: OwnClaim, now: Long) {
        val others = host.livePeers().filter { !it.heartbeat.isStopping }.associateBy { it.vm.name }
        val isLocalLive = cell != host.self.dataCentre && others.values.any { it.vm.dataCentre == cell }
        if (!isLocalLive) localLiveSince.remove(cell)
        val isLocalStable = isLocalLive && now - localLiveSince.getOrPut(cell) { now } >= LOCAL_STABLE_MS
        if (!host.isStopping && !isLocalStable) return
        if (now - (own.offeredAt ?: Long.MIN_VALUE / 2) < OFFER_INTERVAL_MS) return
        val successor = ClaimRules.successor(cell, others.values.map { Candidate(it.vm.name, it.vm.dataCentre) }) ?: return
        own.offeredAt = now
        others[successor.name]?.let { host.offer(cell, it.vm) }
    }

    private suspend fun renew(cell: String, own: OwnClaim, now: Long) {
        val claim = CellClaim(host.self, own.token, now + own.storeClockOffsetMs)
        when (val written = store.write(TABLE, cell, encode(claim), expected = own.version)) {
            is Either.Left -> reread(cell, own)

            is Either.Right -> when (val result = written.value) {
                is WriteResult.Written -> {
                    own.version = result.version
                    own.storeClockOffsetMs = result.storeMs - clock.millis()
                }

                is WriteResult.Conflict -> reread(cell, own)
            }
        }
    }

    /** Reads whether the row still contains this VM's claim, after a renewal that failed or had an unknown outcome. */
    private suspend fun reread(cell: String, own: OwnClaim) {
        val read = store.read(TABLE, from = cell, to = cell + "\u0000")
        val rows = (read as? Either.Right)?.value ?: return
        val row = rows.rows.firstOrNull() ?: return onClaimLost(cell, null)
        val claim = decode(row)
        if (claim?.vm == host.self) {
            own.version = row.version
            own.storeClockOffsetMs = rows.storeMs - clock.millis()
        } else {
            onClaimLost(cell, claim?.vm)
        }
    }

    private fun onClaimLost(cell: String, successor: VmIdentity?) {
        val own = claims.remove(cell) ?: return
        val isHandover = own.offeredAt != null
        log.info { "event=cell_lost cell=$cell token=${own.token} successor=${successor?.name} handover=$isHandover" }
        host.lost(cell, successor, isHandover)
    }

    /** A worker has refused this VM's token: makes the next step renew the claim, which shows whether it is still valid. */
    fun renewSoon(cell: String) {
        claims[cell]?.renewedAt = Long.MIN_VALUE / 2
    }

    private suspend fun claimIfOrphaned(cell: String, now: Long) {
        val peers = host.livePeers()
        if (peers.any { peer -> peer.heartbeat.cells.any { it.cell == cell } }) {
            orphanedSince.remove(cell)
            return
        }
        val since = orphanedSince.getOrPut(cell) { now }
        if (now - since < ORPHAN_MS) return
        val candidates = peers.filter { !it.heartbeat.isStopping }.map { Candidate(it.vm.name, it.vm.dataCentre) } +
            Candidate(host.self.name, host.self.dataCentre)
        if (ClaimRules.successor(cell, candidates)?.name != host.self.name) return
        if (cell != host.self.dataCentre && (now - since < FOREIGN_ORPHAN_MS || !host.canReach(cell))) return
        claim(cell, from = null)
    }

    private suspend fun takeOver(cell: String, from: VmIdentity) {
        if (host.isStopping || claims.containsKey(cell)) return
        claim(cell, from)
    }

    private suspend fun claim(cell: String, from: VmIdentity?) {
        val read = store.read(TABLE, from = cell, to = cell + "\u0000")
        val rows = (read as? Either.Right)?.value ?: return
        val row = rows.rows.firstOrNull()
        val current = row?.let { decode(it) }
        if (row != null && current?.vm == host.self && current.token == 0L) {
            return gained(cell, row.version, row.version, rows.storeMs, from)
        }
        val isFree =
            current == null || current.vm.name == host.self.name || current.vm == from || ClaimRules.isStale(current, rows.storeMs, rules)
        if (!isFree) return
        val claim = CellClaim(host.self, token = 0, renewedAtStoreMs = rows.storeMs)
        val written = store.write(TABLE, cell, encode(claim), expected = row?.version ?: 0L)
        val result = (written as? Either.Right)?.value as? WriteResult.Written ?: return
        gained(cell, result.version, result.version, result.storeMs, from)
    }

    private fun gained(cell: String, token: Long, version: Long, storeMs: Long, from: VmIdentity?) {
        claims[cell] = OwnClaim(token, version, storeMs - clock.millis(), clock.millis())
        orphanedSince.remove(cell)
        log.info { "event=cell_gained cell=$cell token=$token from=${from?.name}" }
        host.gained(cell, token, from)
    }

    private fun encode(claim: CellClaim) = JSON.encodeToString(CellClaim.serializer(), claim).encodeToByteArray()

    private fun decode(row: SharedRow): CellClaim? =
        row.value?.let { runCatching { JSON.decodeFromString(CellClaim.serializer(), it.decodeToString()) }.getOrNull() }

    companion object {
        /** Table with a row for each cell. */
        const val TABLE = "cells"

        /** Interval at which claims are renewed, in ms. */
        private const val RENEW_MS = 500L

        /** A cell of this VM's data centre is claimed when no live peer has reported to own it for this long, in ms. */
        private const val ORPHAN_MS = 350L

        /** The same for a cell of another data centre, in ms: longer, so that a VM of that data centre claims it first. */
        private const val FOREIGN_ORPHAN_MS = 1_500L

        /** A cell is handed over to a VM of its own data centre once there has been a live one for this long, in ms. */
        private const val LOCAL_STABLE_MS = 1_500L

        /** Shortest time between two offers of a cell, in ms. */
        private const val OFFER_INTERVAL_MS = 500L
        private val JSON = Json { ignoreUnknownKeys = true }
    }
}
