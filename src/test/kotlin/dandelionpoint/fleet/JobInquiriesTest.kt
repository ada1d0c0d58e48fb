/*
 * Guards against a cancellation that is acknowledged although the job goes on, and a job that is reported as unknown although it is in
 * progress, because the VM that dispatches it was not asked or did not answer.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.CandidateWorker
import dandelionpoint.coordination.fleet.Dispatch
import dandelionpoint.coordination.fleet.DispatchRoute
import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.Submission
import dandelionpoint.protocol.SchedulerClock
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.CancelAnswer
import dandelionpoint.protocol.peer.InquiryAnswer
import dandelionpoint.protocol.peer.JobInquiry
import dandelionpoint.protocol.peer.JobOffer
import dandelionpoint.protocol.peer.JobPresence
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest

private fun vm(name: String, dataCentre: String = "akl-a") = VmIdentity(name, "incarnation-$name", "north", dataCentre, "127.0.0.1", 1)

private const val STARTED_MS = 3_000L
private val SELF = vm("self")
private val OWNER = vm("owner")
private val FAR = vm("far", "ham-a")
private val FAR_OWNER = vm("far-owner", "ham-a")
private val JOB = FleetJob("0000000000000001", "", listOf(JobStep(1, Demand(1_000), 60)))
private val QUEUE = JobQueue("lookups", "pool", stretch = 1.6, latencyTargetMs = 60)
private val LOST = PeerReply.Lost("connection closed")

private fun answered(presence: JobPresence, redirect: VmIdentity? = null) = PeerReply.Answered(InquiryAnswer(presence, redirect))

private val NONE = answered(JobPresence.NONE)
private val FOUND = answered(JobPresence.FOUND)

private object NoWorkers : FleetView {
    override fun place(order: RunOrder, avoidsWorker: Boolean, accepts: (CandidateWorker) -> Boolean): String? = null

    override fun cores(pool: String) = 0

    override fun isLive(vm: VmIdentity) = true

    override fun demandAgeMs(incarnation: String): Long? = 0

    override fun hasTask(task: TaskRef) = false

    override fun stopRun(key: RunKey) = Unit
}

/** A VM of which [route] is the route of the job. [reply] answers the inquiries by the VM asked, with their number there, from 1. */
private class AskingVm(
    test: TestScope,
    private val route: DispatchRoute = DispatchRoute.At(OWNER),
    private val elsewhere: List<VmIdentity> = listOf(FAR),
    private val reply: (VmIdentity, Int) -> PeerReply,
) : PeerLink,
    InquiryHost {
    private val scope = CoroutineScope(test.coroutineContext + SupervisorJob())
    private val clock = SchedulerClock(test)
    val asked = mutableListOf<VmIdentity>()
    val runner = JobRunner(scope, Dispatch(SELF.incarnation), RemoteCapacity(), this, NoWorkers, clock).also { it.start() }
    private val forwarder = JobForwarder(scope, { SELF }, runner, this, { true }, { route }, clock)
    val inquiries = JobInquiries(runner, forwarder, this, this, clock)
    override val self = SELF

    override fun routeOf(jobId: String) = if (runner.hasJob(jobId)) DispatchRoute.Here else route

    override fun vmsElsewhere(): Collection<List<VmIdentity>> = elsewhere.groupBy { it.dataCentre }.values

    override suspend fun call(to: VmIdentity, message: PeerMessage, timeoutMs: Long): PeerReply {
        delay(1)
        if (message is JobOffer) awaitCancellation()
        if (message !is JobInquiry) return PeerReply.Answered(CancelAnswer)
        asked += to
        return reply(to, asked.count { it == to })
    }

    override fun send(to: VmIdentity, message: PeerMessage) = Unit

    /** Submits the job to this VM. */
    suspend fun submit() {
        scope.launch { forwarder.run(JOB, QUEUE, waitMs = 5_000) }
        delay(10)
    }

    /** Another VM has offered the job, which this VM dispatches. */
    suspend fun accept() {
        scope.launch { runner.run(submissionOf(clock.millis())) }
        delay(10)
    }

    /** Runs [block] some time after the start of this VM, when it knows all data centres. */
    suspend fun use(block: suspend AskingVm.() -> Unit) = try {
        delay(STARTED_MS)
        block()
    } finally {
        scope.cancel()
    }
}

private fun submissionOf(arrivedAt: Long) = Submission(JOB, QUEUE, OWNER.incarnation, arrivedAt, arrivedAt + 5_000, number = arrivedAt)

