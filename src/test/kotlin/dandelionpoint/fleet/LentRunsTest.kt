package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Cell
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.peer.RunAnswer
import dandelionpoint.protocol.peer.RunLoan
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.standin.fleet.MemoryWorkers
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.maps.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlin.time.Duration.Companion.seconds

private const val POOL = "booking"
private const val RUN_MS = 400L
private val BORROWER = VmIdentity("vm-2", "incarnation-2", "north", "ham-a", "127.0.0.1", 1)

private fun worker(id: String, rack: String) =
    WorkerEntry(id, POOL, "127.0.0.1", 1, "akl-a", isDraining = false, Demand(16_000, 1_024), setOf(rack), bornMs = 1)

private fun loan(index: Int, maxPerWorker: Int = 0, rack: String? = null) = RunLoan(
    cell = "akl-a",
    run = TaskRun(TaskRef("job", 0, index), 1),
    payload = "",
    pool = POOL,
    demand = Demand(1_000, 64),
    estimateMs = RUN_MS,
    rack = rack,
    maxPerWorker = maxPerWorker,
)

/** A VM that keeps the cell of [entries] and lends its rooms. */
private class Lender(entries: List<WorkerEntry>) : CellListener {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val workers = MemoryWorkers(runMs = { RUN_MS }).apply { entries.forEach { add(it) } }
    private val keeper = CellKeeper(scope, Cell("akl-a", token = 1), workers, this).apply { updateWorkers(entries) }
    private val lent = LentRuns { keeper }

    override fun ended(order: RunOrder, end: RunEnd, workerId: String) = lent.ended(order.origin, order.run, end)

    override fun fenced(cell: String) = Unit

    suspend fun awaitRooms() = eventually(5.seconds) { keeper.cell.rooms(System.nanoTime() / 1_000_000).shouldNotBeEmpty() }

    fun lend(loan: RunLoan) = scope.async { lent.run(BORROWER, loan) }

    fun close() = scope.cancel()
}

internal class LentRunsTest :
    DescribeSpec({
        describe("a lent run") {
            it("counts for the most tasks of a step that may share a worker, like a run of the lender") {
                val lender = Lender(listOf(worker("w", "rack-1"))).apply { awaitRooms() }
                val first = lender.lend(loan(index = 0, maxPerWorker = 1))
                eventually(5.seconds) { lender.workers.starts().size shouldBe 1 }
                lender.lend(loan(index = 1, maxPerWorker = 1)).await() shouldBe RunAnswer(RunEnd.NOT_STARTED)
                first.await() shouldBe RunAnswer(RunEnd.DONE)
                lender.close()
            }

            it("is placed near its data, where it runs faster") {
                val lender = Lender(listOf(worker("far", "rack-1"), worker("near", "rack-2"))).apply { awaitRooms() }
                lender.lend(loan(index = 0, rack = "rack-2")).await() shouldBe RunAnswer(RunEnd.DONE)
                lender.workers.starts().single().workerId shouldBe "near"
                lender.close()
            }
        }
    })
