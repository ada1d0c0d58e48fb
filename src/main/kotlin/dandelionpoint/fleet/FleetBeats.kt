/*
 * Sends this VM's beats: at a steady pace to all peers, which take a silent VM for lost, and soon after a change of the free rooms to the
 * peers that dispatch.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.PeerLiveness
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.FleetBeat
import dandelionpoint.transport.peer.PeerNetwork
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withTimeoutOrNull

/** The beats of one VM; [beat] makes the present one. */
internal class FleetBeats(
    private val network: PeerNetwork,
    private val liveness: PeerLiveness,
    private val clock: Clock,
    private val beat: () -> FleetBeat,
) {
    private val due = Channel<Unit>(Channel.CONFLATED)

    /** Something that a beat tells has changed. */
    fun soon() {
        due.trySend(Unit)
    }

    /** Sends beats until cancelled. */
    suspend fun run() {
        var steadyAt = clock.millis()
        while (currentCoroutineContext().isActive) {
            withTimeoutOrNull(steadyAt + STEADY_MS - clock.millis()) { due.receive() }
            val isSteady = clock.millis() >= steadyAt + STEADY_MS
            if (isSteady) steadyAt = clock.millis()
            val dispatching = liveness.live().filter { it.beat.cells.isNotEmpty() }.map { it.vm }.toSet()
            network.send(network.connected().filter { isSteady || it in dispatching }, beat())
            delay(PAUSE_MS)
        }
    }

    private companion object {
        /** Pace of the beats to all peers, in ms. */
        const val STEADY_MS = 150L

        /** Least time between two beats, in ms. */
        const val PAUSE_MS = 20L
    }
}
