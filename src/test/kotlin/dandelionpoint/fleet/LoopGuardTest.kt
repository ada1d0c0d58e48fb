package dandelionpoint.fleet

import arrow.core.Either
import dandelionpoint.coordination.fleet.Cells
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetConfiguration
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.LeaseCall
import dandelionpoint.protocol.fleet.LeaseOutcome
import dandelionpoint.protocol.fleet.RowWrite
import dandelionpoint.protocol.fleet.SharedRows
import dandelionpoint.protocol.fleet.StartOrder
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.fleet.WorkerPort
import dandelionpoint.protocol.fleet.WriteResult
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.settings.FleetSettings
import dandelionpoint.settings.HostAndPort
import dandelionpoint.standin.fleet.MemoryRows
import dandelionpoint.standin.fleet.MemoryWorkers
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private const val DATA_CENTRE = "akl-a"
private const val POOL = "pool"
private val HOST = HostAndPort("127.0.0.1", 0)
private val WORKER = WorkerEntry("w", POOL, HOST.host, 1, DATA_CENTRE, isDraining = false, Demand(2_000, 4_096), startedAtMs = 1)
private val QUEUE = JobQueue("lookups", POOL, maxAttempts = 2, stretch = 2.0, latencyTargetMs = 2_000)

/** A store whose first [failures] transactions end with an error. */
private class FailingStore(private val failures: AtomicInteger, rows: SharedRows) : SharedRows by rows {
    private val delegate = rows

    override suspend fun writeAll(table: String, writes: List<RowWrite>): Either<StoreError, WriteResult> {
        if (failures.getAndDecrement() > 0) throw StackOverflowError("injected fault")
        return delegate.writeAll(table, writes)
    }
}

/** Workers whose first [failures] lease calls and starts end with an error. */
private class FailingWorkers(private val failures: AtomicInteger, private val workers: MemoryWorkers) : WorkerPort by workers {
    override suspend fun lease(worker: WorkerEntry, call: LeaseCall, timeoutMs: Long): LeaseOutcome {
        check(failures.getAndDecrement() <= 0) { "injected fault" }
        return workers.lease(worker, call, timeoutMs)
    }

    override suspend fun start(worker: WorkerEntry, order: StartOrder, timeoutMs: Long): StartOutcome {
        check(failures.getAndDecrement() <= 0) { "injected fault" }
        return workers.start(worker, order, timeoutMs)
    }
}

private fun vm(storeFailures: AtomicInteger = AtomicInteger(), workerFailures: AtomicInteger = AtomicInteger()): FleetVm {
    val rows = MemoryRows().apply {
        put("workers", WORKER.id, byteArrayOf())
        put("operator", "configuration", byteArrayOf())
    }
    val documents = object : DocumentReader {
        override fun worker(id: String, bytes: ByteArray): WorkerEntry = WORKER

        override fun configuration(bytes: ByteArray) = FleetConfiguration(version = 1, routes = emptyList(), document = "")
    }
    val workers = FailingWorkers(workerFailures, MemoryWorkers().apply { add(WORKER) })
    val tables = SharedTables("workers", "operator", "configuration")
    val settings = FleetSettings("vm", "north", DATA_CENTRE, HOST, readiness = null, HOST, emptyList(), HOST)
    return FleetVm(settings, FleetPorts(FailingStore(storeFailures, rows), tables, documents, workers, { true }), Clock.System)
}

/** Guards against an unexpected error of one call that ends a loop, after which the VM goes on without claims, leases or heartbeats. */
internal class LoopGuardTest :
    DescribeSpec({
        describe("a VM") {
            it("claims its cells although calls to the store have ended with errors") {
                val vm = vm(storeFailures = AtomicInteger(3))
                vm.start()
                eventually(10.seconds) { vm.ownedCells() shouldBe Cells.of(DATA_CENTRE).toSet() }
                vm.close()
            }

            it("runs jobs although calls to a worker have ended with errors") {
                val workerFailures = AtomicInteger(3)
                val vm = vm(workerFailures = workerFailures)
                vm.start()
                eventually(10.seconds) { vm.ownedCells() shouldBe Cells.of(DATA_CENTRE).toSet() }
                var number = 0
                eventually(10.seconds) {
                    workerFailures.set(1)
                    val job = FleetJob("%016x".format(++number), "", listOf(JobStep(1, Demand(1_000), estimateMs = 60)))
                    vm.run(job, QUEUE, 4_000, CancellationSignal()) shouldBe JobOutcome.Completed
                }
                vm.close()
            }
        }

        describe("a guard") {
            it("counts failures and returns nothing for them") {
                val guard = LoopGuard("test")
                guard.attempt("step") { error("injected fault") }.shouldBeNull()
                guard.attempt("step") { 1 } shouldBe 1
                guard.failures shouldBe 1
            }

            it("does not take the end of its coroutine for a failure") {
                runTest {
                    val guard = LoopGuard("test")
                    val step = async { guard.attempt("step") { delay(1_000) } }
                    delay(1)
                    step.cancelAndJoin()
                    shouldThrow<CancellationException> { step.await() }
                    guard.failures shouldBe 0
                }
            }
        }
    })
