/*
 * Which peers are alive, by when they were last heard. A VM that itself stood still does not blame the silence on its peers: the time it
 * missed is added to what it last heard of each.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.FleetBeat
import dandelionpoint.protocol.peer.VmIdentity

/** A peer that is alive, with its last beat. */
internal data class LivePeer(val vm: VmIdentity, val beat: FleetBeat)

/** Peers of this VM. All times are in ms on the VM's monotonic clock. */
internal class PeerLiveness(private val silentMs: Long) {
    private class Heard(var at: Long, var beat: FleetBeat)

    private val lock = Any()
    private val peers = HashMap<VmIdentity, Heard>()

    fun heard(vm: VmIdentity, beat: FleetBeat, now: Long) {
        synchronized(lock) {
            val known = peers.getOrPut(vm) { Heard(now, beat) }
            known.at = now
            known.beat = beat
        }
    }

    /** Peers that are lost since the last call; they are forgotten. A newer incarnation of the same VM replaces an older one. */
    fun lost(now: Long): List<VmIdentity> = synchronized(lock) {
        val newest = peers.entries.groupBy { it.key.name }.mapValues { (_, same) -> same.maxBy { it.value.at }.key }
        val lost = peers.filter { (vm, heard) -> now - heard.at > silentMs || newest[vm.name] != vm }.keys.toList()
        lost.forEach { peers.remove(it) }
        lost
    }

    /** This VM stood still for [pauseMs]. */
    fun paused(pauseMs: Long) = synchronized(lock) { peers.values.forEach { it.at += pauseMs } }

    fun live(): List<LivePeer> = synchronized(lock) { peers.map { LivePeer(it.key, it.value.beat) } }

    fun isLive(vm: VmIdentity): Boolean = synchronized(lock) { vm in peers }
}