internal class JobInquiriesTest :
    DescribeSpec({
        describe("a cancellation at a VM without the submission") {
            it("is accepted once the owner of the job's cell has accepted it, which costs one message") {
                runTest {
                    AskingVm(this) { _, _ -> FOUND }.use {
                        inquiries.cancel(JOB.id) shouldBe JobPresence.FOUND
                        asked shouldBe listOf(OWNER)
                    }
                }
            }

            it("ends the job if this VM dispatches it for another one") {
                runTest {
                    AskingVm(this, DispatchRoute.Here) { _, _ -> NONE }.use {
                        accept()
                        inquiries.cancel(JOB.id) shouldBe JobPresence.FOUND
                        runner.hasJob(JOB.id) shouldBe false
                        asked shouldHaveSize 0
                    }
                }
            }

            it("is followed to the former owner of the cell and to the owner in another data centre") {
                runTest {
                    val former = vm("former")
                    AskingVm(this) { to, _ -> if (to == OWNER) answered(JobPresence.UNKNOWN, former) else FOUND }.use {
                        inquiries.cancel(JOB.id) shouldBe JobPresence.FOUND
                        asked shouldBe listOf(OWNER, former)
                    }
                    val replies = mapOf(OWNER to NONE, FAR to answered(JobPresence.UNKNOWN, FAR_OWNER), FAR_OWNER to FOUND)
                    AskingVm(this) { to, _ -> replies.getValue(to) }.use {
                        inquiries.cancel(JOB.id) shouldBe JobPresence.FOUND
                        asked shouldBe listOf(OWNER, FAR, FAR_OWNER)
                    }
                }
            }

            it("is refused as that of an unknown job only if all data centres have said so") {
                runTest {
                    AskingVm(this) { _, _ -> NONE }.use { inquiries.cancel(JOB.id) shouldBe JobPresence.NONE }
                    AskingVm(this) { to, _ ->
                        if (to ==
                            OWNER
                        ) {
                            NONE
                        } else {
                            LOST
                        }
                    }.use { inquiries.cancel(JOB.id) shouldBe JobPresence.UNKNOWN }
                    AskingVm(this) { to, _ ->
                        if (to ==
                            OWNER
                        ) {
                            LOST
                        } else {
                            NONE
                        }
                    }.use { inquiries.cancel(JOB.id) shouldBe JobPresence.UNKNOWN }
                    AskingVm(this, DispatchRoute.Undecided) { _, _ -> NONE }.use { inquiries.cancel(JOB.id) shouldBe JobPresence.UNKNOWN }
                }
            }

            it("is not refused as that of an unknown job while a data centre may have a VM that this VM does not know") {
                runTest {
                    AskingVm(this, elsewhere = emptyList()) { _, _ -> NONE }.use {
                        inquiries.cancel(JOB.id) shouldBe JobPresence.NONE
                        inquiries.peerLost(FAR)
                        inquiries.cancel(JOB.id) shouldBe JobPresence.UNKNOWN
                        delay(31_000)
                        inquiries.cancel(JOB.id) shouldBe JobPresence.NONE
                    }
                    val justStarted = AskingVm(this, elsewhere = emptyList()) { _, _ -> NONE }
                    justStarted.inquiries.cancel(JOB.id) shouldBe JobPresence.UNKNOWN
                    justStarted.use { }
                }
            }

            it("is sent again if its answer was lost, or the dispatching VM was not decided yet") {
                runTest {
                    AskingVm(this) { _, number ->
                        if (number <
                            3
                        ) {
                            LOST
                        } else {
                            FOUND
                        }
                    }.use { inquiries.cancel(JOB.id) shouldBe JobPresence.FOUND }
                    AskingVm(this) { _, number -> if (number < 3) answered(JobPresence.UNKNOWN) else FOUND }.use {
                        inquiries.cancel(JOB.id) shouldBe JobPresence.FOUND
                    }
                }
            }

            it("costs a limited number of messages and time if VMs name each other in a circle") {
                runTest {
                    AskingVm(this) { to, _ -> answered(JobPresence.UNKNOWN, if (to == OWNER) FAR else OWNER) }.use {
                        val begin = testScheduler.currentTime
                        inquiries.cancel(JOB.id) shouldBe JobPresence.UNKNOWN
                        asked.size shouldBeLessThanOrEqual 24
                        testScheduler.currentTime - begin shouldBeLessThanOrEqual 1_600L
                    }
                }
            }
        }

        describe("a cancellation at the VM with the submission") {
            it("is accepted only once the dispatching VM has answered") {
                runTest {
                    AskingVm(this) { _, _ -> FOUND }.use {
                        submit()
                        inquiries.cancel(JOB.id) shouldBe JobPresence.FOUND
                        asked shouldBe listOf(OWNER)
                    }
                    AskingVm(this) { _, _ -> LOST }.use {
                        submit()
                        inquiries.cancel(JOB.id) shouldBe JobPresence.UNKNOWN
                    }
                }
            }

            // The cancellation of the submission arrives before the inquiry.
            it("is accepted if the dispatching VM has already ended the job") {
                runTest {
                    AskingVm(this) { _, _ -> NONE }.use {
                        submit()
                        inquiries.cancel(JOB.id) shouldBe JobPresence.FOUND
                    }
                }
            }
        }

        describe("a submission of a cancelled job") {
            it("that arrived before the cancellation starts nothing when it is offered later; a later one is accepted") {
                runTest {
                    AskingVm(this, DispatchRoute.Here, elsewhere = emptyList()) { _, _ -> NONE }.use {
                        delay(100)
                        inquiries.cancel(JOB.id) shouldBe JobPresence.NONE
                        runner.run(submissionOf(arrivedAt = STARTED_MS + 50)).shouldBeInstanceOf<JobOutcome.GivenUp>()
                        delay(100)
                        accept()
                        runner.hasJob(JOB.id) shouldBe true
                    }
                }
            }
        }

        describe("a question for a job") {
            it("is answered by the dispatching VM, and ends nothing") {
                runTest {
                    AskingVm(this, DispatchRoute.Here) { _, _ -> NONE }.use {
                        accept()
                        inquiries.find(JOB.id) shouldBe JobPresence.FOUND
                        runner.hasJob(JOB.id) shouldBe true
                    }
                    AskingVm(this) { _, _ -> FOUND }.use { inquiries.find(JOB.id) shouldBe JobPresence.FOUND }
                    AskingVm(this) { _, _ -> NONE }.use { inquiries.find(JOB.id) shouldBe JobPresence.NONE }
                }
            }
        }
    })
