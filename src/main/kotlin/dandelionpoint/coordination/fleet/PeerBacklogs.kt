/*
 * Expected waits at the other owners of cells, and the choice of one of them for a task to wait at. An owner's expected wait is the work
 * that waits there with at least the task's priority, divided by the owner's cores: the work that its last heartbeat announced, and what
 * this VM has sent there since. This is state behind one lock, without I/O. Times are in ms on the VM's monotonic clock.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.VmIdentity
import kotlin.math.max
import kotlin.random.Random

/** The backlogs of the other VMs. */
internal class PeerBacklogs(private val random: Random = Random.Default) {
    private class Peer(val heartbeat: FleetHeartbeat, val readAt: Long) {
        /** Sent by this VM since the heartbeat was read; null if nothing was. */
        var sent: WaitingWork? = null
    }

    private class Candidate(val vm: VmIdentity, val peer: Peer, val waitMs: Double)

    private val lock = Any()
    private val peers = HashMap<VmIdentity, Peer>()

    /** [heartbeat] of [vm] was read at [now]. */
    fun update(vm: VmIdentity, heartbeat: FleetHeartbeat, now: Long) = synchronized(lock) { peers[vm] = Peer(heartbeat, now) }

    /** Removes [vm], which is lost. */
    fun remove(vm: VmIdentity) {
        synchronized(lock) { peers.remove(vm) }
    }

    /**
     * The least expected wait of work of [priority] at another owner at [now], in ms; null if no other VM has workers of [pool].
     * [ownWaitMs] is the expected wait in this VM's cells, null if it has none of the pool.
     */
    fun leastWaitMs(pool: String, priority: Int, ownWaitMs: Double?, now: Long): Double? =
        synchronized(lock) { candidates(pool, priority, ownWaitMs, now).minOfOrNull { it.waitMs } }

    /**
     * The VM at which [order] is to wait; null if the expected wait is nowhere shorter than in this VM's cells by a margin. The shorter one
     * of two that are chosen at random is taken, so that the VMs, which all know the same backlogs, do not all choose the same one. The
     * order counts as part of that VM's backlog from then on.
     */
    fun choose(order: RunOrder, ownWaitMs: Double?, now: Long): VmIdentity? = synchronized(lock) {
        val limitMs = if (ownWaitMs == null) Double.MAX_VALUE else ownWaitMs - max(MIN_MARGIN_MS, ownWaitMs * MARGIN_SHARE)
        if (limitMs <= 0) return@synchronized null
        val shorter = candidates(order.pool, order.priority, ownWaitMs, now).filter { it.waitMs < limitMs }
        if (shorter.isEmpty()) return@synchronized null
        val chosen = List(CHOICES) { shorter.random(random) }.minBy { it.waitMs }
        val sent = chosen.peer.sent ?: WaitingWork().also { chosen.peer.sent = it }
        sent.add(order.pool, order.priority, order.coreMs)
        chosen.vm
    }

    private fun candidates(pool: String, priority: Int, ownWaitMs: Double?, now: Long): List<Candidate> = peers.mapNotNull { (vm, peer) ->
        val cores = peer.heartbeat.cores[pool] ?: 0
        if (cores <= 0 || peer.heartbeat.isStopping) return@mapNotNull null
        val coreMs = WaitingWork.upTo(peer.heartbeat.backlog, pool, priority) + (peer.sent?.upTo(pool, priority) ?: 0)
        Candidate(vm, peer, weighted(coreMs.toDouble() / cores, ownWaitMs ?: USUAL_WAIT_MS, now - peer.readAt))
    }

    /** An estimate from a heartbeat of [ageMs] counts less the older it is; the rest is taken to be like this VM's own wait. */
    private fun weighted(announcedMs: Double, ownMs: Double, ageMs: Long): Double {
        val weight = HALF_WEIGHT_AGE_MS / (HALF_WEIGHT_AGE_MS + ageMs.coerceAtLeast(0))
        return weight * announcedMs + (1 - weight) * ownMs
    }

    private companion object {
        /** A wait elsewhere has to be shorter by this much, in ms, or by [MARGIN_SHARE] of the own wait, whichever is more. */
        const val MIN_MARGIN_MS = 20.0
        const val MARGIN_SHARE = 0.25

        /** An announced backlog of this age, in ms, counts for half of the estimate: two intervals of the heartbeats in a data centre. */
        const val HALF_WEIGHT_AGE_MS = 300.0

        /** Taken for the own wait by a VM without workers of the pool, in ms. */
        const val USUAL_WAIT_MS = 200.0
        const val CHOICES = 2
    }
}
