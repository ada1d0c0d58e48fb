package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Cells
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.peer.JobOffer
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.RunAnswer
import dandelionpoint.protocol.peer.RunCancel
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.standin.fleet.InProcessFleet
import dandelionpoint.standin.fleet.MemoryWorkers
import io.kotest.assertions.nondeterministic.continually
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val CELL = "ham-a"
private const val DEADLINE_MS = 4_000L
private const val LONG_RUN_MS = 3_000L

/** Longer than peers wait for a heartbeat. */
private const val LONG_PAUSE_MS = 1_000L

/** Shorter than peers wait for a heartbeat (700 ms), but longer than that with the interval of the heartbeats (150 ms) added. */
private const val UNNOTICED_PAUSE_MS = 620L

/** The VM under test, which owns [CELL], and a peer of which only the network exists. */
private class PausableVm(runMs: Long = LONG_RUN_MS) : AutoCloseable {
    val fleet = InProcessFleet(dataCentres = listOf(CELL), workers = MemoryWorkers(runMs = { runMs }))
    val clock = PausableClock()
    val vm = fleet.vm("vm", CELL, clock)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val peer = NetworkPeer(fleet, dataCentre = "akl-a")
    private lateinit var identity: VmIdentity

    suspend fun start() {
        peer.start()
        vm.start()
        eventually(10.seconds) { vm.ownedCells() shouldBe Cells.of(CELL).toSet() }
        identity = peer.connect("vm")
        // The VM starts no runs for a peer from which it hears nothing.
        peer.sendHeartbeats(identity)
        awaitCapacity()
        awaitRunsOfPeer()
    }

    /** Waits until the VM starts runs for the peer. Without that, a test that expects no start could not fail. */
    private suspend fun awaitRunsOfPeer() {
        var number = PEER_WARM_UP_ID
        eventually(10.seconds) {
            val request = remoteRun(++number)
            call(request)
            eventually(1.seconds) { starts(number) shouldHaveSize 1 }
            call(RunCancel(request.run, request.dispatch)).await()
        }
        eventually(5.seconds) { fleet.workers.starts().all { it.endedAt != null }.shouldBeTrue() }
    }

    /** Waits until the workers accept runs. Repeated because a real pause of this process makes the VM refuse the job. */
    private suspend fun awaitCapacity() {
        var number = WARM_UP_ID
        eventually(10.seconds) {
            val warmUp = ++number
            val end = scope.async { vm.run(job(warmUp), fleet.queue, DEADLINE_MS) }
            eventually(1.seconds) { starts(warmUp) shouldHaveSize 1 }
            vm.cancel(job(warmUp).id)
            end.await()
        }
        eventually(5.seconds) { fleet.workers.starts().all { it.endedAt != null }.shouldBeTrue() }
    }

    fun job(number: Int) = FleetJob("%016x".format(number), "payload", listOf(JobStep(1, Demand(1_000), LONG_RUN_MS)))

    /** Calls the VM, over the present connection or the next one. */
    fun call(message: PeerMessage): Deferred<PeerReply> = peer.call(identity, message, DEADLINE_MS)

    fun offer(number: Int) = JobOffer(job(number), fleet.queue, ageMs = 0, remainingMs = DEADLINE_MS)

    fun remoteRun(number: Int) =
        RemoteRunRequest(TaskRun(TaskRef(job(number).id, 0, 0), 1), "payload", fleet.queue.pool, Demand(1_000), LONG_RUN_MS)

    /** Suspends the VM several times within one interval of its heartbeats, and lets it run for a little more than a tick after each. */
    suspend fun pauseBriefly() = repeat(BRIEF_PAUSES) {
        clock.suspendFor(BRIEF_PAUSE_MS)
        delay(AFTER_BRIEF_PAUSE_MS)
    }

    fun starts(number: Int) = fleet.workers.starts().filter { it.run.task.jobId == job(number).id }

    override fun close() {
        vm.close()
        peer.close()
        scope.cancel()
    }

    private companion object {
        /** Number of the first job that is run to find out if the workers accept runs. */
        const val WARM_UP_ID = 1_000

        /** The same for the first remote run. */
        const val PEER_WARM_UP_ID = 2_000

        /** So many that at least three are between two heartbeats, which are up to 170 ms apart. */
        const val BRIEF_PAUSES = 7

        /** A single pause is noticed from 290 ms on. */
        const val BRIEF_PAUSE_MS = 230L
        const val AFTER_BRIEF_PAUSE_MS = 45L
    }
}

private suspend fun onPausableVm(runMs: Long = LONG_RUN_MS, test: suspend PausableVm.() -> Unit) = PausableVm(runMs).use {
    it.start()
    it.test()
}

