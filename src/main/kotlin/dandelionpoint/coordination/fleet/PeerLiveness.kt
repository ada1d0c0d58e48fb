/*
 * Which peers are alive. Two times answer two questions. A peer is lost some time after its last heartbeat was read; during a pause of its
 * own process a VM reads none, so that the length of the pause is added to that time. What a peer still wanted, and when, is dated by when
 * it made the heartbeat instead: one that was read late is no sign that its sender is alive.
 *
 * Invariant: a peer that is not known never counts as alive. Work is accepted only for a known peer, and a known peer stays known until it
 * is lost, which ends its work; one that is known by a request alone is lost as well if no heartbeat follows.
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
    /**
     * [countedAt] is the time at which the last heartbeat was read, plus the pauses of this process since; [aliveAt] is its date. Before
     * the first heartbeat, both are those of the request by which the peer is known.
     */
    private class KnownPeer(val vm: VmIdentity, val unresponsiveMs: Long, var aliveAt: Long, var countedAt: Long) {
        var heartbeat: FleetHeartbeat? = null
    }

    /** What the VM with the incarnation [reporter] has reported of [vm]. */
    private data class Report(val reporter: String, val vm: String)

    private val lock = Any()

    /** The known peers by their incarnations. */
    private val peers = LinkedHashMap<String, KnownPeer>()

    /** True if two peers may be incarnations of the same VM: a peer was added since [removeLost] has last looked for them. */
    private var mayHaveReplaced = false

    /** Dates of the last heartbeats of VMs that other VMs have reported. */
    private val reported = ExpiringMap<Report, Long>()

    /** Records a heartbeat that was read at [now] and that [vm] made on the date [sentAt] or later. */
    fun onHeartbeat(vm: VmIdentity, heartbeat: FleetHeartbeat, now: Long, sentAt: Long = now) {
        synchronized(lock) {
            val peer = peers.getOrPut(vm.incarnation) {
                mayHaveReplaced = true
                KnownPeer(vm, unresponsiveMs(vm), sentAt, now)
            }
            peer.aliveAt = maxOf(peer.aliveAt, sentAt)
            peer.countedAt = now
            peer.heartbeat = heartbeat
            heartbeat.relayed.forEach { (incarnation, ageMs) -> record(Report(vm.incarnation, incarnation), sentAt, ageMs, now) }
        }
    }

    /**
     * Makes [vm] known by a request of it that was read at [now] and made on the date [sentAt] or later, unless it is known already.
     * Returns false if another incarnation of the VM is known: which one is the later shows only when a heartbeat of this one is read.
     */
    fun introduce(vm: VmIdentity, now: Long, sentAt: Long): Boolean = synchronized(lock) {
        if (vm.incarnation in peers) return@synchronized true
        if (peers.values.any { it.vm.name == vm.name }) return@synchronized false
        peers[vm.incarnation] = KnownPeer(vm, unresponsiveMs(vm), sentAt, now)
        true
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
    private fun replaced(): List<KnownPeer> {
        val newest = HashMap<String, KnownPeer>()
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

    /** The last date at which the VM with [incarnation] was certainly alive, null if it is lost or unknown. */
    fun aliveAt(incarnation: String): Long? = synchronized(lock) { peers[incarnation]?.aliveAt }

    /** The last date at which [vm] was alive according to [reporter], null if that has reported none lately. */
    fun reportedAliveAt(reporter: String, vm: String): Long? = synchronized(lock) { reported[Report(reporter, vm)] }

    /** The known peers whose heartbeats are read. */
    fun live(): List<LivePeer> = synchronized(lock) { peers.values.mapNotNull { peer -> peer.heartbeat?.let { LivePeer(peer.vm, it) } } }

    /** True if [vm] is one of the [live] peers. */
    fun isLive(vm: VmIdentity): Boolean = heartbeat(vm) != null

    /**
     * The known peer at [host] and [port], null if there is none or if it was alive on the date [heardBefore] or later. What was found at
     * the address on that date says nothing of a process that was alive afterwards: it may have started there since.
     */
    fun peerAt(host: String, port: Int, heardBefore: Long): VmIdentity? = synchronized(lock) {
        peers.values.firstOrNull { it.vm.host == host && it.vm.port == port && it.aliveAt < heardBefore }?.vm
    }

    /** True if a live peer has jobs that wait for capacity. */
    fun isAnyWaiting(): Boolean = synchronized(lock) { peers.values.any { it.heartbeat?.waitingJobs?.isNotEmpty() == true } }

    /** The last heartbeat from [vm], null if it is lost or unknown. */
    fun heartbeat(vm: VmIdentity): FleetHeartbeat? = synchronized(lock) { peers[vm.incarnation]?.heartbeat }

    private companion object {
        /** How long a report is kept, in ms: longer than a lease that is counted from it. */
        const val REPORT_KEPT_MS = 2_000L
    }
}
