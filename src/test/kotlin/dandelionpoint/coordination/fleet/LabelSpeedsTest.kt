/*
 * Guards against runs that are sent to slow workers because nothing is known of a worker that is new or has restarted, and against a worker
 * that counts as slow because of runs outside the rack of their data.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.RunEnd
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private val RULES = FleetRules(remotePenalty = 3.0)

/** Speeds as estimates that are off by up to 40 % show them, with 3 in 100 runs that take 7 times as long. */
private fun Random.observed(speed: Double) = speed * (0.6 + 0.8 * nextDouble()) / (if (nextInt(100) < 3) 7 else 1)

private fun tracked(id: String, speeds: LabelSpeeds, vararg labels: String) =
    TrackedWorker(worker(id).copy(labels = labels.toSet()), RULES, labelSpeeds = speeds).apply { hasRunList = true }

internal class LabelSpeedsTest :
    DescribeSpec({
        describe("a worker without observed runs") {
            it("gets the speed of its kind of machine, not that of a label which unlike machines share, at wrong estimates") {
                (1..20).forEach { seed ->
                    val random = Random(seed)
                    val speeds = LabelSpeeds()
                    repeat(300) {
                        val (kind, speed) = listOf("slow" to 0.7, "slow" to 0.7, "fast" to 1.7)[it % 3]
                        speeds.observe(setOf("all", "rack-${random.nextInt(4)}", kind), random.observed(speed))
                    }
                    speeds.speedOf(setOf("all", "rack-1", "fast")).shouldNotBeNull() shouldBeGreaterThan 1.3
                    speeds.speedOf(setOf("all", "rack-1", "slow")).shouldNotBeNull() shouldBeLessThan 0.9
                }
            }

            it("gets the speed of the label with most runs if several tell it") {
                val speeds = LabelSpeeds()
                repeat(10) { speeds.observe(setOf("rare"), 0.5) }
                repeat(11) { speeds.observe(setOf("common"), 1.5) }
                speeds.speedOf(setOf("rare", "common")).shouldNotBeNull() shouldBe (1.5 plusOrMinus 0.01)
            }

            it("counts as average if nothing is known, or little") {
                val speeds = LabelSpeeds()
                tracked("w", speeds, "fast").health.speed shouldBe 1.0
                repeat(9) { speeds.observe(setOf("fast"), 1.7) }
                speeds.speedOf(setOf("fast")).shouldBeNull()
            }
        }

        describe("a worker's own runs") {
            it("correct the speed of its labels") {
                val speeds = LabelSpeeds()
                repeat(50) { speeds.observe(setOf("fast"), 1.7) }
                val worker = tracked("w", speeds, "fast")
                worker.health.speed shouldBe (1.7 plusOrMinus 0.01)
                repeat(50) { worker.health.succeeded(elapsedMs = 200, estimateMs = 100) }
                worker.health.speed shouldBeLessThan 0.6
            }

            it("are forgotten when it restarts, perhaps as another machine") {
                val speeds = LabelSpeeds()
                repeat(50) { speeds.observe(setOf("fast"), 1.7) }
                val worker = tracked("w", speeds, "slow")
                repeat(50) { worker.health.succeeded(elapsedMs = 200, estimateMs = 100) }
                worker.entry = worker.entry.copy(labels = setOf("fast"))
                worker.onRestart(startedAtMs = 9)
                worker.health.speed shouldBe (1.7 plusOrMinus 0.01)
            }
        }

        describe("workers of uneven speeds that restart often, at half of the pool's capacity") {
            fun meanEndMs(hasKindLabels: Boolean) = (1L..5L).map { seed ->
                val shape = PoolShape(hasKindLabels = hasKindLabels, restartEveryMs = 50)
                val kinds = listOf(TaskKind("short", 25.0, 16.0, 200))
                PlacementSimulation(seed, kinds, BEST_FIT, shape = shape, errors = EstimateErrors(0.4, 0.03, 7.0)).run().meanEndMs("short")
            }.average()

            it("run tasks in less time if their labels tell the speed") {
                meanEndMs(hasKindLabels = true) shouldBeLessThan 0.95 * meanEndMs(hasKindLabels = false)
            }
        }

        describe("a run outside its rack") {
            val order = order(estimateMs = 100).copy(rack = "rack-1")

            it("does not make its worker count as slow") {
                val worker = tracked("w", LabelSpeeds(), "rack-2")
                repeat(20) {
                    worker.addRun(order, now = 0)
                    worker.applyEnd(report(ended = listOf(order.run to RunEnd.DONE), firstEnd = it + 1L).ended.single(), now = 300)
                }
                worker.health.speed shouldBe (1.0 plusOrMinus 0.01)
            }

            it("is not judged as stalled after the time that the penalty explains") {
                fun isStalled(label: String) = tracked("w", LabelSpeeds(), label).run {
                    addRun(order, now = 0)
                    isStalled(runs.values.single(), percent = 50, now = 300)
                }
                isStalled("rack-2") shouldBe false
                isStalled("rack-1") shouldBe true
            }
        }
    })
