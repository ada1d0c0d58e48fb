/*
 * Which peers are alive. Two times answer two questions. A peer is lost some time after its last heartbeat was read; during a pause of its
 * own process a VM reads none, so that the length of the pause is added to that time. What a peer still wanted, and when, is dated by when
 * it made the heartbeat instead: one that was read late is no sign that its sender is alive.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.VmIdentity

/** A peer that is alive, with its last heartbeat. */
internal data class LivePeer(val vm: VmIdentity, val heartbeat: FleetHeartbeat)

/**
 * The live peers of this VM. A peer is lost after [unresponsiveMs] without a heartbeat, which depends on how often it sends them. Times are
 * in ms on the VM's monotonic clock, dates are those of [RunDemand].
 */
internal class PeerLiveness(private val unresponsiveMs: (VmIdentity) -> Long) {
    /** [countedAt] is the time at which the heartbeat was read, plus the pauses of this process since; [aliveAt] is its date. */
    private class LastHeartbeat(val vm: VmIdentity, val unresponsiveMs: Long, var aliveAt: Long, var heartbeat: FleetHeartbeat) {
        var countedAt = 0L
    }

    /** What the VM with the incarnation [reporter] has reported of [vm]. */
    private data class Report(val reporter: String, val vm: String)

    private val lock = Any()

    /** The live peers by their incarnations. */
    private val peers = LinkedHashMap<String, LastHeartbeat>()

    /** True if two peers may be incarnations of the same VM: a peer was added since [removeLost] has last looked for them. */
    private var mayHaveReplaced = false

    /** Dates of the last heartbeats of VMs that other VMs have reported. */
    private val reported = ExpiringMap<Report, Long>()

    /** Records a heartbeat that was read at [now] and that [vm] made on the date [sentAt] or later. */
    fun onHeartbeat(vm: VmIdentity, heartbeat: FleetHeartbeat, now: Long, sentAt: Long = now) {
        synchronized(lock) {
            val last = peers.getOrPut(vm.incarnation) {
                mayHaveReplaced = true
                LastHeartbeat(vm, unresponsiveMs(vm), sentAt, heartbeat)
            }
            last.aliveAt = maxOf(last.aliveAt, sentAt)
            last.countedAt = now
            last.heartbeat = heartbeat
            heartbeat.relayed.forEach { (incarnation, ageMs) -> record(Report(vm.incarnation, incarnation), sentAt, ageMs, now) }
        }
    }

    /** Records another message from [vm], read at [now], after which the VM is not taken for lost for a while. */
    fun onMessage(vm: VmIdentity, now: Long) {
        synchronized(lock) { peers[vm.incarnation]?.countedAt = now }
    }

    /** A message of [reporter], made on the date [sentAt] or later and read at [now], says that [vm] was alive [ageMs] before. */
    fun onReport(reporter: String, vm: String, ageMs: Long, sentAt: Long, now: Long) =
        synchronized(lock) { record(Report(reporter, vm), sentAt, ageMs, now) }

    private fun record(report: Report, sentAt: Long, ageMs: Long, now: Long) {
        val aliveAt = sentAt - ageMs.coerceAtLeast(0)
        if (aliveAt > (reported[report] ?: Long.MIN_VALUE)) reported.put(report, aliveAt, now + REPORT_KEPT_MS, now)
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

    /** Date of the last heartbeat from the VM with [incarnation], null if none was read or the VM is lost. */
    fun aliveAt(incarnation: String): Long? = synchronized(lock) { peers[incarnation]?.aliveAt }

    /** The last date at which [vm] was alive according to [reporter], null if that has reported none lately. */
    fun reportedAliveAt(reporter: String, vm: String): Long? = synchronized(lock) { reported[Report(reporter, vm)] }

    fun live(): List<LivePeer> = synchronized(lock) { peers.values.map { LivePeer(it.vm, it.heartbeat) } }

    fun isLive(vm: VmIdentity): Boolean = synchronized(lock) { vm.incarnation in peers }

    /** True if a live peer has jobs that wait for capacity. */
    fun isAnyWaiting(): Boolean = synchronized(lock) { peers.values.any { it.heartbeat.waitingJobs.isNotEmpty() } }

    /** The last heartbeat from [vm], null if it is lost or unknown. */
    fun heartbeat(vm: VmIdentity): FleetHeartbeat? = synchronized(lock) { peers[vm.incarnation]?.heartbeat }

    private companion object {
        /** How long a report is kept, in ms: longer than a lease that is counted from it. */
        const val REPORT_KEPT_MS = 2_000L
    }
}
