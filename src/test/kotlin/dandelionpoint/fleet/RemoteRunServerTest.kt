package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Cell
import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.SharedRow
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.RequestExpired
import dandelionpoint.protocol.peer.RunAnswer
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.standin.fleet.MemoryWorkers
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

private const val POOL = "booking"
private const val RUN_MS = 400L
private val DISPATCHER = VmIdentity("vm-2", "incarnation-2", "north", "ham-a", "127.0.0.1", 1)

private fun worker(id: String, rack: String) =
    WorkerEntry(id, POOL, "127.0.0.1", 1, "akl-a", isDraining = false, Demand(16_000, 1_024), setOf(rack), startedAtMs = 1)

private fun request(index: Int, maxPerWorker: Int = 0, rack: String? = null) = RemoteRunRequest(
    run = TaskRun(TaskRef("job", 0, index), 1),
    payload = "",
    pool = POOL,
    demand = Demand(1_000, 64),
    estimateMs = RUN_MS,
    rack = rack,
    maxPerWorker = maxPerWorker,
)

/** A VM that owns the cell with the workers [entries] and serves remote runs in it. */
private class CellOwner(private val entries: List<WorkerEntry>) : CellListener {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val workers = MemoryWorkers(runMs = { RUN_MS }).apply { entries.forEach { add(it) } }
    private val controller = CellController(scope, Cell("akl-a", token = 1), workers, this).apply { updateWorkers(entries) }
    private val server = RemoteRunServer(Host())

    private inner class Host : RemoteRunHost {
        override fun place(order: RunOrder): Boolean = controller.place(order)

        override fun stopRun(key: RunKey) {
            controller.stopRuns { it.key == key }
        }

        override val hasWaitingWork = false

        override fun mayWait(order: RunOrder) = false

        override fun onWaiting() = Unit
    }

    fun updateWorkers(entries: List<WorkerEntry>) = controller.updateWorkers(entries)

    override fun ended(order: RunOrder, end: RunEnd, workerId: String) = server.ended(order.key, end)

    override fun fenced(cell: String) = Unit

    /** Waits until the run lists of all workers have been read. */
    suspend fun awaitCapacity() = eventually(5.seconds) {
        controller.cell.freeCapacity(System.nanoTime() / 1_000_000)[POOL].orEmpty() shouldHaveSize entries.size
    }

    /** As a heartbeat of the dispatching VM does that carries the cancellation. */
    fun stop(request: RemoteRunRequest) = server.stop(RunKey(DISPATCHER.incarnation, request.dispatch, request.run))

    suspend fun cancel(request: RemoteRunRequest) = server.cancel(RunKey(DISPATCHER.incarnation, request.dispatch, request.run))

    fun run(request: RemoteRunRequest, isExpired: Boolean = false) =
        scope.async { server.run(DISPATCHER, request, wantedAt = System.nanoTime() / 1_000_000, isExpired) }

    fun close() = scope.cancel()
}

/** Starts each run and counts the [starts]. */
private class CountingHost(private val starts: AtomicInteger) : RemoteRunHost {
    override fun place(order: RunOrder): Boolean = starts.incrementAndGet() > 0

    override fun stopRun(key: RunKey) = Unit

    override val hasWaitingWork = false

    override fun mayWait(order: RunOrder) = false

    override fun onWaiting() = Unit
}

/**
 * A server that gets the request for a run while it handles the run's cancellation: when the cancellation reads the clock, another thread
 * handles the request until it has started the run or has to wait for the cancellation.
 */
private class RequestDuringCancellation : Clock {
    val starts = AtomicInteger()
    private val server = RemoteRunServer(CountingHost(starts), clock = this)
    private val requester = thread(start = false) { runBlocking { server.run(DISPATCHER, request(index = 0), wantedAt = 0) } }

    override fun wallMs(): Long = 0

    override fun nanos(): Long {
        if (requester.state == Thread.State.NEW) letRequestRun()
        return 0
    }

    private fun letRequestRun() {
        requester.start()
        while (starts.get() == 0 && requester.state != Thread.State.BLOCKED) Thread.onSpinWait()
    }

    suspend fun cancel(): RunAnswer = server.cancel(RunKey(DISPATCHER.incarnation, dispatch = 0, request(index = 0).run)).also {
        requester.join()
    }
}

/**
 * Guards against remote runs that bypass the placement rules of the cell which runs them. If a request loses its limit of tasks per worker
 * or its rack on the way, the run overloads a worker or is far from its data.
 */
