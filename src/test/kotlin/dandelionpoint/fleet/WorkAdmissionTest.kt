package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.PauseDetector
import dandelionpoint.coordination.fleet.ProcessPause
import dandelionpoint.coordination.fleet.VirtualClock
import dandelionpoint.protocol.fleet.JobOutcome
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private const val TICK_MS = 40L

/** A single pause is noticed from 290 ms on. */
private const val BRIEF_PAUSE_MS = 240L

/** Records what the VM is told to do. */
private class RecordingListener : PauseListener {
    val lost = mutableListOf<Boolean>()
    var recoveries = 0

    override fun paused(pause: ProcessPause, isLost: Boolean) {
        lost += isLost
    }

    override fun recovered() {
        recoveries++
    }
}

/** A VM whose process runs until [pause] is called. */
private class PausedVm {
    val clock = VirtualClock()
    val listener = RecordingListener()
    val admission = WorkAdmission(PauseDetector(clock, TICK_MS), listener, clock, FleetRules()).apply { tick() }

    fun pause(ms: Long) = clock.advance(ms)

    /** The VM is suspended for [ms], which only the wall clock counts. */
    fun suspend(ms: Long) {
        clock.wallMs += ms
    }

    /** The process runs for [ms]. */
    fun run(ms: Long) = repeat((ms / TICK_MS).toInt()) {
        clock.advance(TICK_MS)
        admission.tick()
    }
}

/** Guards against work that is started although its sender has given it up, and against work that is refused for longer than needed. */
internal class WorkAdmissionTest :
    DescribeSpec({
        describe("after a pause in which clients and peers may have given up their requests") {
            it("work is refused at once, before the tick loop has seen the pause") {
                val vm = PausedVm().apply { pause(2_000) }
                vm.admission.refuseClient().shouldBeInstanceOf<JobOutcome.NotRun>()
                vm.admission.acceptsPeers() shouldBe false
                vm.admission.acceptsOffer(ageMs = 0) shouldBe false
                vm.listener.lost shouldBe listOf(true)
            }

            it("work is refused until the connections to the peers have been closed, and accepted afterwards") {
                val vm = PausedVm().apply { pause(2_000) }
                vm.run(WorkAdmission.RECOVERY_MS)
                vm.admission.acceptsPeers() shouldBe false
                vm.listener.recoveries shouldBe 0
                vm.run(2 * TICK_MS)
                vm.listener.recoveries shouldBe 1
                vm.admission.refuseClient().shouldBeNull()
                vm.admission.acceptsPeers() shouldBe true
                vm.admission.acceptsOffer(ageMs = 0) shouldBe true
            }

            // The pause has ended the job. An offer that is repeated then would start it again beside what its client submits.
            it("a job that was submitted before the end of the recovery period is not accepted later") {
                val vm = PausedVm().apply { pause(2_000) }
                vm.run(WorkAdmission.RECOVERY_MS + 4 * TICK_MS)
                vm.admission.acceptsOffer(ageMs = 1_000) shouldBe false
            }
        }

        // Guards against a VM that goes on with what its peers have taken for lost, because no single pause was long enough to be noticed.
        describe("several pauses that are each too short to be noticed") {
            it("count as one if together they are longer than the peers' time-out and no heartbeat was sent between them") {
                val vm = PausedVm().apply { admission.onHeartbeat() }
                repeat(2) {
                    vm.pause(BRIEF_PAUSE_MS)
                    vm.run(TICK_MS)
                }
                vm.admission.acceptsPeers() shouldBe true
                vm.pause(BRIEF_PAUSE_MS)
                vm.admission.acceptsPeers() shouldBe false
                vm.listener.lost shouldBe listOf(true)
            }

            it("count as one also if the monotonic clock does not count them") {
                val vm = PausedVm().apply { admission.onHeartbeat() }
                repeat(3) {
                    vm.suspend(BRIEF_PAUSE_MS)
                    vm.run(TICK_MS)
                }
                vm.admission.acceptsPeers() shouldBe false
                vm.listener.lost shouldBe listOf(true)
            }

            it("do not count if heartbeats were sent between them") {
                val vm = PausedVm()
                repeat(10) {
                    vm.pause(BRIEF_PAUSE_MS)
                    vm.admission.onHeartbeat()
                    vm.run(TICK_MS)
                }
                vm.admission.acceptsPeers() shouldBe true
                vm.listener.lost.shouldBeEmpty()
            }

            it("make the VM end its jobs once, and accept work again after the recovery period") {
                val vm = PausedVm().apply { admission.onHeartbeat() }
                repeat(3) {
                    vm.pause(BRIEF_PAUSE_MS)
                    vm.run(TICK_MS)
                }
                vm.run(WorkAdmission.RECOVERY_MS + 2 * TICK_MS)
                vm.admission.acceptsPeers() shouldBe true
                vm.listener.lost shouldBe listOf(true)
                vm.listener.recoveries shouldBe 1
            }
        }

        describe("a pause after which the peers may have declared the VM lost") {
            it("makes the VM end its jobs and refuse those of peers, but not those of clients, which wait longer") {
                val vm = PausedVm().apply { pause(540) }
                vm.admission.acceptsPeers() shouldBe false
                vm.admission.refuseClient().shouldBeNull()
                vm.listener.lost shouldBe listOf(true)
            }

            it("is not assumed if the peers have received a heartbeat in time") {
                val vm = PausedVm().apply { pause(520) }
                vm.admission.acceptsPeers() shouldBe true
                vm.listener.lost shouldBe listOf(false)
            }
        }
    })
