package dandelionpoint.coordination.configuration

import dandelionpoint.protocol.peer.PeerMessage
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.RandomSource
import io.kotest.property.arbitrary.int
import kotlin.random.Random

/**
 * Guards against a VM that goes back to an older version, against two VMs with different contents under one version, and against changes
 * that reach a VM too late. These failures arise when answers of the table and messages of peers arrive late or out of order, when writes
 * lose their answers, and when many changes are made in a short time.
 */
class ConfigurationOrderTest :
    DescribeSpec({
        describe("the version in force") {
            it("never decreases, and has the same content on every VM, under any order of answers, messages and faults") {
                Arb.int().samples(RandomSource.seeded(20_261_204)).take(200).forEach { Scenario(it.value).run(steps = 120) }
            }
        }

        describe("a burst of 10 changes a second for a minute") {
            it("reaches every VM within 13 s, with fewer than 50 writes a second, and keeps 1,000 changes") {
                val cluster = Cluster(size = 7, table = FakeTable(maxPageRows = 40)).started()
                repeat(1_100) { cluster.vms[0].change(team("a", it), null, "ana") }
                cluster.vms.forEach { it.refresh() }
                val writtenBefore = cluster.table.writtenRows
                Burst(cluster, seconds = 60).run() shouldBeLessThan 13_000L
                (cluster.table.writtenRows - writtenBefore) / 60 shouldBeLessThan 50
                cluster.table.rows.keys.count { it.startsWith(ConfigurationRows.CHANGE_PREFIX) } shouldBe 1_000
                cluster.vms.map { it.current() }.toSet().size shouldBe 1
            }
        }
    })

/** A random sequence, from one seed, of changes, reads, late answers, faults, and peer messages delivered late and out of order. */
private class Scenario(seed: Int) {
    private val random = Random(seed)
    private val cluster = Cluster(size = 3, seed = seed)
    private val contents = mutableMapOf<Long, Configuration>()
    private val lastVersions = LongArray(3)
    private val documents = mutableListOf<PeerMessage.ConfigChanges>()
    private val earlierRows = mutableListOf(cluster.table.rows.toMap())

    suspend fun run(steps: Int) = repeat(steps) {
        step(cluster.vms.random(random))
        cluster.vms.forEachIndexed { index, vm -> vm.current()?.let { check(index, it) } }
    }

    private suspend fun step(vm: ConfigurationService) {
        when (random.nextInt(8)) {
            0 -> vm.change(team("t${random.nextInt(3)}", random.nextInt(100)), null, "ana")
            1 -> vm.refresh()
            2 -> cluster.table.writeFaults += WriteFault.entries.random(random)
            3 -> vm.changesAfter(random.nextLong(0, 40))?.let { documents += it }
            4 -> documents.randomOrNull(random)?.let { vm.apply(it) }
            5 -> cluster.table.deliverDelayed()
            6 -> earlierRows += cluster.table.rows.toMap()
            else -> readStale(vm)
        }
    }

    private suspend fun readStale(vm: ConfigurationService) {
        cluster.table.staleRows = earlierRows.random(random).takeIf { it.isNotEmpty() }
        vm.refresh()
        cluster.table.staleRows = null
    }

    private fun check(index: Int, now: Configuration) {
        now.version shouldBeGreaterThanOrEqual lastVersions[index]
        lastVersions[index] = now.version
        now shouldBe contents.getOrPut(now.version) { now }
    }
}

/** One VM makes a change every 100 ms; the others read the head row at their own times. Measures the longest delay to all of them. */
private class Burst(private val cluster: Cluster, seconds: Int) {
    private val steps = seconds * 10
    private val nextReadAtMs = LongArray(cluster.vms.size) { cluster.nowMs + cluster.vms[it].nextReadMs() }
    private val madeAtMs = mutableMapOf<Long, Long>()

    suspend fun run(): Long {
        val delays =
            (0 until steps).flatMap {
                val made = cluster.vms[0].change(team("t${it % 130}", it), null, "ana").getOrNull()
                madeAtMs[made?.version ?: 0] = cluster.nowMs
                tick()
            } + (0 until steps).flatMap { tick() }
        delays.size shouldBe steps
        return delays.max()
    }

    /** Returns the delays of the changes that have now reached every VM. */
    private suspend fun tick(): List<Long> {
        cluster.nowMs += 100
        cluster.vms.drop(1).forEachIndexed { index, vm ->
            if (cluster.nowMs >= nextReadAtMs[index]) {
                vm.refresh()
                nextReadAtMs[index] = cluster.nowMs + vm.nextReadMs()
            }
        }
        val lowestVersion = cluster.vms.minOf { it.current()?.version ?: 0 }
        val arrived = madeAtMs.keys.filter { it <= lowestVersion }
        return arrived.mapNotNull { madeAtMs.remove(it) }.map { cluster.nowMs - it }
    }
}
