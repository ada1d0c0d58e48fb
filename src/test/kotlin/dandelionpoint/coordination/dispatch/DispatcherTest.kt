package dandelionpoint.coordination.dispatch

import dandelionpoint.coordination.admission.ClusterCapacity
import dandelionpoint.coordination.admission.HedgeRule
import dandelionpoint.coordination.admission.JobDemand
import dandelionpoint.coordination.admission.QueueSettings
import dandelionpoint.coordination.admission.RetryBudget
import dandelionpoint.coordination.admission.TeamQueues
import dandelionpoint.coordination.placement.PlacementSettings
import dandelionpoint.coordination.placement.SlotLeasePlacement
import dandelionpoint.coordination.placement.VirtualCluster
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.JobState
import dandelionpoint.protocol.JobSubmission
import dandelionpoint.protocol.SchedulerClock
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.TaskSpec
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.worker.CallOutcome
import dandelionpoint.protocol.worker.WorkerAddress
import dandelionpoint.protocol.worker.WorkerCall
import dandelionpoint.protocol.worker.WorkerClient
import dandelionpoint.state.job.Job
import dandelionpoint.state.queue.QueuedJob
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest

private const val TASK_MS = 50L
private const val DEADLINE_MS = 30_000L
private const val TICK_MS = 2L

/** Workers that each refuse every task once, as a full worker does, and run it after that. */
private class RefusingOnce : WorkerClient {
    private val refused = HashSet<Pair<String, String>>()

    override suspend fun call(worker: WorkerAddress, call: WorkerCall): CallOutcome {
        if (refused.add(worker.id to call.payload)) return CallOutcome.NotStarted("full", unreachable = false)
        delay(TASK_MS)
        return CallOutcome.Answered(call.payload)
    }
}

private fun TestScope.dispatcher(queues: TeamQueues, client: WorkerClient, clock: Clock): Dispatcher {
    val placement = SlotLeasePlacement(PlacementSettings()) { clock.millis() }
    placement.updateWorkers(VirtualCluster.workers(count = 8).map { it.first })
    placement.updatePeers(VirtualCluster.identity(0), emptySet())
    val budgets = CallBudgets(RetryBudget(), HedgeRule(RetryBudget(RetryBudget.HEDGE_SHARE)))
    val dispatcher = Dispatcher(backgroundScope, queues, placement, client, clock, budgets, DispatchObserver.None) {}
    backgroundScope.launch { dispatcher.run() }
    backgroundScope.launch {
        while (isActive) {
            placement.tick()
            dispatcher.signal()
            delay(TICK_MS)
        }
    }
    return dispatcher
}

private fun item(tasks: Int): WorkItem {
    val id = SubmissionId.create(0, 1, 2)
    val submission = JobSubmission(id, "team", List(tasks) { TaskSpec("task-$it", TASK_MS.toInt()) }, DEADLINE_MS.toInt())
    val queued = QueuedJob(id, "team", DEADLINE_MS, tasks, TASK_MS.toDouble())
    return WorkItem(Job(submission, digest = "", receivedMs = 0, deadlineMs = DEADLINE_MS), queued)
}

/**
 * Guards against tasks that wait for their deadline although workers are free. A task avoids a worker that refused it; if that did not end,
 * a task that each worker has refused once could never be placed, and would block the tasks queued behind it.
 */
class DispatcherTest :
    DescribeSpec({
        describe("a task that every worker has refused once") {
            it("is sent to them again, since it and all tasks behind it would otherwise wait for their deadline") {
                runTest {
                    val clock = SchedulerClock(this)
                    val queues = TeamQueues(QueueSettings(), clock).apply { updateTeams(mapOf("team" to 1.0)) }
                    val dispatcher = dispatcher(queues, RefusingOnce(), clock)
                    val item = item(tasks = 20)
                    queues.admit(JobDemand(item.queued), ClusterCapacity(slots = 64)).isRight() shouldBe true
                    dispatcher.submit(item) shouldBe true
                    item.job.done.await().state shouldBe JobState.COMPLETE
                }
            }
        }
    })
