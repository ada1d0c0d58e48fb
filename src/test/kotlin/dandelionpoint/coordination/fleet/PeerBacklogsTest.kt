/*
 * Guards against a task that waits at another owner although its wait there is not shorter, against VMs that all choose the same owner on
 * the same heartbeat, and against estimates from old heartbeats that count like new ones.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.VmIdentity
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private fun vm(name: String) = VmIdentity(name, "incarnation-$name", "north", "akl-a", "127.0.0.1", 1)

/** [backlog] is the work that waits, in core-ms by priority. */
private fun heartbeat(vararg backlog: Long, cores: Int = 100, isStopping: Boolean = false) =
    FleetHeartbeat(cores = mapOf(POOL to cores), isStopping = isStopping, backlog = mapOf(POOL to backlog.toList()))

private fun backlogs(vararg peers: Pair<String, FleetHeartbeat>, seed: Long = 1) =
    PeerBacklogs(Random(seed)).apply { peers.forEach { (name, heartbeat) -> update(vm(name), heartbeat, now = 0) } }

/** 7 cores for 1,000 ms. */
private fun task(index: Int = 0, priority: Int = 0) = order(index = index, estimateMs = 1_000).copy(priority = priority)

internal class PeerBacklogsTest :
    DescribeSpec({
        describe("the expected wait at another owner") {
            it("counts work of the same priority and more urgent work, not less urgent work") {
                val backlogs = backlogs("a" to heartbeat(1_000, 2_000, 30_000))
                (0..2).map { backlogs.leastWaitMs(POOL, it, ownWaitMs = 0.0, now = 0) } shouldBe listOf(10.0, 30.0, 330.0)
            }

            it("is the least one of all owners with workers of the pool that do not stop") {
                val backlogs = backlogs(
                    "a" to heartbeat(5_000),
                    "b" to heartbeat(2_000),
                    "without workers" to heartbeat(0, cores = 0),
                    "stopping" to heartbeat(0, isStopping = true),
                )
                backlogs.leastWaitMs(POOL, 0, ownWaitMs = 0.0, now = 0) shouldBe 20.0
                backlogs.remove(vm("b"))
                backlogs.leastWaitMs(POOL, 0, ownWaitMs = 0.0, now = 0) shouldBe 50.0
                backlogs.leastWaitMs("other pool", 0, ownWaitMs = 0.0, now = 0) shouldBe null
            }

            // Heartbeats between data centres are up to 1.2 s old.
            it("is taken to be like the own wait the more, the older the heartbeat is") {
                val backlogs = backlogs("a" to heartbeat(0))
                listOf(0L, 300L, 900L).map { checkNotNull(backlogs.leastWaitMs(POOL, 0, ownWaitMs = 100.0, now = it)) }
                    .zip(listOf(0.0, 50.0, 75.0))
                    .forEach { (waitMs, expected) -> waitMs shouldBe (expected plusOrMinus 0.001) }
            }
        }

        describe("a task that finds no room") {
            it("waits here unless its wait elsewhere is shorter by a margin") {
                fun chosen(ownWaitMs: Double) = backlogs("a" to heartbeat(10_000)).choose(task(), ownWaitMs, now = 0)
                chosen(119.0) shouldBe null
                chosen(134.0) shouldBe vm("a")
                // A quarter of the own wait.
                backlogs("a" to heartbeat(80_000)).choose(task(), 1_060.0, now = 0) shouldBe null
                backlogs("a" to heartbeat(80_000)).choose(task(), 1_070.0, now = 0) shouldBe vm("a")
            }

            it("waits elsewhere if this VM has no workers of its pool") {
                backlogs("a" to heartbeat(80_000)).choose(task(), ownWaitMs = null, now = 0) shouldBe vm("a")
            }

            // Heartbeats come every 150 ms, and a burst of tasks in a few ms.
            it("counts what was sent since the last heartbeat, for its priority and less urgent ones, until the next one") {
                val backlogs = backlogs("a" to heartbeat(0))
                repeat(3) { backlogs.choose(task(it, priority = 1), ownWaitMs = 1_000.0, now = 0) shouldBe vm("a") }
                (0..2).map { backlogs.leastWaitMs(POOL, it, 0.0, now = 0) } shouldBe listOf(0.0, 210.0, 210.0)
                backlogs.update(vm("a"), heartbeat(0), now = 0)
                backlogs.leastWaitMs(POOL, 2, 0.0, now = 0) shouldBe 0.0
            }

            it("is spread with others over the owners with short waits, in proportion to how short they are") {
                val backlogs = backlogs("a" to heartbeat(0), "b" to heartbeat(0), "c" to heartbeat(0), "busy" to heartbeat(100_000))
                val chosen = List(30) { backlogs.choose(task(it), ownWaitMs = 900.0, now = 0)?.name }
                chosen.distinct() shouldContainExactlyInAnyOrder listOf("a", "b", "c")
                chosen.groupingBy { it }.eachCount().values.forEach { it shouldBeInRange 7..13 }
            }

            it("is sent by VMs with the same heartbeats to different owners") {
                val peers = List(10) { "vm-$it" to heartbeat(1_000L * it) }.toTypedArray()
                val chosen = (1L..40L).map { backlogs(*peers, seed = it).choose(task(), ownWaitMs = 500.0, now = 0)?.name }
                chosen.groupingBy { it }.eachCount().values.max() shouldBeLessThan 16
            }
        }
    })
