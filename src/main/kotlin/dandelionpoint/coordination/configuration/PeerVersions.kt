/* Configuration versions of the other entry VMs, as their heartbeats report them. */
package dandelionpoint.coordination.configuration

import dandelionpoint.protocol.peer.VmIdentity
import kotlin.random.Random

/** Thread-safe record of the last version that each peer reported. A new incarnation of a VM replaces the earlier one. */
internal class PeerVersions(private val settings: ConfigurationSettings, private val random: Random) {
    private data class ReportedVersion(val vm: VmIdentity, val version: Long, val atMs: Long)

    private val reports = HashMap<String, ReportedVersion>()
    private var lastPullMs: Long? = null
    private var lastPulledFrom: VmIdentity? = null

    @Synchronized
    fun onHeartbeat(vm: VmIdentity, version: Long, nowMs: Long) {
        if (vm.name == settings.vm.name) return
        reports[vm.name] = ReportedVersion(vm, version, nowMs)
        reports.values.removeIf { nowMs - it.atMs > settings.peerRetentionMs }
        if (reports.size > settings.maxPeers) reports.remove(reports.values.minBy { it.atMs }.vm.name)
    }

    /** Removes [vm], unless a newer incarnation of it has reported. */
    @Synchronized
    fun remove(vm: VmIdentity) {
        if (reports[vm.name]?.vm?.incarnation == vm.incarnation) reports.remove(vm.name)
    }

    @Synchronized
    fun highestVersion(): Long = reports.values.maxOfOrNull { it.version } ?: 0

    /**
     * Chooses a reachable peer to pull from, or null if no pull is due: the one with the highest version above [version], or, if no
     * peer is ahead and the last confirmation, [ageMs] old, is too old, any one. If the last pull went to the same peer, another one
     * that is ahead is preferred.
     */
    @Synchronized
    fun choosePullTarget(version: Long, ageMs: Long, nowMs: Long): VmIdentity? {
        val reachable = reports.values.filter { nowMs - it.atMs <= settings.peerReachableMs }
        val ahead = reachable.filter { it.version > version }
        val choice =
            when {
                ahead.isNotEmpty() && isDue(nowMs, settings.pullIntervalMs) -> withHighestVersion(ahead)

                ahead.isEmpty() && ageMs > settings.confirmAfterMs && isDue(nowMs, settings.confirmIntervalMs) ->
                    reachable.filter { it.version > 0 }.randomOrNull(random)

                else -> null
            } ?: return null
        lastPullMs = nowMs
        lastPulledFrom = choice.vm
        return choice.vm
    }

    /** Splits the known VMs by whether they reported [version] or a later one. */
    @Synchronized
    fun propagation(version: Long, nowMs: Long): ChangePropagation {
        val known = reports.values.sortedBy { it.vm.name }.map { VmConfigurationVersion(it.vm, it.version, nowMs - it.atMs) }
        val (confirmed, unconfirmed) = known.partition { it.version >= version }
        return ChangePropagation(version, confirmed, unconfirmed)
    }

    private fun isDue(nowMs: Long, intervalMs: Long): Boolean = lastPullMs?.let { nowMs - it >= intervalMs } ?: true

    private fun withHighestVersion(ahead: List<ReportedVersion>): ReportedVersion {
        val highest = ahead.maxOf { it.version }
        val best = ahead.filter { it.version == highest }.random(random)
        if (best.vm != lastPulledFrom) return best
        return ahead.filter { it.vm != lastPulledFrom }.randomOrNull(random) ?: best
    }
}
