package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Dispatch
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.TaskRun
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

private val NOT_RUN = JobOutcome.NotRun("no room in time", 1_000)
private val JOB = FleetJob("0000000000000001", "", listOf(JobStep(1, Demand(1_000), 60)))
private val QUEUE = JobQueue("lookups", "pool", stretch = 1.6, latencyTargetMs = 60)

/** Answers each call with the next of [replies]. */
private class ScriptedLink(private val replies: MutableList<PeerReply>) : PeerLink {
    override suspend fun call(to: VmIdentity, message: PeerMessage, timeoutMs: Long): PeerReply = replies.removeFirst()

    override fun send(to: VmIdentity, message: PeerMessage) = Unit
}

private object NoFleet : FleetView {
    override fun keepers(): Collection<CellKeeper> = emptyList()

    override fun isLive(vm: VmIdentity) = true

    override fun peer(incarnation: String): VmIdentity? = null

    override fun stopRun(run: TaskRun) = Unit
}

private suspend fun outcome(vararg replies: PeerReply): JobOutcome {
    val link = ScriptedLink(replies.toMutableList())
    val runner = JobRunner(CoroutineScope(Dispatchers.Default), Dispatch("incarnation-self"), RemoteRooms(), link, NoFleet).also {
        it.start()
    }
    val desk = JobDesk({ vm("self") }, runner, link, { true }, { vm("keeper") })
    return desk.run(JOB, QUEUE, waitMs = 1_500)
}

internal class JobDeskTest :
    DescribeSpec({
        describe("a refusal by the dispatching VM") {
            it("is passed on when the offer was the only one") {
                outcome(PeerReply.Answered(JobAnswer(NOT_RUN))) shouldBe NOT_RUN
            }

            it("is not passed on as 'not run' after an earlier offer was lost, which may have started the job") {
                val lost = PeerReply.Lost("connection closed")
                outcome(lost, PeerReply.Answered(JobAnswer(NOT_RUN))).shouldBeInstanceOf<JobOutcome.GivenUp>()
                outcome(lost, PeerReply.Answered(JobAnswer())).shouldBeInstanceOf<JobOutcome.GivenUp>()
            }
        }
    })
