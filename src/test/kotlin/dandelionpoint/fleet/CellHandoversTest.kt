package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Cells
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.FormerDispatchers
import dandelionpoint.coordination.fleet.POOL
import dandelionpoint.coordination.fleet.RunDemand
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.order
import dandelionpoint.coordination.fleet.worker
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.ReleaseAnswer
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.peer.WorkersReleased
import dandelionpoint.standin.fleet.MemoryWorkers
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

private const val RUN_MS = 300L
private const val TICK_MS = 20L
private val WORKER = worker("w")
private val CELL = Cells.ofWorker(WORKER)
private val SUCCESSOR = VmIdentity("successor", "incarnation-successor", "north", "akl-a", "127.0.0.1", 1)

/** Loses the first [losses] reports and confirms the others. */
private class LossyLink(private var losses: Int) : PeerLink {
    val confirmed = mutableListOf<WorkersReleased>()

    override suspend fun call(to: VmIdentity, message: PeerMessage, timeoutMs: Long): PeerReply {
        if (losses-- > 0) return PeerReply.Lost("connection closed")
        confirmed += message as WorkersReleased
        return PeerReply.Answered(ReleaseAnswer)
    }

    override fun send(to: VmIdentity, message: PeerMessage) = Unit
}

/** A VM that has handed [CELL] over while a run was in progress on its worker and [openJobs] were in progress. */
private class FormerOwner(losses: Int = 0) :
    CellListener,
    AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val link = LossyLink(losses)
    val formers = FormerDispatchers()

    @Volatile
    var openJobs = setOf("job")
    private val workers = MemoryWorkers(runMs = { RUN_MS }).apply { add(WORKER) }
    val cells = OwnedCells(scope, workers, this, { listOf(WORKER) }, Clock.System, FleetRules(), RunDemand.Always)
    val handovers = CellHandovers(scope, link, cells, formers, { openJobs }, { true }, Clock.System)

    override fun ended(order: RunOrder, end: RunEnd, workerId: String) = Unit

    override fun fenced(cell: String) = Unit

    suspend fun handOver() {
        cells.gain(CELL, token = 1, formerOwner = null)
        eventually(5.seconds) { cells.freeCapacity()[POOL].orEmpty().size shouldBe 1 }
        cells.place(order()) shouldBe CELL
        handovers.begin(checkNotNull(cells.lose(CELL, handover = true)), SUCCESSOR)
    }

    suspend fun tickFor(ms: Long) = repeat((ms / TICK_MS).toInt()) {
        cells.tick()
        handovers.tick()
        delay(TICK_MS)
    }

    override fun close() = scope.cancel()
}

/** Guards against workers that nobody uses, and jobs that two VMs dispatch, after a handover whose reports were lost. */
internal class CellHandoversTest :
    DescribeSpec({
        describe("the former owner of a cell") {
            it("reports the workers that it no longer uses and its open jobs until the new owner has confirmed the last change") {
                FormerOwner(losses = 2).use { vm ->
                    vm.handOver()
                    vm.tickFor(200)
                    vm.link.confirmed.last() shouldBe WorkersReleased(CELL, workerIds = emptySet(), openJobs = setOf("job"))
                    vm.tickFor(RUN_MS)
                    vm.openJobs = emptySet()
                    vm.tickFor(1_500)
                    vm.link.confirmed.last() shouldBe WorkersReleased(CELL, setOf(WORKER.id))
                    vm.cells.runCount() shouldBe 0
                }
            }

            it("reports nothing before the jobs of a still earlier owner are known, and then those as well") {
                FormerOwner().use { vm ->
                    vm.formers.gained(CELL, SUCCESSOR.copy(name = "earlier"), now = 0)
                    vm.handOver()
                    vm.tickFor(200)
                    vm.link.confirmed.shouldBeEmpty()
                    vm.formers.onReport(CELL, SUCCESSOR.copy(name = "earlier"), setOf("older"), sentAt = 1)
                    vm.tickFor(200)
                    vm.link.confirmed.any { it.openJobs == setOf("job", "older") }.shouldBeTrue()
                }
            }
        }
    })
