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

/** Rooms for [free] runs; records what was placed. */
private class FakeRooms(var free: Int) : RoomFinder {
    val placed = mutableListOf<RunOrder>()

    override fun place(order: RunOrder): RunPlace? {
        if (free == 0) return null
        free--
        placed += order
        return RunPlace.Local("akl-a")
    }
}

private const val CORES = 32.0

private fun submission(job: FleetJob, queue: JobQueue = queue(), now: Long = 0, entryVm: String = ORIGIN) =
    Submission(job, queue, entryVm, arrivedAt = now, deadlineAt = now + 1_500)

private fun List<DispatchEvent>.outcomes() = filterIsInstance<DispatchEvent.Finished>().map { it.outcome }

internal class DispatchTest :
    DescribeSpec({
        describe("a job") {
            it("completes when all of its tasks are done, not earlier") {
                val dispatch = Dispatch(ORIGIN)
                val rooms = FakeRooms(2)
                dispatch.submit(submission(job("a", tasks = 2)), CORES, 0, rooms).outcomes().shouldBeEmpty()
                dispatch.onRunEnd(rooms.placed[0].run, RunEnd.DONE, "w", 60).outcomes().shouldBeEmpty()
                dispatch.onRunEnd(rooms.placed[1].run, RunEnd.DONE, "w", 61).outcomes() shouldBe listOf(JobOutcome.Completed)
            }

            it("starts the tasks of a step only after the steps before it are done") {
                val steps = listOf(JobStep(1, TASK_DEMAND, 60), JobStep(1, TASK_DEMAND, 60, after = listOf(0)))
                val dispatch = Dispatch(ORIGIN)
                val rooms = FakeRooms(2)
                dispatch.submit(submission(FleetJob("a", "", steps)), CORES, 0, rooms)
                rooms.placed shouldHaveSize 1
                dispatch.onRunEnd(rooms.placed[0].run, RunEnd.DONE, "w", 60)
                dispatch.schedule(61, rooms)
                rooms.placed.map { it.task.step } shouldBe listOf(0, 1)
            }

            it("fails after the allowed number of failed runs, and lost runs do not count") {
                val dispatch = Dispatch(ORIGIN)
                val rooms = FakeRooms(3)
                dispatch.submit(submission(job("a")), CORES, 0, rooms)
                dispatch.onRunEnd(rooms.placed[0].run, RunEnd.LOST, "w", 10).outcomes().shouldBeEmpty()
                dispatch.schedule(11, rooms)
                dispatch.onRunEnd(rooms.placed[1].run, RunEnd.FAILED, "w", 20).outcomes().shouldBeEmpty()
                dispatch.schedule(21, rooms)
                dispatch.onRunEnd(rooms.placed[2].run, RunEnd.FAILED, "w", 30).outcomes() shouldBe listOf(JobOutcome.Failed)
                rooms.placed.map { it.run.run } shouldBe listOf(1, 2, 3)
            }

            it("that comes twice is run once") {
                val dispatch = Dispatch(ORIGIN)
                val rooms = FakeRooms(5)
                dispatch.submit(submission(job("a")), CORES, 0, rooms)
                dispatch.submit(submission(job("a")), CORES, 5, rooms).shouldBeEmpty()
                rooms.placed shouldHaveSize 1
            }
        }

        describe("a refusal") {
            it("says 'not run' only of a job of which nothing was started") {
                val dispatch = Dispatch(ORIGIN)
                val rooms = FakeRooms(1)
                dispatch.submit(submission(job("a", tasks = 2)), CORES, 0, rooms)
                dispatch.schedule(1_600, rooms).outcomes().single().shouldBeInstanceOf<JobOutcome.GivenUp>()
            }

            it("comes as soon as the job cannot be on time, not at its deadline") {
                val dispatch = Dispatch(ORIGIN)
                val rooms = FakeRooms(0)
                dispatch.submit(submission(job("a")), CORES, 0, rooms).outcomes().shouldBeEmpty()
                dispatch.schedule(200, rooms).outcomes().single().shouldBeInstanceOf<JobOutcome.NotRun>()
            }

            it("comes while the client has time to come again, also if the job could still end late") {
                val dispatch = Dispatch(ORIGIN)
                val rooms = FakeRooms(0)
                dispatch.submit(submission(job("long", estimateMs = 900)), CORES, 0, rooms)
                dispatch.schedule(599, rooms).outcomes().shouldBeEmpty()
                dispatch.schedule(600, rooms).outcomes().single().shouldBeInstanceOf<JobOutcome.NotRun>()
            }

            it("comes at once when the work ahead already fills the time, and says when to come back") {
                val dispatch = Dispatch(ORIGIN)
                dispatch.submit(submission(job("ahead", tasks = 16)), CORES, 0, FakeRooms(0)).outcomes().shouldBeEmpty()
                val outcome = dispatch.submit(submission(job("a")), CORES, 0, FakeRooms(0)).outcomes().single()
                outcome.shouldBeInstanceOf<JobOutcome.NotRun>().retryAfterMs shouldBe DispatchRules().retryAfterMs
            }

            it("does not come while a keeper is just taking over: the job waits for a usable worker") {
                val dispatch = Dispatch(ORIGIN)
                dispatch.submit(submission(job("a")), 0.0, 0, FakeRooms(0)).outcomes().shouldBeEmpty()
                val rooms = FakeRooms(1)
                dispatch.schedule(50, rooms)
                rooms.placed shouldHaveSize 1
            }
        }

        describe("the loss of a VM") {
            it("stops the runs of its clients' jobs, so that a repeated submission elsewhere does not run beside them") {
                val dispatch = Dispatch(ORIGIN)
                val rooms = FakeRooms(2)
                dispatch.submit(submission(job("a", tasks = 2), entryVm = "vm-2"), CORES, 0, rooms)
                dispatch.cancelFrom("vm-2").filterIsInstance<DispatchEvent.StopRun>() shouldHaveSize 2
                dispatch.size() shouldBe 0
            }

            it("keeps a lent run from being started again before it has certainly ended") {
                val dispatch = Dispatch(ORIGIN)
                val placed = mutableListOf<RunOrder>()
                val rooms = RoomFinder { order -> RunPlace.Remote("vm-2", "ham-a").also { placed += order } }
                val long = Submission(job("a"), queue(), ORIGIN, arrivedAt = 0, deadlineAt = 5_000)
                dispatch.submit(long, CORES, 0, rooms)
                dispatch.onRunEnd(placed.single().run, RunEnd.LOST, avoid = null, now = 100)
                dispatch.schedule(1_500, rooms)
                placed shouldHaveSize 1
                dispatch.schedule(2_200, rooms)
                placed shouldHaveSize 2
            }
        }

        describe("urgent work") {
            it("goes before work of a lower priority that came first") {
                val dispatch = Dispatch(ORIGIN)
                val rooms = FakeRooms(0)
                dispatch.submit(submission(job("slow"), queue(priority = 2)), CORES, 0, rooms)
                dispatch.submit(submission(job("quick"), queue(priority = 0)), CORES, 1, rooms)
                rooms.free = 1
                dispatch.schedule(2, rooms)
                rooms.placed.single().task.jobId shouldBe "quick"
            }
        }
    })
