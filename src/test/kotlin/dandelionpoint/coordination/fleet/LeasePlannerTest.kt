package dandelionpoint.coordination.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

private val RULES = FleetRules()

private fun seat() = WorkerSeat(worker("w"), RULES).apply {
    isKnown = true
    runs[order().task] = SeatedRun(order(), orderedAt = 0)
}

class LeasePlannerTest :
    DescribeSpec({
        describe("a lease call after a lost one") {
            it("waits less, so that another loss hides few ends, and as long as before when the trouble is over") {
                val planner = LeasePlanner(token = 1, RULES, areAnswersFast = { true })
                planner.callLost(1_000)
                planner.next(seat(), 1_001).shouldNotBeNull().call.waitMs shouldBe RULES.troubledRenewMs
                planner.next(seat(), 1_000 + RULES.troubleMs).shouldNotBeNull().call.waitMs shouldBe RULES.renewMs
            }

            it("does not wait less if answers are slow, since more calls would slow the keeper further") {
                val planner = LeasePlanner(token = 1, RULES, areAnswersFast = { false })
                planner.callLost(1_000)
                planner.next(seat(), 1_001).shouldNotBeNull().call.waitMs shouldBe RULES.renewMs
            }
        }
    })
