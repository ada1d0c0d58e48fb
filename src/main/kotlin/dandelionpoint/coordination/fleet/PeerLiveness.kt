/*
 * Which peers are alive, by the time of their last heartbeat. During a pause of its own process a VM receives no heartbeats; so that it
 * does not take its peers for lost afterwards, the length of the pause is added to the time of each peer's last heartbeat.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.VmIdentity

/** A peer that is alive, with its last heartbeat. */
internal data class LivePeer(val vm: VmIdentity, val heartbeat: FleetHeartbeat)

/**
 * The live peers of this VM. A peer is lost after [unresponsiveMs] without a heartbeat, which depends on how often it sends them. Times are
 * in ms on the VM's monotonic clock.
 */
internal class PeerLiveness(private val unresponsiveMs: (VmIdentity) -> Long) {
    /** [countedAt] is [receivedAt] plus the pauses of this process since. */
    private class LastHeartbeat(val vm: VmIdentity, val unresponsiveMs: Long, var receivedAt: Long, var heartbeat: FleetHeartbeat) {
        var countedAt = receivedAt
    }

    private val lock = Any()

    /** The live peers by their incarnations. */
    private val peers = LinkedHashMap<String, LastHeartbeat>()

    /** True if two peers may be incarnations of the same VM: a peer was added since [removeLost] has last looked for them. */
    private var mayHaveReplaced = false

    /** Times of the last heartbeats of VMs that other VMs have reported, by the incarnations. */
    private val relayed = ExpiringMap<String, Long>()

    /** Records a heartbeat that was received at [now]. */
    fun onHeartbeat(vm: VmIdentity, heartbeat: FleetHeartbeat, now: Long) {
        synchronized(lock) {
            val last = peers.getOrPut(vm.incarnation) {
                mayHaveReplaced = true
                LastHeartbeat(vm, unresponsiveMs(vm), now, heartbeat)
            }
            last.receivedAt = now
            last.countedAt = now
            last.heartbeat = heartbeat
            heartbeat.relayed.forEach { (incarnation, ageMs) -> recordRelayed(incarnation, ageMs, now) }
        }
    }

    /** Records another message from [vm], received at [now], as a sign of life. Has no effect before the VM's first heartbeat. */
    fun onMessage(vm: VmIdentity, now: Long) {
        synchronized(lock) {
            val last = peers[vm.incarnation] ?: return
            last.receivedAt = now
            last.countedAt = now
        }
    }

    /** A peer reports at [now] that it received a heartbeat from the VM with [incarnation] [ageMs] ago. */
    fun onRelayed(incarnation: String, ageMs: Long, now: Long) = synchronized(lock) { recordRelayed(incarnation, ageMs, now) }

    private fun recordRelayed(incarnation: String, ageMs: Long, now: Long) {
        val heardAt = now - ageMs.coerceAtLeast(0)
        if (heardAt > (relayed[incarnation] ?: Long.MIN_VALUE)) relayed.put(incarnation, heardAt, heardAt + RELAYED_KEPT_MS, now)
    }

    /** Removes and returns the peers that are lost: unresponsive, or replaced by a newer incarnation of the same VM. */
    fun removeLost(now: Long): List<VmIdentity> = synchronized(lock) {
        val lost = peers.values.filter { now - it.countedAt > it.unresponsiveMs } + if (mayHaveReplaced) replaced() else emptyList()
        mayHaveReplaced = false
        lost.mapNotNull { peers.remove(it.vm.incarnation)?.vm }
    }

    /** The peers of which a newer incarnation is known. */
    private fun replaced(): List<LastHeartbeat> {
        val newest = HashMap<String, LastHeartbeat>()
        peers.values.forEach { peer -> newest.merge(peer.vm.name, peer) { a, b -> if (b.countedAt > a.countedAt) b else a } }
        return peers.values.filter { newest[it.vm.name] !== it }
    }

    /** Removes [vm], whose process is known to have ended. */
    fun remove(vm: VmIdentity) {
        synchronized(lock) { peers.remove(vm.incarnation) }
    }

    /** Records that this VM's process was paused for [pauseMs], as counted by the monotonic clock, before [now]. */
    fun onProcessPause(pauseMs: Long, now: Long) = synchronized(lock) {
        peers.values.forEach { it.countedAt = minOf(it.countedAt + pauseMs, now) }
    }

    /** Time of the last heartbeat from the VM with [incarnation], received here or by a peer; null if none is known or the VM is lost. */
    fun heardAt(incarnation: String): Long? = synchronized(lock) {
        val own = peers[incarnation]?.receivedAt
        val ofPeers = relayed[incarnation]
        if (own != null && ofPeers != null) maxOf(own, ofPeers) else own ?: ofPeers
    }

    fun live(): List<LivePeer> = synchronized(lock) { peers.values.map { LivePeer(it.vm, it.heartbeat) } }

    fun isLive(vm: VmIdentity): Boolean = synchronized(lock) { vm.incarnation in peers }

    /** True if a live peer has jobs that wait for capacity. */
    fun isAnyWaiting(): Boolean = synchronized(lock) { peers.values.any { it.heartbeat.waitingJobs.isNotEmpty() } }

    /** The last heartbeat from [vm], null if it is lost or unknown. */
    fun heartbeat(vm: VmIdentity): FleetHeartbeat? = synchronized(lock) { peers[vm.incarnation]?.heartbeat }

    private companion object {
        /** How long a relayed time is kept after it, in ms: longer than a lease that is counted from it. */
        const val RELAYED_KEPT_MS = 2_000L
    }
}
