/*
 * Guards against jobs that are refused although a task of theirs may have been started, that are refused too late for the client to submit
 * them again, or whose tasks are started again while an earlier run may still be in progress.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.RunEnd
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

/** Has capacity for [free] runs and records the orders that it placed. Elsewhere, runs have to wait for [otherWaitMs]. */
private class FakePlacer(var free: Int, private val otherWaitMs: Double? = null) : RunPlacer {
    val placed = mutableListOf<RunOrder>()

    override fun place(order: RunOrder): RunLocation? {
        if (free == 0) return null
        free--
        placed += order
        return RunLocation.Local("akl-a")
    }

    override fun waitElsewhereMs(queue: JobQueue, ownWaitMs: Double): Double? = otherWaitMs
}

private const val CORES = 32.0

private fun submission(job: FleetJob, queue: JobQueue = queue(), now: Long = 0, entryVm: String = ORIGIN) =
    Submission(job, queue, entryVm, arrivedAt = now, deadlineAt = now + 1_500)

private fun List<DispatchEvent>.outcomes() = filterIsInstance<DispatchEvent.Finished>().map { it.outcome }

internal class DispatchTest :
    DescribeSpec({
        describe("a job") {
            it("completes when all of its tasks are done and not earlier") {
                val dispatch = Dispatch(ORIGIN)
                val placer = FakePlacer(2)
                dispatch.submit(submission(job("a", tasks = 2)), CORES, 0, placer).outcomes().shouldBeEmpty()
                dispatch.onRunEnd(placer.placed[0].key, RunEnd.DONE, "w", 60).outcomes().shouldBeEmpty()
                dispatch.onRunEnd(placer.placed[1].key, RunEnd.DONE, "w", 61).outcomes() shouldBe listOf(JobOutcome.Completed)
            }

            it("starts the tasks of a step only after the steps before it are done") {
                val steps = listOf(JobStep(1, TASK_DEMAND, 60), JobStep(1, TASK_DEMAND, 60, after = listOf(0)))
                val dispatch = Dispatch(ORIGIN)
                val placer = FakePlacer(2)
                dispatch.submit(submission(FleetJob("a", "", steps)), CORES, 0, placer)
                placer.placed shouldHaveSize 1
                dispatch.onRunEnd(placer.placed[0].key, RunEnd.DONE, "w", 60)
                dispatch.schedule(61, placer)
                placer.placed.map { it.task.step } shouldBe listOf(0, 1)
            }

            // A VM that has handed its cells over gets no jobs, and makes no scheduling pass that would forget the runs.
            it("is not open any more once its runs have been stopped, also if the VM has no other job") {
                val dispatch = Dispatch(ORIGIN)
                val placer = FakePlacer(1)
                val submission = submission(job("a", tasks = 1))
                dispatch.submit(submission, CORES, 0, placer)
                dispatch.cancel(submission.attempt, 10)
                dispatch.openJobs(11) { true } shouldBe setOf("a")
                dispatch.onRunEnd(placer.placed[0].key, RunEnd.LOST, "w", 20)
                dispatch.openJobs(21) { true }.shouldBeEmpty()
            }

            // A waiting task would not be placed when another VM reports free capacity.
            it("has waiting tasks while one of them has no run, whatever the reason") {
                val dispatch = Dispatch(ORIGIN)
                val placer = FakePlacer(1)
                dispatch.submit(submission(job("a", tasks = 2)), CORES, 0, placer)
                dispatch.hasWaitingTasks shouldBe true
                placer.free = 1
                dispatch.schedule(1, placer)
                dispatch.hasWaitingTasks shouldBe false
                dispatch.onRunEnd(placer.placed[0].key, RunEnd.NOT_STARTED, "", 10)
                placer.free = 1
                dispatch.schedule(10, placer)
                dispatch.hasWaitingTasks shouldBe true
                dispatch.schedule(15, placer)
                dispatch.hasWaitingTasks shouldBe false
            }

            it("fails after the permitted number of failed runs, and lost runs do not count") {
                val dispatch = Dispatch(ORIGIN)
                val placer = FakePlacer(3)
                dispatch.submit(submission(job("a")), CORES, 0, placer)
                dispatch.onRunEnd(placer.placed[0].key, RunEnd.LOST, "w", 10).outcomes().shouldBeEmpty()
                dispatch.schedule(11, placer)
                dispatch.onRunEnd(placer.placed[1].key, RunEnd.FAILED, "w", 20).outcomes().shouldBeEmpty()
                dispatch.schedule(21, placer)
                dispatch.onRunEnd(placer.placed[2].key, RunEnd.FAILED, "w", 30).outcomes() shouldBe listOf(JobOutcome.Failed)
                placer.placed.map { it.run.run } shouldBe listOf(1, 2, 3)
            }

            it("that is submitted twice is run once") {
                val dispatch = Dispatch(ORIGIN)
                val placer = FakePlacer(5)
                dispatch.submit(submission(job("a")), CORES, 0, placer)
                dispatch.submit(submission(job("a")), CORES, 5, placer).shouldBeEmpty()
                placer.placed shouldHaveSize 1
            }
        }

        describe("a refusal") {
            // Guards against a job that is held until its deadline and then reported as started, although its only run was refused.
            it("reports 'not run' for a job whose runs are all known never to have started") {
                val dispatch = Dispatch(ORIGIN)
                val placer = FakePlacer(1)
                dispatch.submit(submission(job("a")), CORES, 0, placer)
                dispatch.onRunEnd(placer.placed.single().key, RunEnd.NOT_STARTED, "", 20).outcomes().shouldBeEmpty()
                dispatch.schedule(200, placer).outcomes().single().shouldBeInstanceOf<JobOutcome.NotRun>()
            }

            it("does not report 'not run' while a run may still be started, nor after one that was lost") {
                val dispatch = Dispatch(ORIGIN)
                val placer = FakePlacer(2)
                dispatch.submit(submission(job("a", tasks = 2)), CORES, 0, placer)
                dispatch.onRunEnd(placer.placed[0].key, RunEnd.NOT_STARTED, "", 20)
                dispatch.schedule(200, placer).outcomes().shouldBeEmpty()
                dispatch.onRunEnd(placer.placed[1].key, RunEnd.LOST, "w", 210)
                dispatch.schedule(220, placer).outcomes().shouldBeEmpty()
                dispatch.cancelAll("paused", 230).outcomes().single().shouldBeInstanceOf<JobOutcome.GivenUp>()
            }

            it("reports 'not run' only for a job of which no task was started") {
                val dispatch = Dispatch(ORIGIN)
                val placer = FakePlacer(1)
                dispatch.submit(submission(job("a", tasks = 2)), CORES, 0, placer)
                dispatch.schedule(1_600, placer).outcomes().single().shouldBeInstanceOf<JobOutcome.GivenUp>()
            }

            it("is returned as soon as the job cannot be on time, not at its deadline") {
                val dispatch = Dispatch(ORIGIN)
                val placer = FakePlacer(0)
                dispatch.submit(submission(job("a")), CORES, 0, placer).outcomes().shouldBeEmpty()
                dispatch.schedule(200, placer).outcomes().single().shouldBeInstanceOf<JobOutcome.NotRun>()
            }

            it("is returned while the client has time to submit again, even if the job could still end late") {
                val dispatch = Dispatch(ORIGIN)
                val placer = FakePlacer(0)
                dispatch.submit(submission(job("long", estimateMs = 900)), CORES, 0, placer)
                dispatch.schedule(599, placer).outcomes().shouldBeEmpty()
                dispatch.schedule(600, placer).outcomes().single().shouldBeInstanceOf<JobOutcome.NotRun>()
            }

            it("is returned at once if the more urgent work already fills the time, and says when to submit again") {
                val dispatch = Dispatch(ORIGIN)
                dispatch.submit(submission(job("ahead", tasks = 16)), CORES, 0, FakePlacer(0)).outcomes().shouldBeEmpty()
                val outcome = dispatch.submit(submission(job("a")), CORES, 0, FakePlacer(0)).outcomes().single()
                // 16 tasks of 7 cores for 60 ms wait for 32 cores.
                outcome.shouldBeInstanceOf<JobOutcome.NotRun>().retryAfterMs shouldBe retryAfterMs("a", 210.0, spreadMs = 1_000)
            }

            it("is not returned at once if the job would have to wait for a shorter time at another owner") {
                fun submitted(otherWaitMs: Double?) = Dispatch(ORIGIN).let { dispatch ->
                    dispatch.submit(submission(job("ahead", tasks = 16)), CORES, 0, FakePlacer(0))
                    dispatch.submit(submission(job("a")), CORES, 0, FakePlacer(0, otherWaitMs)).outcomes()
                }
                submitted(otherWaitMs = 100.0).shouldBeEmpty()
                submitted(otherWaitMs = 200.0).single().shouldBeInstanceOf<JobOutcome.NotRun>()
                submitted(otherWaitMs = null).single().shouldBeInstanceOf<JobOutcome.NotRun>()
            }

            // Guards against jobs that are accepted because only the VM's own jobs are counted, and refused when it is too late.
            it("is returned at once if the waiting runs of other VMs fill the time, with a time from their work") {
                val waiting = WaitingRuns()
                val dispatch = Dispatch(ORIGIN, waitingRuns = waiting)
                repeat(16) { waiting.add(order(index = it, origin = "vm-2").copy(latestStartAt = 1_000)) }
                val outcome = dispatch.submit(submission(job("a")), CORES, 0, FakePlacer(0)).outcomes().single()
                outcome.shouldBeInstanceOf<JobOutcome.NotRun>().retryAfterMs shouldBe retryAfterMs("a", 210.0, spreadMs = 1_000)
            }

            // Guards against urgent jobs that are refused because of long ones, which they will be placed before.
            it("is not returned because of less urgent work, however long that is") {
                val dispatch = Dispatch(ORIGIN)
                repeat(8) {
                    dispatch.submit(submission(job("long$it", estimateMs = 900), queue(priority = 2)), CORES, 0, FakePlacer(0))
                }
                val late = Submission(job("a"), queue(priority = 0), ORIGIN, arrivedAt = 600, deadlineAt = 2_100)
                dispatch.submit(late, CORES / 4, 590, FakePlacer(0)).outcomes().filter { it is JobOutcome.NotRun }.shouldBeEmpty()
                dispatch.hasJob("a") shouldBe true
            }

            it("is not returned while another VM is taking a cell over: the job waits for a usable worker") {
                val dispatch = Dispatch(ORIGIN)
                dispatch.submit(submission(job("a")), 0.0, 0, FakePlacer(0)).outcomes().shouldBeEmpty()
                val placer = FakePlacer(1)
                dispatch.schedule(50, placer)
                placer.placed shouldHaveSize 1
            }
        }

        describe("the loss of a VM") {
            it("stops the runs of its clients' jobs, so that they do not overlap with those of a repeated submission") {
                val dispatch = Dispatch(ORIGIN)
                val placer = FakePlacer(2)
                dispatch.submit(submission(job("a", tasks = 2), entryVm = "vm-2"), CORES, 0, placer)
                dispatch.cancelFrom("vm-2", now = 10).filterIsInstance<DispatchEvent.StopRun>() shouldHaveSize 2
                dispatch.size() shouldBe 0
            }

            it("keeps the task of a remote run from being started again before that run has certainly ended") {
                val dispatch = Dispatch(ORIGIN)
                val placed = mutableListOf<RunOrder>()
                val placer = RunPlacer { order -> RunLocation.Remote("vm-2").also { placed += order } }
                val long = Submission(job("a"), queue(), ORIGIN, arrivedAt = 0, deadlineAt = 5_000)
                dispatch.submit(long, CORES, 0, placer)
                dispatch.onRunEnd(placed.single().key, RunEnd.LOST, avoid = null, now = 100)
                dispatch.schedule(1_500, placer)
                placed shouldHaveSize 1
                dispatch.schedule(2_200, placer)
                placed shouldHaveSize 2
            }
        }

        describe("the announced backlog") {
            it("is the waiting work of this VM and of others by pool and priority, and empty while nothing waits") {
                val waiting = WaitingRuns()
                val dispatch = Dispatch(ORIGIN, waitingRuns = waiting)
                val placer = FakePlacer(1)
                dispatch.submit(submission(job("a")), CORES, 0, placer)
                dispatch.backlog() shouldBe emptyMap()
                dispatch.submit(submission(job("b", tasks = 2, estimateMs = 1_000), queue(priority = 1)), CORES, 0, placer)
                waiting.add(order(origin = "vm-2", estimateMs = 1_000).copy(priority = 3))
                dispatch.backlog() shouldBe mapOf(POOL to listOf(0L, 14_000L, 0L, 7_000L))
            }
        }

        describe("a task that fits nowhere") {
            it("may wait at another VM, with the work that is placed here before it") {
                val ahead = mutableListOf<Long>()
                val placer = object : RunPlacer {
                    override fun place(order: RunOrder): RunLocation? = null

                    override fun placeToWait(order: RunOrder, aheadCoreMs: Long): RunLocation? {
                        ahead += aheadCoreMs
                        return if (order.task.jobId == "b") RunLocation.Remote("vm-2") else null
                    }
                }
                val waiting = WaitingRuns()
                val dispatch = Dispatch(ORIGIN, waitingRuns = waiting)
                dispatch.submit(submission(job("a", tasks = 2, estimateMs = 1_000)), CORES, 0, placer)
                waiting.add(order(origin = "vm-2", estimateMs = 1_000).copy(latestStartAt = 5_000))
                ahead.clear()
                dispatch.submit(submission(job("b", tasks = 2, estimateMs = 1_000), queue(priority = 1)), 1_000.0, 0, placer)
                // The run of the other VM and the other task of a; then also both tasks of a and the other one of b; then without that one.
                ahead shouldBe listOf(14_000L, 28_000L, 21_000L)
                dispatch.hasWaitingTasks shouldBe true
                dispatch.cancel(submission(job("b")).attempt, 1).filterIsInstance<DispatchEvent.StopRun>() shouldHaveSize 2
            }
        }

        describe("urgent work") {
            it("is placed before work of a lower priority that was submitted first") {
                val dispatch = Dispatch(ORIGIN)
                val placer = FakePlacer(0)
                dispatch.submit(submission(job("slow"), queue(priority = 2)), CORES, 0, placer)
                dispatch.submit(submission(job("quick"), queue(priority = 0)), CORES, 1, placer)
                placer.free = 1
                dispatch.schedule(2, placer)
                placer.placed.single().task.jobId shouldBe "quick"
            }
        }
    })
