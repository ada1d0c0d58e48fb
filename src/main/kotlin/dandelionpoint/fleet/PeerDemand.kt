/* Dates the demand for runs: that of peers by their messages, that of this VM by its last look at the connections of its clients. */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.PeerLiveness
import dandelionpoint.coordination.fleet.RunDemand
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.protocol.UptimeClock

/** The demand of this VM, whose incarnation is [self], and of its peers. Dates are in ms on [uptime]. */
internal class PeerDemand(private val self: String, private val liveness: PeerLiveness, private val uptime: UptimeClock) : RunDemand {
    @Volatile
    private var clientsSeenAt = uptime.millis()

    /** The present date. */
    fun now(): Long = uptime.millis()

    /** Time in ms since the last look at the clients of this VM: a client that is not there any more may have left since. */
    fun clientsAgeMs(): Long = uptime.millis() - clientsSeenAt

    /** Calls [look], which ends the jobs of this VM's clients that have left. */
    fun lookAtClients(look: () -> Unit) {
        val now = uptime.millis()
        look()
        clientsSeenAt = now
    }

    /** Time in ms since the VM with [incarnation] is known to have been there with its clients, null if it is lost or unknown. */
    fun ageMs(incarnation: String): Long? = aliveAt(incarnation)?.let { uptime.millis() - it }

    private fun aliveAt(incarnation: String): Long? = if (incarnation == self) clientsSeenAt else liveness.aliveAt(incarnation)

    override fun dateOf(now: Long): Long = uptime.millis()

    override fun wantedAt(order: RunOrder): Long? {
        val byOrigin = aliveAt(order.origin) ?: return null
        val byEntryVm = aliveAt(order.entryVm)
        // The dispatching VM reports on the client's VM only what it has heard after that one's cancellations.
        val reported = liveness.reportedAliveAt(order.origin, order.entryVm)
        return minOf(byOrigin, maxOf(byEntryVm ?: reported ?: return null, reported ?: Long.MIN_VALUE), youngest())
    }

    /** [date], or the youngest date that counts if it is later. */
    fun limited(date: Long): Long = minOf(date, youngest())

    /**
     * Demand is taken to be as old as that of a peer usually is, also if it is younger. Otherwise the lease of a worker would often reach
     * too far for further runs to be started under it.
     */
    private fun youngest() = uptime.millis() - HeartbeatSender.INTERVAL_MS
}
