/*
 * Guards against an overload that feeds itself: an owner that is slow takes late answers for lost ones, polls the workers again, and
 * becomes slower still by these calls.
 */
package dandelionpoint.coordination.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class WorkerResponseTimesTest :
    DescribeSpec({
        describe("the response times of workers") {
            it("are not fast at first, so that an owner that has just started does not take its own slowness for lost answers") {
                val times = WorkerResponseTimes(FleetRules())
                times.areFast shouldBe false
                repeat(20) { times.add(4) }
                times.areFast shouldBe true
            }

            it("are no longer fast once the owner becomes slow, since it would otherwise make even more calls") {
                val times = WorkerResponseTimes(FleetRules())
                repeat(50) { times.add(4) }
                repeat(3) { times.add(40) }
                times.areFast shouldBe false
            }

            it("stay fast if one call in twenty is lost and times out") {
                val times = WorkerResponseTimes(FleetRules())
                var fast = 0
                repeat(1_000) { index ->
                    times.add(if (index % 20 == 0) FleetRules().startTimeoutMs else 4)
                    if (times.areFast) fast++
                }
                (fast > 500) shouldBe true
            }

            // Workers that leave some orders unanswered: each lost order must be noticed as early as the first one.
            it("stay fast all the time if one call in ten is lost and times out") {
                val times = WorkerResponseTimes(FleetRules())
                repeat(20) { times.add(4) }
                repeat(1_000) { index ->
                    times.add(if (index % 10 == 0) FleetRules().startTimeoutMs else 4)
                    times.areFast shouldBe true
                }
            }
        }

        describe("an answer") {
            it("is overdue after a small multiple of the usual time, but not sooner than a busy VM may be delayed") {
                val times = WorkerResponseTimes(FleetRules())
                repeat(20) { times.add(2) }
                times.overdueMs shouldBe 20
                repeat(20) { times.add(12) }
                times.overdueMs shouldBe 36
            }

            it("is never overdue if the usual time is long") {
                val times = WorkerResponseTimes(FleetRules())
                repeat(20) { times.add(25) }
                times.overdueMs shouldBe null
            }
        }
    })
