/* Guards against refused clients that come again together, or long before there is capacity. */
package dandelionpoint.coordination.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe

private val IDS = List(1_000) { "%016x".format(it) }

internal class RetryAfterTest :
    DescribeSpec({
        it("is after the expected wait, and within as long again and the spread") {
            IDS.forEach { retryAfterMs(it, expectedWaitMs = 700.0, spreadMs = 1_000) shouldBeInRange 700L..2_400L }
        }

        it("is spread evenly over that time, the same for the same job") {
            val quarters = IDS.groupingBy { (retryAfterMs(it, 700.0, 1_000) - 700) * 4 / 1_701 }.eachCount()
            quarters.size shouldBe 4
            quarters.values.forEach { it shouldBeGreaterThan 200 }
            IDS.forEach { retryAfterMs(it, 700.0, 1_000) shouldBe retryAfterMs(it, 700.0, 1_000) }
        }

        // The header has whole seconds, rounded up.
        it("is at least 1 ms, and has a bound") {
            IDS.forEach {
                retryAfterMs(it, expectedWaitMs = 0.0, spreadMs = 0) shouldBe 1
                retryAfterMs(it, expectedWaitMs = -5.0, spreadMs = 1_000) shouldBeGreaterThanOrEqual 1
                retryAfterMs(it, expectedWaitMs = Double.MAX_VALUE, spreadMs = 1_000) shouldBeInRange 5_000L..11_000L
            }
        }
    })