internal class RemoteRunServerTest :
    DescribeSpec({
        describe("a remote run in an evacuated data centre") {
            it("is refused, while those that are in progress there end as usual") {
                val entries = listOf(worker("w", "rack-1"))
                val owner = CellOwner(entries).apply { awaitCapacity() }
                val inProgress = owner.run(request(index = 0))
                eventually(2.seconds) { owner.workers.starts() shouldHaveSize 1 }
                val evacuation = EvacuationTable("evacuation/") { entries }
                evacuation.onTableRead(listOf(SharedRow("operator", "evacuation/akl-a", byteArrayOf(), version = 1)), version = 1)
                owner.updateWorkers(evacuation.withDraining(entries))
                owner.run(request(index = 1)).await() shouldBe RunAnswer(RunEnd.NOT_STARTED)
                inProgress.await() shouldBe RunAnswer(RunEnd.DONE)
                owner.workers.starts() shouldHaveSize 1
                owner.close()
            }
        }

        describe("a remote run") {
            it("counts towards the limit of tasks of a step on one worker, like a run of the cell owner") {
                val owner = CellOwner(listOf(worker("w", "rack-1"))).apply { awaitCapacity() }
                val first = owner.run(request(index = 0, maxPerWorker = 1))
                eventually(5.seconds) { owner.workers.starts().size shouldBe 1 }
                owner.run(request(index = 1, maxPerWorker = 1)).await() shouldBe RunAnswer(RunEnd.NOT_STARTED)
                first.await() shouldBe RunAnswer(RunEnd.DONE)
                owner.close()
            }

            it("is placed on a worker in the rack of its data, where it runs faster") {
                val owner = CellOwner(listOf(worker("far", "rack-1"), worker("near", "rack-2"))).apply { awaitCapacity() }
                owner.run(request(index = 0, rack = "rack-2")).await() shouldBe RunAnswer(RunEnd.DONE)
                owner.workers.starts().single().workerId shouldBe "near"
                owner.close()
            }
        }

        // The request was held up in a cut; its sender gave the job up, and the client has submitted it elsewhere.
        describe("a request that is read too late") {
            it("starts nothing, and may be sent again") {
                val owner = CellOwner(listOf(worker("w", "rack-1"))).apply { awaitCapacity() }
                owner.run(request(index = 0), isExpired = true).await() shouldBe RequestExpired
                owner.workers.starts().shouldBeEmpty()
                owner.run(request(index = 0)).await() shouldBe RunAnswer(RunEnd.DONE)
                owner.close()
            }

            it("gets the end of the run that an earlier request has started") {
                val owner = CellOwner(listOf(worker("w", "rack-1"))).apply { awaitCapacity() }
                val first = owner.run(request(index = 0))
                eventually(5.seconds) { owner.workers.starts().size shouldBe 1 }
                owner.run(request(index = 0), isExpired = true).await() shouldBe RunAnswer(RunEnd.DONE)
                first.await() shouldBe RunAnswer(RunEnd.DONE)
                owner.workers.starts().size shouldBe 1
                owner.close()
            }
        }

        describe("the cancellation of a remote run") {
            // Guards against a run that is started after its cancellation, because the request was repeated or delayed.
            it("that arrives before the request makes the request start nothing") {
                val owner = CellOwner(listOf(worker("w", "rack-1"))).apply { awaitCapacity() }
                owner.cancel(request(index = 0)) shouldBe RunAnswer(RunEnd.NOT_STARTED)
                owner.run(request(index = 0)).await() shouldBe RunAnswer(RunEnd.NOT_STARTED)
                owner.workers.starts().shouldBeEmpty()
                owner.close()
            }

            // Guards against a run that starts after the check that it is unknown and before the record that refuses it, and goes on.
            it("that is handled at the same time as the request, and finds no run, makes the request start nothing") {
                val race = RequestDuringCancellation()
                race.cancel() shouldBe RunAnswer(RunEnd.NOT_STARTED)
                race.starts.get() shouldBe 0
            }

            it("is answered once the run has ended, again when it is repeated") {
                val owner = CellOwner(listOf(worker("w", "rack-1"))).apply { awaitCapacity() }
                val run = owner.run(request(index = 0))
                eventually(5.seconds) { owner.workers.starts().size shouldBe 1 }
                owner.cancel(request(index = 0)) shouldBe RunAnswer(RunEnd.LOST)
                owner.cancel(request(index = 0)) shouldBe RunAnswer(RunEnd.LOST)
                run.await() shouldBe RunAnswer(RunEnd.LOST)
                owner.close()
            }
        }

        // A heartbeat extends the leases of the sender's runs, so it must end those that the sender has cancelled.
        describe("a cancellation in a heartbeat") {
            it("stops the run, and does nothing for a run that was not requested here") {
                val owner = CellOwner(listOf(worker("w", "rack-1"))).apply { awaitCapacity() }
                owner.stop(request(index = 1))
                val run = owner.run(request(index = 0))
                eventually(5.seconds) { owner.workers.starts().size shouldBe 1 }
                owner.stop(request(index = 0))
                run.await() shouldBe RunAnswer(RunEnd.LOST)
                owner.run(request(index = 1)).await() shouldBe RunAnswer(RunEnd.DONE)
                owner.close()
            }
        }

        describe("a remote run that outlasts the client's request") {
            // Guards against a run that goes on for as long as its work takes, although nobody waits for it.
            it("is stopped when the client no longer waits") {
                val owner = CellOwner(listOf(worker("w", "rack-1"))).apply { awaitCapacity() }
                owner.run(request(index = 0).copy(remainingMs = RUN_MS / 4)).await() shouldBe RunAnswer(RunEnd.LOST)
                owner.close()
            }
        }

        describe("a submission that comes again") {
            // Guards against the answer of an earlier submission's run, which has the same number, for a run of the new one.
            it("gets a run of its own, not the end of the earlier run") {
                val owner = CellOwner(listOf(worker("w", "rack-1"), worker("v", "rack-1"))).apply { awaitCapacity() }
                owner.cancel(request(index = 0))
                owner.run(request(index = 0).copy(dispatch = 1)).await() shouldBe RunAnswer(RunEnd.DONE)
                owner.close()
            }
        }
    })
