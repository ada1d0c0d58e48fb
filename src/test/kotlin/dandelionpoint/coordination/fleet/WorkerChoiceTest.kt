/*
 * Guards against a pool whose free capacity is spread over many gaps that are too small for the tasks that wait, and against runs on
 * workers where they end late although others are free.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.Demand
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private fun candidate(id: String, expectedMs: Long, leftMilli: Int) = CandidateWorker(id, expectedMs, leftMilli)

private fun chosen(vararg candidates: CandidateWorker): String? = candidates.toList().choose { it }?.workerId

private fun usable(id: String, labels: Set<String> = emptySet(), rules: FleetRules = FleetRules()) =
    TrackedWorker(worker(id).copy(labels = labels), rules).apply { hasRunList = true }

private fun TrackedWorker.observe(speed: Double) = repeat(100) { health.observeSpeed((1_000 / speed).toLong(), 1_000) }

internal class WorkerChoiceTest :
    DescribeSpec({
        describe("among workers with nearly equal expected ends") {
            it("the one with the least CPU left over is chosen, so that large gaps remain") {
                chosen(candidate("roomy", 200, 40_000), candidate("tight", 220, 1_000), candidate("middle", 200, 9_000)) shouldBe "tight"
            }

            it("10 ms count as nearly equal for short runs, and a tenth for long ones") {
                chosen(candidate("roomy", 50, 40_000), candidate("tight", 60, 0)) shouldBe "tight"
                chosen(candidate("roomy", 50, 40_000), candidate("tight", 61, 0)) shouldBe "roomy"
                chosen(candidate("roomy", 900, 40_000), candidate("tight", 990, 0)) shouldBe "tight"
                chosen(candidate("roomy", 900, 40_000), candidate("tight", 991, 0)) shouldBe "roomy"
            }
        }

        // Best fit on a pool with room made the tasks of 900 ms take 7 % longer, and twice as many jobs late in calm seconds.
        describe("while many workers have room") {
            it("the one on which the run ends first is chosen, and of equal ones the one with the least CPU left over") {
                fun chosen(vararg candidates: CandidateWorker) = candidates.toList().choose(isCrowded = false) { it }?.workerId
                chosen(candidate("fast", 200, 40_000), candidate("tight", 201, 1_000)) shouldBe "fast"
                chosen(candidate("roomy", 200, 40_000), candidate("tight", 200, 1_000)) shouldBe "tight"
            }

            it("a pool counts as crowded once fewer than a third of its workers can start the run") {
                isCrowded(fitting = 4, workers = 12) shouldBe false
                isCrowded(fitting = 3, workers = 12) shouldBe true
                isCrowded(fitting = 0, workers = 0) shouldBe false
            }
        }

        describe("a run that names a rack") {
            it("goes to a slower worker in the rack if the penalty is higher than the gain, and else to a faster one outside") {
                fun chosen(penalty: Double): String? {
                    val rules = FleetRules(remotePenalty = penalty)
                    val near = usable("near", setOf("rack-1"), rules).apply { observe(0.7) }
                    val far = usable("far", setOf("rack-2"), rules).apply { observe(1.7) }
                    return listOf(near, far).candidates(order().copy(rack = "rack-1"), now = 0, excluded = null).choose { it }?.workerId
                }
                chosen(penalty = 1.5) shouldBe "far"
                chosen(penalty = 3.0) shouldBe "near"
            }
        }

        it("the worker to avoid is the last choice, even with the least capacity left over") {
            val workers = listOf(usable("bad"), usable("good"))
            workers[0].addRun(order("other"), now = 0)
            workers.candidates(order().copy(avoid = "bad"), now = 0, excluded = null).choose { it }?.workerId shouldBe "good"
        }

        // The sum is kept with each change, since it is read for each task that waits.
        it("the used capacity is the sum of the runs' demands after any sequence of starts and ends") {
            val random = Random(5)
            val worker = usable("w")
            repeat(2_000) {
                val order = order(
                    "job-${random.nextInt(10)}",
                ).copy(demand = Demand(random.nextInt(9_000), random.nextInt(100), random.nextInt(3)))
                if (random.nextBoolean()) worker.addRun(order, now = 0) else worker.removeRun(order.task)
                worker.used() shouldBe worker.runs.values.fold(Demand(0)) { sum, run -> sum + run.order.demand }
            }
        }

        // The simulation itself fails if a worker is overbooked or if a task is never started.
        describe("many small tasks and few large ones near a full pool") {
            fun unusable(rule: ChoiceRule, errors: EstimateErrors) = (1L..10L).map { seed ->
                val result = PlacementSimulation(
                    seed,
                    SMALL_WITH_LARGE.map {
                        it.copy(perSecond = it.perSecond * 0.9)
                    },
                    rule,
                    errors = errors,
                ).run()
                result.started shouldBeGreaterThan 5_000
                result.unusableShare
            }.average()

            it("less capacity is free but too small for every waiting task than if the fastest worker is taken") {
                withClue("share of the cores, mean of ten seeds") {
                    unusable(BEST_FIT, EstimateErrors()) shouldBeLessThan unusable(FASTEST, EstimateErrors()) * 0.9
                }
            }

            it("no more than that if estimates are off by 40 % and 3 of 100 tasks take 7 times as long") {
                val errors = EstimateErrors(spread = 0.4, outlierShare = 0.03, outlierFactor = 7.0)
                unusable(BEST_FIT, errors) shouldBeLessThan unusable(FASTEST, errors)
            }
        }

        it("a burst of large tasks on a full pool is started as runs end, each before the small tasks that keep arriving have gone") {
            val kinds = listOf(TaskKind("small", 300.0, 4.0, 200), TaskKind("large", 60.0, 26.0, 200))
            (1L..5L).forEach { seed ->
                val result = PlacementSimulation(seed, kinds, BEST_FIT, lengthMs = 5_000).run()
                result.longestWaitMs("large") shouldBeGreaterThan 0
                withClue("seed $seed, in ms") { result.longestWaitMs("large").toDouble() shouldBeLessThan 5_000.0 }
            }
        }
    })