/**
 * Guards against two concurrent runs of a task after a pause of a VM. Requests that lay in its sockets meanwhile have been given up by
 * their senders, and the jobs of its peers may have been submitted elsewhere.
 */
internal class FleetVmPauseTest :
    DescribeSpec({
        listOf<Pair<String, PausableClock.(Long) -> Unit>>(
            "frozen" to { freeze(it) },
            "suspended, which the monotonic clock does not count" to { suspendFor(it) },
        ).forEach { (kind, pause) ->
            describe("a VM that was $kind") {
                // A client that has given up submits its job to another VM, where it would run at the same time.
                it("does not start a submission that it reads before the pause has been noticed") {
                    onPausableVm {
                        clock.pause(2 * LONG_PAUSE_MS)
                        vm.run(job(1), fleet.queue, DEADLINE_MS).shouldBeInstanceOf<JobOutcome.NotRun>()
                        starts(1).shouldBeEmpty()
                    }
                }

                // The VM of the client has answered 504 when it declared this VM lost, and the client submits the job again.
                it("does not start a job that a peer has offered before the pause") {
                    onPausableVm {
                        clock.pause(LONG_PAUSE_MS)
                        call(offer(1))
                        continually(500.milliseconds) { starts(1).shouldBeEmpty() }
                    }
                }

                // The dispatching VM has taken the run for lost and starts the task elsewhere.
                it("does not start a remote run that was requested before the pause") {
                    onPausableVm {
                        clock.pause(LONG_PAUSE_MS)
                        call(remoteRun(1))
                        continually(500.milliseconds) { starts(1).shouldBeEmpty() }
                    }
                }

                it("accepts work again soon afterwards") {
                    onPausableVm(runMs = 60) {
                        clock.pause(LONG_PAUSE_MS)
                        eventually(1.seconds) { vm.run(job(1), fleet.queue, DEADLINE_MS) shouldBe JobOutcome.Completed }
                    }
                }
            }
        }

        // Peers count from the last heartbeat that they received, which is older than the pause.
        describe("a pause that is shorter than the peers' time-out by less than a heartbeat interval") {
            it("ends the jobs that peers have offered") {
                onPausableVm {
                    call(offer(1))
                    eventually(2.seconds) { starts(1) shouldHaveSize 1 }
                    clock.freeze(UNNOTICED_PAUSE_MS)
                    eventually(1.seconds) { starts(1).all { it.endedAt != null }.shouldBeTrue() }
                }
            }

            it("ends the remote runs that peers have requested") {
                onPausableVm {
                    call(remoteRun(1))
                    eventually(2.seconds) { starts(1) shouldHaveSize 1 }
                    clock.freeze(UNNOTICED_PAUSE_MS)
                    eventually(1.seconds) { starts(1).all { it.endedAt != null }.shouldBeTrue() }
                }
            }
        }

        // Guards against a VM that goes on with what its peers have taken for lost, because no single pause was long enough to be noticed.
        describe("several pauses between two heartbeats, each too short to be noticed, that are together longer than the peers' time-out") {
            it("end the jobs that peers have offered") {
                onPausableVm {
                    call(offer(1))
                    eventually(2.seconds) { starts(1) shouldHaveSize 1 }
                    pauseBriefly()
                    eventually(1.seconds) { starts(1).all { it.endedAt != null }.shouldBeTrue() }
                }
            }

            it("end the remote runs that peers have requested") {
                onPausableVm {
                    call(remoteRun(1))
                    eventually(2.seconds) { starts(1) shouldHaveSize 1 }
                    pauseBriefly()
                    eventually(1.seconds) { starts(1).all { it.endedAt != null }.shouldBeTrue() }
                }
            }
        }

        describe("a wall clock that is set forward") {
            it("does not end the remote runs that peers have requested, unlike a pause that was too short for their lease to expire") {
                onPausableVm(runMs = 400) {
                    val open = call(remoteRun(1))
                    eventually(2.seconds) { starts(1) shouldHaveSize 1 }
                    clock.suspendFor(3_000)
                    open.await().shouldBeInstanceOf<PeerReply.Lost>()
                    eventually(3.seconds) { call(remoteRun(1)).await() shouldBe PeerReply.Answered(RunAnswer(RunEnd.DONE)) }
                    starts(1) shouldHaveSize 1
                }
            }
        }

        describe("a wall clock that is set back") {
            it("neither ends jobs nor makes the VM refuse work") {
                onPausableVm(runMs = 400) {
                    val open = call(offer(1))
                    eventually(2.seconds) { starts(1) shouldHaveSize 1 }
                    clock.suspendFor(-3_000)
                    vm.run(job(2), fleet.queue, DEADLINE_MS) shouldBe JobOutcome.Completed
                    open.await().shouldBeInstanceOf<PeerReply.Answered>()
                    starts(1).single().run.run shouldBe 1
                }
            }
        }
    })
