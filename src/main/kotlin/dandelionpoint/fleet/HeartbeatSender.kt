/*
 * Sends this VM's heartbeats. Peers of the same data centre, and those of other data centres that run tasks or dispatch jobs for this VM,
 * get them at a short interval, since they end that work when this VM is lost. The other peers get them at a longer one: with an equal
 * interval, the heartbeats between all VMs would grow with the square of their number. Peers with waiting jobs learn of new free capacity
 * at once.
 */
package dandelionpoint.fleet

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.transport.peer.PeerTransport
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicBoolean

/** What the heartbeats of a VM contain, and who needs them often. */
internal interface HeartbeatSource {
    /** The present state of this VM for a peer of its own data centre, or of another one. */
    fun heartbeat(isSameDataCentre: Boolean): FleetHeartbeat

    /** Peers of other data centres that have runs or jobs of this VM in progress. */
    fun partners(): Set<VmIdentity>

    /** True if [vm] has reported jobs that wait for capacity. */
    fun isWaiting(vm: VmIdentity): Boolean
}

/** Sends the heartbeats of a VM in [dataCentre]. */
internal class HeartbeatSender(
    private val network: PeerTransport,
    private val dataCentre: String,
    private val clock: Clock,
    private val source: HeartbeatSource,
) {
    private val due = Channel<Unit>(Channel.CONFLATED)
    private val hasChanged = AtomicBoolean()
    private var lastToAllAt = Long.MIN_VALUE / 2

    /** The cells, the configuration or the state of this VM has changed: sends a heartbeat without waiting for the interval. */
    fun announceChange() {
        hasChanged.set(true)
        due.trySend(Unit)
    }

    /** Capacity has become free: sends a heartbeat to the peers that wait for it. */
    fun announceCapacity() {
        due.trySend(Unit)
    }

    /** Sends heartbeats until cancelled. */
    suspend fun run() {
        var sentAt = clock.millis()
        while (currentCoroutineContext().isActive) {
            withTimeoutOrNull(sentAt + INTERVAL_MS - clock.millis()) { due.receive() }
            val isDue = clock.millis() >= sentAt + INTERVAL_MS
            if (isDue || hasChanged.getAndSet(false)) {
                sentAt = clock.millis()
                sendToAllDue(sentAt)
            } else {
                send(network.connected().filter { it.dataCentre == dataCentre && source.isWaiting(it) }, isSameDataCentre = true)
            }
            delay(MIN_INTERVAL_MS)
        }
    }

    private fun sendToAllDue(now: Long) {
        val (near, far) = network.connected().partition { it.dataCentre == dataCentre }
        send(near, isSameDataCentre = true)
        val isFarDue = now - lastToAllAt >= FAR_INTERVAL_MS - MIN_INTERVAL_MS
        if (isFarDue) lastToAllAt = now
        val partners = if (isFarDue) emptySet() else source.partners()
        send(far.filter { isFarDue || it in partners }, isSameDataCentre = false)
    }

    private fun send(receivers: List<VmIdentity>, isSameDataCentre: Boolean) {
        if (receivers.isNotEmpty()) network.send(receivers, source.heartbeat(isSameDataCentre))
    }

    companion object {
        /** Interval of the heartbeats to the peers of the data centre and to partners, in ms. */
        private const val INTERVAL_MS = 150L

        /** Interval of the heartbeats to all other peers, in ms. */
        private const val FAR_INTERVAL_MS = 1_200L

        /** Shortest time between two heartbeats, in ms. */
        private const val MIN_INTERVAL_MS = 20L

        /** Longest time between two heartbeats to a peer of the data centre, in ms. */
        const val MAX_INTERVAL_MS = INTERVAL_MS + MIN_INTERVAL_MS
    }
}
