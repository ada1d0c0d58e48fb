/*
 * Sends this VM's heartbeats. Peers of the same data centre, and those of other data centres that run tasks or dispatch jobs for this VM,
 * get them at a short interval, since they end that work when this VM is lost. The other peers get them at an interval that grows with
 * their number: otherwise the heartbeats between all VMs would grow with the square of it. Peers with waiting jobs learn of new free
 * capacity at once. VMs of other data centres for which this VM has runs or jobs in progress get its stamps at the short interval, so that
 * it can date their heartbeats.
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

    /** Incarnations of the VMs for which this VM has runs or jobs in progress. */
    fun dependents(): Set<String>

    /** The heartbeats that are due are now sent. */
    fun sending() = Unit

    /** True if [vm] has reported jobs that wait for capacity. */
    fun isWaiting(vm: VmIdentity): Boolean

    /** True if any peer has. */
    fun isAnyWaiting(): Boolean
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
    private var sentToFarAt = Long.MIN_VALUE / 2

    /** The cells, the configuration or the state of this VM has changed: sends a heartbeat without waiting for the interval. */
    fun announceChange() {
        hasChanged.set(true)
        due.trySend(Unit)
    }

    /** Capacity has become free: sends a heartbeat to the peers that wait for it. */
    fun announceCapacity() {
        if (source.isAnyWaiting()) due.trySend(Unit)
    }

    /** Sends heartbeats until cancelled. */
    suspend fun run() {
        val guard = LoopGuard("heartbeats")
        var sentAt = clock.millis()
        while (currentCoroutineContext().isActive) {
            withTimeoutOrNull(sentAt + INTERVAL_MS - clock.millis()) { due.receive() }
            val isDue = clock.millis() >= sentAt + INTERVAL_MS
            if (isDue || hasChanged.getAndSet(false)) {
                sentAt = clock.millis()
                guard.attempt("send") { sendToAllDue(sentAt) }
            } else {
                guard.attempt("announce") { sendToWaiting() }
            }
            if (!isDue) delay(MIN_INTERVAL_MS)
        }
    }

    private fun sendToAllDue(now: Long) {
        source.sending()
        val (near, far) = network.connected().partition { it.dataCentre == dataCentre }
        send(near, isSameDataCentre = true)
        val farIntervalMs = (far.size * FAR_INTERVAL_PER_PEER_MS).coerceAtMost(MAX_FAR_INTERVAL_MS)
        val isFarDue = now - sentToFarAt >= farIntervalMs - MIN_INTERVAL_MS
        if (isFarDue) sentToFarAt = now
        if (isFarDue) return send(far, isSameDataCentre = false)
        val partners = source.partners()
        val (receivers, others) = far.partition { it in partners }
        send(receivers, isSameDataCentre = false)
        sendStamps(others)
    }

    private fun sendStamps(others: List<VmIdentity>) {
        val dependents = if (others.isEmpty()) emptySet() else source.dependents()
        if (dependents.isNotEmpty()) network.sendStamp(others.filter { it.incarnation in dependents })
    }

    /** Peers of the data centre come first. The number is limited, since a VM with free capacity can take work from a few only. */
    private fun sendToWaiting() {
        val (near, far) = network.connected().filter { source.isWaiting(it) }.partition { it.dataCentre == dataCentre }
        val chosen = near.take(MAX_WAITING_RECEIVERS)
        send(chosen, isSameDataCentre = true)
        send(far.take(MAX_WAITING_RECEIVERS - chosen.size), isSameDataCentre = false)
    }

    private fun send(receivers: List<VmIdentity>, isSameDataCentre: Boolean) {
        if (receivers.isNotEmpty()) network.send(receivers, source.heartbeat(isSameDataCentre))
    }

    companion object {
        /** Interval of the heartbeats to the peers of the data centre and to partners, in ms. */
        const val INTERVAL_MS = 150L

        /** Interval of the heartbeats to all other peers, in ms for each of them. */
        private const val FAR_INTERVAL_PER_PEER_MS = 30L

        /** The same interval at most, in ms. */
        private const val MAX_FAR_INTERVAL_MS = 1_200L

        /** The most peers that are told at once of free capacity. */
        private const val MAX_WAITING_RECEIVERS = 8

        /** Shortest time between two heartbeats that do not wait for the interval, in ms. */
        private const val MIN_INTERVAL_MS = 20L

        /** Longest time between two heartbeats to a peer of the data centre, in ms. */
        const val MAX_INTERVAL_MS = INTERVAL_MS + MIN_INTERVAL_MS
    }
}
