/*
 * Guards against remote runs, which cost messages, for runs that an own worker can take as well, against runs outside their rack although
 * another VM has a free worker in it, and against runs that are sent elsewhere although they should wait for their rack.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.CandidateWorker
import dandelionpoint.coordination.fleet.Dispatch
import dandelionpoint.coordination.fleet.POOL
import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.Submission
import dandelionpoint.protocol.SchedulerClock
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.FreeCapacity
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.peer.labelCode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest

private val OTHER = VmIdentity("other", "incarnation-other", "north", "ham-a", "127.0.0.1", 1)
private val QUEUE = JobQueue("lookups", POOL, stretch = 1.6, latencyTargetMs = 60)
private const val RACK = "rack-1"

/** Own workers of which [best] is the best one; a run waits for its rack until [waitsUntilMs]. */
private class OwnWorkers(private val best: CandidateWorker?, private val waitsUntilMs: Long, private val nowMs: () -> Long) : FleetView {
    var placed = 0

    override fun place(order: RunOrder, avoidsWorker: Boolean, accepts: (CandidateWorker) -> Boolean): String? =
        if (best != null && placed == 0 && accepts(best)) "akl-a/00".also { placed++ } else null

    override fun waitsForRack(order: RunOrder, elsewhereMs: Long): Boolean = order.rack != null && nowMs() < waitsUntilMs

    override fun cores(pool: String) = 16

    override fun isLive(vm: VmIdentity) = true

    override fun demandAgeMs(incarnation: String): Long? = 0

    override fun hasTask(task: TaskRef) = false

    override fun stopRun(key: RunKey) = Unit
}

private class RequestCounter : PeerLink {
    var requests = 0

    override suspend fun call(to: VmIdentity, message: PeerMessage, timeoutMs: Long): PeerReply {
        if (message is RemoteRunRequest) requests++
        awaitCancellation()
    }

    override fun send(to: VmIdentity, message: PeerMessage) = Unit
}

/** Numbers of own runs and of requests for remote runs after [afterMs]. The other VM has announced a worker with [remoteLabel]. */
private fun outcome(
    own: CandidateWorker?,
    rack: String? = null,
    remoteLabel: String = "rack-2",
    waitsUntilMs: Long = 0,
    afterMs: Long = 10,
): Pair<Int, Int> {
    var result = 0 to 0
    runTest {
        val scope = CoroutineScope(coroutineContext + SupervisorJob())
        val clock = SchedulerClock(this)
        val link = RequestCounter()
        val view = OwnWorkers(own, waitsUntilMs) { testScheduler.currentTime }
        val announced = listOf(FreeCapacity(Demand(16_000), 1f, listOf(labelCode(remoteLabel))))
        val remote = RemoteCapacity("akl-a").apply { update(OTHER, FleetHeartbeat(freeCapacity = mapOf(POOL to announced))) }
        val runner = JobRunner(scope, Dispatch("incarnation-self"), remote, link, view, clock).also { it.start() }
        val job = FleetJob("0000000000000001", "", listOf(JobStep(1, Demand(1_000), 100, rack = rack)))
        scope.launch { runner.run(Submission(job, QUEUE, "incarnation-self", 0, 1_500, number = 1)) }
        scope.launch {
            while (true) {
                delay(50)
                runner.tick()
            }
        }
        delay(afterMs)
        result = view.placed to link.requests
        scope.cancel()
    }
    return result
}

internal class PlacementTest :
    DescribeSpec({
        it("a run that an own worker can take is not requested from another VM") {
            outcome(CandidateWorker("own", expectedMs = 143, leftMilli = 0)) shouldBe (1 to 0)
        }

        it("a run without an own worker is requested from another VM") {
            outcome(own = null) shouldBe (0 to 1)
        }

        describe("a run with only an own worker outside its rack") {
            val outside = CandidateWorker("own", expectedMs = 200, leftMilli = 0, isInRack = false)

            it("is requested at once from the VM that has announced a worker in the rack") {
                outcome(outside, RACK, remoteLabel = RACK) shouldBe (0 to 1)
            }

            it("is started there if no other VM has one") {
                outcome(outside, RACK) shouldBe (1 to 0)
            }

            it("waits for the rack as long as that is better, and is started in the next scheduling pass after that") {
                outcome(outside, RACK, waitsUntilMs = 60, afterMs = 55) shouldBe (0 to 0)
                outcome(outside, RACK, waitsUntilMs = 60, afterMs = 105) shouldBe (1 to 0)
            }

            it("does not wait if another VM has a worker in the rack") {
                outcome(outside, RACK, remoteLabel = RACK, waitsUntilMs = 60) shouldBe (0 to 1)
            }
        }

        it("a run without any own worker waits for its rack rather than run outside it at another VM") {
            outcome(own = null, RACK, waitsUntilMs = 60, afterMs = 55) shouldBe (0 to 0)
            outcome(own = null, RACK, waitsUntilMs = 60, afterMs = 105) shouldBe (0 to 1)
        }
    })
