package dandelionpoint.coordination.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class AnswerTimesTest :
    DescribeSpec({
        describe("the answers of workers") {
            it("are not fast for a keeper that has just started, which would take its own slowness for loss") {
                val times = AnswerTimes(FleetRules())
                times.areFast shouldBe false
                repeat(20) { times.add(4) }
                times.areFast shouldBe true
            }

            it("are no longer fast when the keeper becomes slow, which would otherwise make still more calls") {
                val times = AnswerTimes(FleetRules())
                repeat(50) { times.add(4) }
                repeat(3) { times.add(40) }
                times.areFast shouldBe false
            }

            it("stay fast though one in twenty is lost and given up late") {
                val times = AnswerTimes(FleetRules())
                var fast = 0
                repeat(1_000) { index ->
                    times.add(if (index % 20 == 0) FleetRules().startTimeoutMs else 4)
                    if (times.areFast) fast++
                }
                (fast > 500) shouldBe true
            }
        }
    })
