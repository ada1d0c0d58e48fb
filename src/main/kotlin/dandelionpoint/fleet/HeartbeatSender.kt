/*
 * Sends this VM's heartbeats: at a fixed interval to all peers, which declare a VM lost when they receive none from it, and shortly after
 * a change of the free capacity to the peers that own a cell and therefore dispatch.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.PeerLiveness
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.transport.peer.PeerTransport
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withTimeoutOrNull

/** Sends the heartbeats of one VM; [currentHeartbeat] builds one from the VM's present state. */
internal class HeartbeatSender(
    private val network: PeerTransport,
    private val liveness: PeerLiveness,
    private val clock: Clock,
    private val currentHeartbeat: () -> FleetHeartbeat,
) {
    private val due = Channel<Unit>(Channel.CONFLATED)

    /** Something that heartbeats report has changed: sends one to the peers that own a cell, without waiting for the interval. */
    fun sendSoon() {
        due.trySend(Unit)
    }

    /** Sends heartbeats until cancelled. */
    suspend fun run() {
        var broadcastAt = clock.millis()
        while (currentCoroutineContext().isActive) {
            withTimeoutOrNull(broadcastAt + BROADCAST_INTERVAL_MS - clock.millis()) { due.receive() }
            val isBroadcast = clock.millis() >= broadcastAt + BROADCAST_INTERVAL_MS
            if (isBroadcast) broadcastAt = clock.millis()
            val cellOwners = liveness.live().filter { it.heartbeat.cells.isNotEmpty() }.map { it.vm }.toSet()
            network.send(network.connected().filter { isBroadcast || it in cellOwners }, currentHeartbeat())
            delay(MIN_INTERVAL_MS)
        }
    }

    companion object {
        /** Interval of the heartbeats to all peers, in ms. */
        private const val BROADCAST_INTERVAL_MS = 150L

        /** Shortest time between two heartbeats, in ms. */
        private const val MIN_INTERVAL_MS = 20L

        /** Longest time between two heartbeats to the same peer, in ms: one that is due waits for the shortest time after another. */
        const val MAX_INTERVAL_MS = BROADCAST_INTERVAL_MS + MIN_INTERVAL_MS
    }
}
