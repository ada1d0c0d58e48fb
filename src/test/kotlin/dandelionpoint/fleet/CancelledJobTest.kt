package dandelionpoint.fleet

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import dandelionpoint.fleet.simulation.FaultKind
import dandelionpoint.fleet.simulation.FleetSimulation
import dandelionpoint.fleet.simulation.FleetSize
import dandelionpoint.fleet.simulation.Workload
import dandelionpoint.protocol.peer.JobPresence
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import org.slf4j.LoggerFactory

private val SEEDS = 1L..6L
private const val CANCEL_SHARE = 0.5

private fun check(kinds: List<FaultKind>, size: FleetSize, workload: Workload) {
    var found = 0
    var unanswered = 0
    SEEDS.forEach { seed ->
        val simulation = FleetSimulation(seed, kinds, size = size, workload = workload, cancelShare = CANCEL_SHARE)
        simulation.run()
        simulation.errors.shouldBeEmpty()
        withClue("seed $seed") { simulation.runsAfterCancellation.take(1).shouldBeEmpty() }
        found += simulation.cancellations[JobPresence.FOUND] ?: 0
        unanswered += simulation.cancellations.filterKeys { it != JobPresence.FOUND && it != JobPresence.NONE }.values.sum()
    }
    found shouldBeGreaterThan 10 * SEEDS.count()
    withClue("cancellations without a clear answer after six tries, of more than $found") { found shouldBeGreaterThan 10 * unanswered }
}

/**
 * Runs several whole entry VMs of three data centres in virtual time, whose clients cancel their jobs at any VM. Guards against a job that
 * starts tasks or runs on after its cancellation was answered with 200 or 410, because the VM that dispatches it was not asked: the job was
 * submitted at another VM or in another data centre, its cell is being handed over, or an answer was lost.
 */
internal class CancelledJobTest :
    DescribeSpec({
        val logger = LoggerFactory.getLogger("dandelionpoint") as Logger
        val level: Level? = logger.level
        beforeSpec { logger.level = Level.ERROR }
        afterSpec { logger.level = level }

        describe("a job whose cancellation was answered neither starts nor runs on") {
            it("without faults") { check(emptyList(), FleetSize.SMALL, Workload.SHORT) }

            it("with long runs in other data centres") { check(emptyList(), FleetSize.NO_LOCAL_WORKERS, Workload.LONG) }

            it("in a large data centre") { check(emptyList(), FleetSize.LARGE, Workload.LONG) }

            it("beside connections between VMs that are reset") {
                check(listOf(FaultKind.PEER_CONNECTION_RESET), FleetSize.LARGE, Workload.LONG)
            }

            it("beside VMs that are killed and started again, to which cells are handed over") {
                check(listOf(FaultKind.VM_KILLED, FaultKind.PEER_CONNECTION_RESET), FleetSize.LARGE, Workload.LONG)
            }
        }
    })
