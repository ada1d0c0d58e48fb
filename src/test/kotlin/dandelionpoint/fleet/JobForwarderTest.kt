package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.CandidateWorker
import dandelionpoint.coordination.fleet.Dispatch
import dandelionpoint.coordination.fleet.DispatchRoute
import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.peer.JobAnswer
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers

private fun vm(name: String) = VmIdentity(name, "incarnation-$name", "north", "akl-a", "127.0.0.1", 1)

private val NOT_RUN = JobOutcome.NotRun("no free capacity in time", 1_000)
private val JOB = FleetJob("0000000000000001", "", listOf(JobStep(1, Demand(1_000), 60)))
private val QUEUE = JobQueue("lookups", "pool", stretch = 1.6, latencyTargetMs = 60)

/** Answers each call with the next of [replies]. */
private class ScriptedLink(private val replies: MutableList<PeerReply>) : PeerLink {
    override suspend fun call(to: VmIdentity, message: PeerMessage, timeoutMs: Long): PeerReply = replies.removeFirst()

    override fun send(to: VmIdentity, message: PeerMessage) = Unit
}

private object NoFleet : FleetView {
    override fun place(order: RunOrder, avoidsWorker: Boolean, accepts: (CandidateWorker) -> Boolean): String? = null

    override fun cores(pool: String) = 0

    override fun isLive(vm: VmIdentity) = true

    override fun demandAgeMs(incarnation: String): Long? = 0

    override fun hasTask(task: TaskRef) = false

    override fun stopRun(key: RunKey) = Unit
}

private suspend fun outcome(vararg replies: PeerReply): JobOutcome {
    val link = ScriptedLink(replies.toMutableList())
    val scope = CoroutineScope(Dispatchers.Default)
    val runner = JobRunner(scope, Dispatch("incarnation-self"), RemoteCapacity(), link, NoFleet).also {
        it.start()
    }
    val forwarder = JobForwarder(scope, { vm("self") }, runner, link, { true }, { DispatchRoute.At(vm("owner")) })
    return forwarder.run(JOB, QUEUE, waitMs = 1_500)
}

/**
 * Guards against a client that is told that its job was not run although it may have been. This happens when an offer to the cell owner is
 * lost after it arrived, and the repeated offer is refused.
 */
internal class JobForwarderTest :
    DescribeSpec({
        describe("a refusal by the cell owner") {
            it("is returned to the client if no earlier offer was sent") {
                outcome(PeerReply.Answered(JobAnswer(NOT_RUN))) shouldBe NOT_RUN
            }

            it("is not returned as 'not run' if an earlier offer was lost, which may have started the job") {
                val lost = PeerReply.Lost("connection closed")
                outcome(lost, PeerReply.Answered(JobAnswer(NOT_RUN))).shouldBeInstanceOf<JobOutcome.GivenUp>()
                outcome(lost, PeerReply.Answered(JobAnswer())).shouldBeInstanceOf<JobOutcome.GivenUp>()
            }

            it("by a VM that does not dispatch the job makes this VM offer it again, there or at the VM that has it in progress") {
                val elsewhere = PeerReply.Answered(JobAnswer(redirect = vm("former-owner")))
                val done = PeerReply.Answered(JobAnswer(JobOutcome.Completed))
                outcome(PeerReply.Answered(JobAnswer()), done) shouldBe JobOutcome.Completed
                outcome(elsewhere, done) shouldBe JobOutcome.Completed
            }
        }
    })
