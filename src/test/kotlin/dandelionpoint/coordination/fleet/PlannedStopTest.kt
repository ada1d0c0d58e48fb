package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobStep
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull

private const val LONG_WAIT_MS = 30_000L

/** Guards against jobs that a stopping VM starts although its process ends before they do. */
internal class PlannedStopTest :
    DescribeSpec({
        val stop = PlannedStop(endsAt = 5_000)

        describe("a VM that stops") {
            it("accepts a job whose client does not wait longer than its process lives") {
                stop.refusal(job("a", estimateMs = 1_200), waitMs = 1_500, now = 3_500).shouldBeNull()
                stop.refusal(job("a", estimateMs = 1_200), waitMs = 1_500, now = 3_501).shouldNotBeNull()
            }

            it("accepts a short job whose client would wait for longer") {
                stop.refusal(job("a", estimateMs = 60), LONG_WAIT_MS, now = 4_700).shouldBeNull()
                stop.refusal(job("a", estimateMs = 60), LONG_WAIT_MS, now = 4_900).shouldNotBeNull()
            }

            it("adds up the steps that depend on each other") {
                val steps = listOf(JobStep(1, TASK_DEMAND, 1_000), JobStep(1, TASK_DEMAND, 1_000, after = listOf(0)))
                stop.refusal(job("a", estimateMs = 1_000), LONG_WAIT_MS, now = 2_000).shouldBeNull()
                stop.refusal(FleetJob("a", "", steps), LONG_WAIT_MS, now = 2_000).shouldNotBeNull()
            }
        }
    })
