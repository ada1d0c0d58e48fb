package dandelionpoint.fleet

import dandelionpoint.fleet.simulation.FleetSize
import dandelionpoint.fleet.simulation.Resubmission
import dandelionpoint.fleet.simulation.SimulatedFleet
import dandelionpoint.fleet.simulation.SimulationWorld
import dandelionpoint.fleet.simulation.Workload
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.settings.FleetSettings
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async

private const val READY_MS = 4_000L
private const val GRACE_MS = (FleetSettings.DEFAULT_GRACE_SECONDS * 1_000).toLong()
private const val TASK_MS = 1_200L
private const val LAST_JOB_AT_MS = 4_700L

/** Times after the request to stop at which other clients submit jobs; without a request the process would end earlier. */
private val OTHER_JOBS_AT_MS = listOf(1_500L, 2_500L, 3_600L)

/** Of two VMs the first one has been asked to stop. All in virtual time. */
private class StoppingVm {
    private val world = SimulationWorld(seed = 1)
    private val fleet = SimulatedFleet(1, world, FleetSize.ONE_DATA_CENTRE, Resubmission.LATER_ANYWHERE, Workload.SHORT)
    private var jobs = 0
    val outcomesOfOthers: List<JobOutcome?>

    init {
        fleet.writeTables()
        fleet.vms.take(2).forEach { it.start() }
        world.advance(READY_MS)
        fleet.vms.first().stop(downMs = READY_MS)
        val others = OTHER_JOBS_AT_MS.map { afterMs ->
            advanceTo(afterMs)
            submit(TASK_MS)
        }
        advanceTo(LAST_JOB_AT_MS)
        outcomesOfOthers = others.dropLast(1).map { it.getCompleted() }
    }

    val starts: Int get() = fleet.starts

    private fun advanceTo(afterMs: Long) = world.advance(READY_MS + afterMs - world.now())

    private fun submit(estimateMs: Long, slowFactor: Int = 1): Deferred<JobOutcome?> {
        val job = FleetJob("%016x".format(++jobs), "", listOf(JobStep(1, Demand(1_000), estimateMs)))
        return world.scope.async { fleet.clients.submitOnce(job, fleet.vms.first(), slowFactor) }
    }

    /** The outcome of a job that is submitted [LAST_JOB_AT_MS] after the request to stop, null if its connection breaks. */
    fun outcomeOfLastJob(estimateMs: Long, slowFactor: Int = 1): JobOutcome? {
        val outcome = submit(estimateMs, slowFactor)
        advanceTo(GRACE_MS)
        return outcome.getCompleted()
    }
}

/** Guards against jobs that a VM accepts during its planned stop and never answers (review case 3). */
internal class JobsDuringStopTest :
    DescribeSpec({
        describe("a VM that stops") {
            it("completes the jobs that end before its process does") {
                StoppingVm().outcomesOfOthers.toSet() shouldBe setOf(JobOutcome.Completed)
            }

            it("refuses a job at once that may not end before its process does, and starts nothing of it") {
                val vm = StoppingVm()
                vm.outcomeOfLastJob(estimateMs = TASK_MS).shouldBeInstanceOf<JobOutcome.NotRun>()
                vm.starts shouldBe OTHER_JOBS_AT_MS.size
            }

            it("answers a job that takes far longer than estimated before its process ends") {
                StoppingVm().outcomeOfLastJob(estimateMs = 100, slowFactor = 20).shouldBeInstanceOf<JobOutcome.GivenUp>()
            }
        }
    })
