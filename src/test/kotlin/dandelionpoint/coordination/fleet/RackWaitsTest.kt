/*
 * Guards against runs that go outside a rack which will soon have capacity, where they take several times as long, and against runs that
 * wait for a rack until it is too late to start them anywhere.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.Demand
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val RACK = "rack-1"

private fun rackOrder(job: String = "a", latestStartAt: Long = 1_000) =
    order(job, estimateMs = 100).copy(rack = RACK, latestStartAt = latestStartAt)

private fun slots(vararg waitMs: Long) = waitMs.map { RackSlot(it, expectedMs = 100) }

private fun busyWorker(vararg estimatesMs: Long) = TrackedWorker(worker("w").copy(labels = setOf(RACK)), FleetRules()).apply {
    hasRunList = true
    estimatesMs.forEachIndexed { index, estimateMs -> addRun(order("job-$index", estimateMs = estimateMs), now = 0) }
}

internal class RackWaitsTest :
    DescribeSpec({
        describe("a run whose rack is full") {
            it("waits if it is expected to end earlier there than elsewhere, and goes elsewhere otherwise") {
                RackWaits().waits(rackOrder(), slots(90), elsewhereMs = 200, now = 0) shouldBe true
                RackWaits().waits(rackOrder(), slots(110), elsewhereMs = 200, now = 0) shouldBe false
                RackWaits().waits(rackOrder(), slots(), elsewhereMs = 200, now = 0) shouldBe false
            }

            it("counts the runs that wait already, each of which needs a slot") {
                val waits = RackWaits()
                listOf("a", "b", "c").map { waits.waits(rackOrder(it), slots(10, 20, 110), 200, now = 0) } shouldBe
                    listOf(true, true, false)
                withClue("the order of the waiting runs stays") { waits.waits(rackOrder("a"), slots(95, 110), 200, now = 50) shouldBe true }
                waits.forget(rackOrder("a").task)
                waits.waits(rackOrder("c"), slots(10, 20, 110), 200, now = 60) shouldBe true
            }

            it("does not wait for runs that have not been looked at for long, which may have been cancelled") {
                val waits = RackWaits()
                waits.waits(rackOrder("a"), slots(10), 200, now = 0) shouldBe true
                waits.waits(rackOrder("b"), slots(10), 200, now = 10) shouldBe false
                waits.waits(rackOrder("b"), slots(10), 200, now = 201) shouldBe true
            }

            it("does not wait without a latest start, or if the next scheduling pass might come after it") {
                RackWaits().waits(rackOrder(latestStartAt = Long.MIN_VALUE), slots(10), 200, now = 0) shouldBe false
                RackWaits().waits(rackOrder(latestStartAt = 50), slots(10), 200, now = 0) shouldBe false
                RackWaits().waits(rackOrder(latestStartAt = 51), slots(10), 200, now = 0) shouldBe true
                RackWaits().waits(rackOrder(latestStartAt = 80), slots(85), 200, now = 0) shouldBe false
            }

            it("waits neither past its latest start nor for longer than it could have saved, whatever the estimates say") {
                (1..200).forEach { seed ->
                    val random = Random(seed)
                    val waits = RackWaits()
                    val latestStartAt = random.nextLong(1, 600)
                    val elsewhereMs = random.nextLong(101, 400)
                    var now = 0L
                    while (waits.waits(rackOrder("a", latestStartAt), slots(random.nextLong(0, 40)), elsewhereMs, now)) {
                        now shouldBeLessThan latestStartAt
                        now += random.nextLong(1, 50)
                    }
                    now shouldBeLessThanOrEqual maxOf(0, minOf(latestStartAt, elsewhereMs - 100 + 49))
                }
            }
        }

        describe("the time until a worker has capacity") {
            it("is that of the runs that have to end before, by their estimates") {
                val large = rackOrder().copy(demand = Demand(14_000, 64))
                busyWorker(100, 300).slots(rackOrder(), now = 20).map { it.waitMs } shouldBe listOf(80L, 280L)
                busyWorker(100, 300).slots(large, now = 20).map { it.waitMs } shouldBe listOf(280L)
                busyWorker(100).slots(rackOrder(), now = 20).map { it.waitMs } shouldBe listOf(0L, 80L)
            }

            it("follows the reported progress of a run") {
                val worker = busyWorker(100, 100)
                worker.runs.values.forEach { it.recordProgress(percent = 25, now = 100) }
                worker.slots(rackOrder(), now = 100).map { it.waitMs } shouldBe listOf(300L, 300L)
            }

            it("is not taken as over for a run that takes much longer than estimated") {
                busyWorker(100, 100).slots(rackOrder(), now = 400).map { it.waitMs } shouldBe listOf(200L, 200L)
            }
        }

        describe("six tenths of the urgent tasks that want one rack of four") {
            fun onTime(errors: EstimateErrors, waits: Boolean, avoids: Boolean): Double = (1L..5L).map { seed ->
                val kinds = OPERATORS_KINDS.map { it.copy(rackShare = if (it.name == "urgent") 0.6 else 0.0) }
                val simulation =
                    PlacementSimulation(
                        seed,
                        kinds,
                        BEST_FIT,
                        10_000,
                        errors = errors,
                        mayWaitForRack = waits,
                        avoidsRacksInDemand = avoids,
                    )
                simulation.run().shareWithin("urgent", kinds.first().onTimeMs)
            }.average()

            it("are more often on time if they wait for the rack, and if others avoid it") {
                val without = onTime(EstimateErrors(), waits = false, avoids = false)
                onTime(EstimateErrors(), waits = true, avoids = false) shouldBeGreaterThan without + 0.04
                onTime(EstimateErrors(), waits = false, avoids = true) shouldBeGreaterThan without + 0.03
            }

            it("are so too if estimates are off by 40 % and 3 of 100 tasks take 7 times as long") {
                val errors = EstimateErrors(spread = 0.4, outlierShare = 0.03, outlierFactor = 7.0)
                onTime(errors, waits = true, avoids = true) shouldBeGreaterThan onTime(errors, waits = false, avoids = false) + 0.03
            }
        }

        describe("a run without a rack") {
            fun chosen(now: Long, estimateMs: Long = 100): String? {
                val demand = RackDemand().apply { racksToAvoid(rackOrder(), now = 0) }
                val free = TrackedWorker(worker("free").copy(labels = setOf("rack-2")), FleetRules()).apply { hasRunList = true }
                val wanted = busyWorker(100)
                val order = order(estimateMs = estimateMs)
                return listOf(wanted, free).candidates(order, now, excluded = null, demand.racksToAvoid(order, now)).choose { it }?.workerId
            }

            it("avoids a rack that runs have requested in the last seconds, though it would fit there best") {
                chosen(now = 10) shouldBe "free"
            }

            it("uses it again after that") {
                chosen(now = 3_001) shouldBe "w"
            }
        }
    })
