package dandelionpoint.coordination.placement

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeAtMost
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.RandomSource
import io.kotest.property.arbitrary.bind
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.arbitrary.take

private fun demand(held: Int, vararg waiting: Pair<Long, Int>) = SlotDemand(held, waiting.map { ArrivalGroup(it.first, it.second) })

/**
 * Guards against a VM whose tasks wait until the job of another VM has ended. It comes about if the VM that requested slots first may
 * hold all of them, or if the tasks of a VM are taken to be older than they are.
 */
class SlotSharesTest :
    DescribeSpec({
        describe("the division of an allocator's slots") {
            it("grants all requested slots if enough are free, so that none stays idle while tasks wait") {
                val shares = SlotShares.divide(10, listOf(demand(30, 5L to 4), demand(0, 9L to 6)))
                shares.map { it.granted } shouldBe listOf(4, 6)
                shares.map { it.surplus } shouldBe listOf(0, 0)
            }
            it("recalls slots from the VM that holds more than its share, since the other one would wait until its job is done") {
                val shares = SlotShares.divide(0, listOf(demand(36, 5L to 500), demand(0, 9L to 100)))
                shares.map { it.surplus } shouldBe listOf(18, 0)
            }
            it("gives the slots that a VM does not need to the tasks that arrived first") {
                val shares = SlotShares.divide(30, listOf(demand(0, 9L to 50), demand(0, 5L to 50), demand(0, 7L to 1)))
                shares.map { it.granted } shouldBe listOf(10, 19, 1)
            }
            it("never grants more slots than are free or requested, for any demands") {
                val cases = Arb.bind(Arb.int(0, 60), Arb.list(Arb.int(0, 40), 2..16)) { free, numbers -> free to numbers }
                cases.take(200, RandomSource.seeded(20_261_204L)).forEach { (free, numbers) ->
                    val pairs = numbers.chunked(2).map { it.first() to it.last() }
                    val demands = pairs.mapIndexed { index, (held, waiting) -> demand(held, index.toLong() to waiting) }
                    val shares = SlotShares.divide(free, demands)
                    shares.sumOf { it.granted } shouldBeAtMost free
                    shares.zip(demands).forEach { (share, demand) -> share.granted shouldBeAtMost demand.waitingTasks }
                }
            }
        }
        describe("the backlog") {
            it("assumes that the oldest tasks were placed, so that a backlog with a steady flow of new tasks is not taken to be old") {
                val backlog = Backlog()
                backlog.update(waiting = 10, placed = 0, nowMs = 100)
                backlog.update(waiting = 10, placed = 6, nowMs = 200)
                backlog.subset(10).map { it.arrivedMs to it.count } shouldBe listOf(100L to 4, 200L to 6)
                backlog.update(waiting = 3, placed = 13, nowMs = 300)
                backlog.subset(3).map { it.arrivedMs to it.count } shouldBe listOf(200L to 3)
            }
        }
    })
