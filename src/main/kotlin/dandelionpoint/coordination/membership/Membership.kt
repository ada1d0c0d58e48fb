/*
 * Failure detection of peer entry VMs by heartbeats. A peer without a heartbeat for 1 s is suspect and gets no new work; after 3 s
 * it is dead and its share of the workers and shards goes to others. A closed connection alone makes a peer suspect, since it can be
 * caused by a network fault or by the end of the peer's process.
 */
package dandelionpoint.coordination.membership

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.ServingState
import dandelionpoint.protocol.peer.VmIdentity

/** Times in ms without a heartbeat after which a peer is suspect or dead. */
internal data class MembershipSettings(val suspectAfterMs: Long = 1_000, val deadAfterMs: Long = 3_000)

/** Health of a peer by the time since its last heartbeat and the state of its connection. */
internal enum class PeerHealth { ALIVE, SUSPECT, DEAD }

/**
 * State of a peer as of its last heartbeat.
 *
 * @property sinceHeartbeatMs time since the last heartbeat or, before the first one, since the connection was opened, in ms
 */
internal data class PeerStatus(
    val vm: VmIdentity,
    val health: PeerHealth,
    val state: ServingState,
    val configVersion: Long,
    val sinceHeartbeatMs: Long,
)

/** Known peers and their health. Thread-safe. */
internal class Membership(private val settings: MembershipSettings, private val clock: Clock) {
    private data class Entry(val lastHeartbeatMs: Long, val state: ServingState, val configVersion: Long, val connected: Boolean)

    private val lock = Any()
    private var entries: Map<VmIdentity, Entry> = emptyMap()

    /** Records an open connection to [vm]. A newer incarnation replaces an older one of the same name. */
    fun connected(vm: VmIdentity) = synchronized(lock) {
        val others = entries.filterKeys { it.name != vm.name || it == vm }
        val entry = others[vm]?.copy(connected = true) ?: Entry(clock.millis(), ServingState.STARTING, 0, connected = true)
        entries = others + (vm to entry)
    }

    /** Records that the connection to [vm] was closed. */
    fun disconnected(vm: VmIdentity) = synchronized(lock) {
        val entry = entries[vm] ?: return@synchronized
        entries = entries + (vm to entry.copy(connected = false))
    }

    /** Records a heartbeat of [vm]. Heartbeats of a replaced incarnation are ignored. */
    fun onHeartbeat(vm: VmIdentity, heartbeat: PeerMessage.Heartbeat) = synchronized(lock) {
        val entry = entries[vm]
        if (entry == null && entries.keys.any { it.name == vm.name }) return@synchronized
        entries = entries + (vm to Entry(clock.millis(), heartbeat.state, heartbeat.configVersion, entry?.connected ?: false))
    }

    /** Removes [vm], which has announced that its process ends. */
    fun onGoodbye(vm: VmIdentity) = synchronized(lock) { entries = entries - vm }

    /** Removes peers that have been dead for [afterMs] ms. */
    fun removeDead(afterMs: Long = REMOVE_AFTER_MS) = synchronized(lock) {
        val now = clock.millis()
        entries = entries.filterValues { now - it.lastHeartbeatMs < settings.deadAfterMs + afterMs }
    }

    fun peers(): List<PeerStatus> {
        val now = clock.millis()
        return synchronized(lock) { entries }.map { (vm, entry) -> status(vm, entry, now) }
    }

    /** Peers that are not dead and so keep their share of workers and shards. */
    fun members(): Set<VmIdentity> = peers().filter { it.health != PeerHealth.DEAD }.map { it.vm }.toSet()

    /** Peers that are alive and may be given work. */
    fun reachable(): Set<VmIdentity> = peers().filter { it.health == PeerHealth.ALIVE }.map { it.vm }.toSet()

    private fun status(vm: VmIdentity, entry: Entry, now: Long): PeerStatus {
        val sinceHeartbeatMs = now - entry.lastHeartbeatMs
        val health =
            when {
                sinceHeartbeatMs >= settings.deadAfterMs -> PeerHealth.DEAD
                sinceHeartbeatMs >= settings.suspectAfterMs || !entry.connected -> PeerHealth.SUSPECT
                else -> PeerHealth.ALIVE
            }
        return PeerStatus(vm, health, entry.state, entry.configVersion, sinceHeartbeatMs)
    }

    private companion object {
        const val REMOVE_AFTER_MS = 60_000L
    }
}
