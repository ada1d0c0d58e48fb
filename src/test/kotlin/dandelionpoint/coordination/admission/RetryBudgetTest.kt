package dandelionpoint.coordination.admission

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.random.Random

/**
 * Guards against retries and hedges that multiply the load of a cluster that is already overloaded, and against a hedge that runs a
 * non-idempotent request twice.
 */
class RetryBudgetTest :
    DescribeSpec({
        it("never allows more retries than its burst and 2 % of requests, so that retries cannot multiply an overload") {
            checkAll(50, Arb.int()) { seed ->
                val random = Random(seed)
                val budget = RetryBudget()
                var requests = 0
                var retries = 0
                repeat(5_000) {
                    if (random.nextBoolean()) {
                        budget.onRequest().also { requests++ }
                    } else if (budget.tryTake()) {
                        retries++
                    }
                    retries shouldBeLessThanOrEqual (RetryBudget.BURST + requests * RetryBudget.RETRY_SHARE + 1e-6).toInt()
                }
            }
        }
        it("does not accumulate more tokens than its burst while no retry takes any") {
            val budget = RetryBudget()
            repeat(100_000) { budget.onRequest() }
            List(100) { budget.tryTake() }.count { it } shouldBe RetryBudget.BURST.toInt()
        }
        describe("a hedge") {
            val slow = RequestProgress(isIdempotent = true, elapsedMs = 101.0, expectedP95Ms = 100.0, calls = 1, remainingMs = 1_000.0)
            val cases = mapOf(
                "is sent for a slow idempotent request" to slow to true,
                "is never sent for a non-idempotent request, which would run twice" to slow.copy(isIdempotent = false) to false,
                "is not sent before the p95 of the class" to slow.copy(elapsedMs = 99.0) to false,
                "is not sent while the p95 is not known" to slow.copy(expectedP95Ms = null) to false,
                "is sent only once" to slow.copy(calls = 2) to false,
                "is not sent if it could not end in time" to slow.copy(remainingMs = 99.0) to false,
            )
            cases.forEach { (case, expected) ->
                it(case.first) { HedgeRule(RetryBudget(RetryBudget.HEDGE_SHARE)).shouldHedge(case.second) shouldBe expected }
            }
            it("is not sent without a token") {
                HedgeRule(RetryBudget(burst = 0.0)).shouldHedge(slow) shouldBe false
            }
        }
    })
