package dandelionpoint.coordination.configuration

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.peer.VmIdentity
import kotlin.random.Random

/** A clock whose time is [nowMs], in ms. */
internal class TestClock(private val nowMs: () -> Long) : Clock {
    override fun wallMs(): Long = nowMs()

    override fun nanos(): Long = nowMs() * 1_000_000
}

/** Configuration services of several VMs on one table, with one simulated clock. */
internal class Cluster(size: Int, seed: Int = 1, val table: FakeTable = FakeTable()) {
    var nowMs = 0L
    val vms: List<ConfigurationService> = List(size) { service(it, seed) }

    fun identity(index: Int) = VmIdentity("vm-$index", "run-$index", "region", "dc-${index % 2}", "127.0.0.1", 7400 + index)

    fun service(index: Int, seed: Int): ConfigurationService = ConfigurationService(
        table = table,
        clock = TestClock { nowMs },
        settings = ConfigurationSettings(identity(index)),
        random = Random(seed),
        pause = { nowMs += it },
    )

    /** Makes every VM read the table once, as after its start. */
    suspend fun started(): Cluster = apply { vms.forEach { it.refresh() } }

    /** Delivers one heartbeat of the VM [from] to the VM [to], and runs the pull that may follow. */
    fun heartbeat(from: Int, to: Int) {
        vms[to].onPeerVersion(identity(from), vms[from].current()?.version ?: 0)
        val target = vms[to].nextPullTarget() ?: return
        val peer = vms[target.port - 7400]
        peer.changesAfter(vms[to].current()?.version ?: 0)?.let { vms[to].apply(it) }
    }
}

internal fun team(name: String, weight: Int) = ConfigurationChange.PutTeam(TeamQuota(name, weight))
