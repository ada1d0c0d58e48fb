/* Guards against an operator who cannot see what waits and why work is refused, and against a line for each refusal. */
package dandelionpoint.coordination.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

internal class WaitingReportTest :
    DescribeSpec({
        it("names what waits by priority and what was refused by reason, once per interval") {
            val waiting = WaitingRuns()
            val dispatch = Dispatch(ORIGIN, waitingRuns = waiting)
            val full = RunPlacer { null }
            dispatch.waitingReport(0) shouldBe null
            dispatch.submit(Submission(job("a", tasks = 3), queue(priority = 1), ORIGIN, 0, 1_500), 32.0, 0, full)
            dispatch.submit(Submission(job("late"), queue(), ORIGIN, 0, 1_500), 32.0, 1_500, full)
            waiting.add(order(origin = "vm-2").copy(latestStartAt = 50))
            dispatch.waitingReport(10) shouldBe "event=waiting_work own_tasks=1:3 peer_runs=0:1 refused=deadline_passed:1"
            dispatch.schedule(1_000, full)
            dispatch.waitingReport(3_009) shouldBe null
            dispatch.waitingReport(3_010) shouldBe "event=waiting_work own_tasks=0 peer_runs=0 refused=no_capacity:1,peer_run_expired:1"
            dispatch.waitingReport(9_000) shouldBe null
        }
    })
