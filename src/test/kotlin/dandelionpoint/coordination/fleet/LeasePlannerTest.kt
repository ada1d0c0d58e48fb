/*
 * Guards against late reports of ended runs when several calls in a row are lost, and against more calls from an owner that is
 * already slow.
 */
package dandelionpoint.coordination.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

private val RULES = FleetRules()

private fun workerWithRun() = TrackedWorker(worker("w"), RULES).apply {
    hasRunList = true
    addRun(order(), now = 0)
}

class LeasePlannerTest :
    DescribeSpec({
        describe("a lease call after a lost call") {
            it("asks for a shorter wait, so that another loss hides few ends, and for the usual wait after the degraded period") {
                val planner = LeasePlanner(token = 1, RULES, areAnswersFast = { true })
                planner.onCallLost(1_000)
                planner.next(workerWithRun(), 1_001).shouldNotBeNull().call.waitMs shouldBe RULES.degradedRenewMs
                planner.next(workerWithRun(), 1_000 + RULES.degradedPeriodMs).shouldNotBeNull().call.waitMs shouldBe RULES.renewMs
            }

            it("asks for the usual wait if answers are slow, since more calls would slow the owner further") {
                val planner = LeasePlanner(token = 1, RULES, areAnswersFast = { false })
                planner.onCallLost(1_000)
                planner.next(workerWithRun(), 1_001).shouldNotBeNull().call.waitMs shouldBe RULES.renewMs
            }
        }
    })
