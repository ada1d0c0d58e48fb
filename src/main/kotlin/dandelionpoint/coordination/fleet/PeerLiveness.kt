/*
 * Which peers are alive, by the time of their last heartbeat. During a pause of its own process a VM receives no heartbeats; so that it
 * does not take its peers for lost afterwards, the length of the pause is added to the time of each peer's last heartbeat.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.VmIdentity

/** A peer that is alive, with its last heartbeat. */
internal data class LivePeer(val vm: VmIdentity, val heartbeat: FleetHeartbeat)

/** The live peers of this VM. A peer is lost after [unresponsiveMs] without a heartbeat. Times are in ms on the VM's monotonic clock. */
internal class PeerLiveness(private val unresponsiveMs: Long) {
    /** [countedAt] is [receivedAt] plus the pauses of this process since. */
    private class LastHeartbeat(var receivedAt: Long, var heartbeat: FleetHeartbeat) {
        var countedAt = receivedAt
    }

    private val lock = Any()
    private val peers = HashMap<VmIdentity, LastHeartbeat>()

    /** Records a heartbeat that was received at [now]. */
    fun onHeartbeat(vm: VmIdentity, heartbeat: FleetHeartbeat, now: Long) {
        synchronized(lock) {
            val last = peers.getOrPut(vm) { LastHeartbeat(now, heartbeat) }
            last.receivedAt = now
            last.countedAt = now
            last.heartbeat = heartbeat
        }
    }

    /** Removes and returns the peers that are lost: unresponsive, or replaced by a newer incarnation of the same VM. */
    fun removeLost(now: Long): List<VmIdentity> = synchronized(lock) {
        val newest = peers.entries.groupBy { it.key.name }.mapValues { (_, same) -> same.maxBy { it.value.countedAt }.key }
        val lost = peers.filter { (vm, last) -> now - last.countedAt > unresponsiveMs || newest[vm.name] != vm }.keys.toList()
        lost.forEach { peers.remove(it) }
        lost
    }

    /** Records that this VM's process was paused for [pauseMs], as counted by the monotonic clock, before [now]. */
    fun onProcessPause(pauseMs: Long, now: Long) = synchronized(lock) {
        peers.values.forEach { it.countedAt = minOf(it.countedAt + pauseMs, now) }
    }

    /** Time at which the last heartbeat from the VM with [incarnation] was received, null if there was none or the VM is lost. */
    fun heardAt(incarnation: String): Long? =
        synchronized(lock) { peers.entries.firstOrNull { it.key.incarnation == incarnation }?.value?.receivedAt }

    fun live(): List<LivePeer> = synchronized(lock) { peers.map { LivePeer(it.key, it.value.heartbeat) } }

    fun isLive(vm: VmIdentity): Boolean = synchronized(lock) { vm in peers }
}
