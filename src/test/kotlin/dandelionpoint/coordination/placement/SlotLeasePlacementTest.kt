package dandelionpoint.coordination.placement

import dandelionpoint.protocol.store.VmState
import dandelionpoint.protocol.worker.CallOutcome
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeAtMost
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

/** One VM without peers, with a clock that the test advances. */
private class SingleVm(workers: Int = 1, slots: Int = 8) {
    var nowMs = 0L
    val entries = VirtualCluster.workers(workers, slots).map { it.first.copy(dataCentre = "akl-a") }
    val placement = SlotLeasePlacement(PlacementSettings()) { nowMs }
    private val self = VirtualCluster.identity(0)

    init {
        placement.updatePeers(self, setOf(self))
        placement.updateWorkers(entries)
    }

    fun placeAll(demand: TaskDemand = TaskDemand("class")): List<Reservation> = generateSequence { placement.place(demand) }.toList()

    fun succeed(reservation: Reservation, elapsedMs: Double = 300.0) =
        placement.complete(reservation, CallOutcome.Answered("done"), elapsedMs)

    fun fail(reservation: Reservation) = placement.complete(reservation, CallOutcome.Failed(500, ""), 1.0)

    fun loseConnection(reservation: Reservation) =
        placement.complete(reservation, CallOutcome.NotStarted("refused", unreachable = true), 0.5)

    /** Runs tasks until slow start no longer limits any worker. */
    fun warmUp() = repeat(4) { placeAll().forEach { succeed(it) } }

    fun advance(ms: Long) {
        repeat((ms / 100).toInt()) {
            nowMs += 100
            placement.tick()
        }
    }
}

/**
 * Guards against tasks that are placed on workers that fail or delay them: new, failing, unresponsive, unreachable, too small or leaving
 * ones. Such a worker has free slots, and one that fails each task immediately has more of them than healthy workers, so that it would
 * receive most of the tasks.
 */
class SlotLeasePlacementTest :
    DescribeSpec({
        describe("slow start") {
            it("doubles the usable slots of a new worker with each success, so that an untested worker gets one task") {
                val vm = SingleVm()
                val usable = List(4) {
                    val reservations = vm.placeAll()
                    reservations.firstOrNull()?.let { vm.succeed(it) }
                    reservations.drop(1).forEach { vm.placement.complete(it, CallOutcome.NotStarted("full", unreachable = false), 0.0) }
                    reservations.size
                }
                usable shouldBe listOf(1, 2, 4, 8)
            }
            it("restarts after a failure, so that a failing worker has one task at a time") {
                val vm = SingleVm().apply { warmUp() }
                val reservations = vm.placeAll()
                vm.fail(reservations.first())
                reservations.drop(1).forEach { vm.placement.complete(it, CallOutcome.NotStarted("full", unreachable = false), 0.0) }
                vm.placeAll().size shouldBe 1
            }
        }

        describe("a failing worker") {
            it("ranks behind the others after one failure, although it ends its tasks soonest") {
                val vm = SingleVm(workers = 2).apply { warmUp() }
                val failed = vm.placement.place(TaskDemand("class")).shouldNotBeNull()
                vm.fail(failed)
                vm.placeAll().take(8).map { it.worker.id }.toSet() shouldBe vm.entries.map { it.id }.toSet() - failed.worker.id
            }
            it("is ejected after three failures, and for twice as long the next time") {
                val vm = SingleVm().apply { warmUp() }
                repeat(3) { vm.fail(vm.placement.place(TaskDemand("class")).shouldNotBeNull()) }
                vm.placement.place(TaskDemand("class", retryable = true)).shouldBeNull()
                vm.placement.ejected() shouldBe mapOf("worker-0" to 5_000L)
                vm.advance(5_000)
                vm.fail(vm.placement.place(TaskDemand("class", retryable = true)).shouldNotBeNull())
                vm.placement.ejected() shouldBe mapOf("worker-0" to 10_000L)
            }
            it("is probed with one retryable task, since a task that cannot be retried would be lost with it") {
                val vm = SingleVm().apply { warmUp() }
                repeat(3) { vm.fail(vm.placement.place(TaskDemand("class")).shouldNotBeNull()) }
                vm.advance(5_000)
                vm.placeAll().size shouldBe 0
                val probes = vm.placeAll(TaskDemand("class", retryable = true))
                probes.size shouldBe 1
                vm.succeed(probes.single())
                vm.placeAll().size shouldBe 2
            }
        }

        describe("an unresponsive worker") {
            it("gets tasks only when the others are full, since a task there would be delayed until it is hedged") {
                val vm = SingleVm(workers = 2).apply { warmUp() }
                val unresponsive = vm.placement.place(TaskDemand("class")).shouldNotBeNull().worker.id
                vm.advance(1_000)
                vm.placeAll().map { it.worker.id }.indexOf(unresponsive) shouldBe 8
            }
            it("ranks as before after an outcome, since it was only slow") {
                val vm = SingleVm(workers = 2).apply { warmUp() }
                val first = vm.placement.place(TaskDemand("class")).shouldNotBeNull()
                val second = vm.placement.place(TaskDemand("class", avoid = setOf(first.worker.id))).shouldNotBeNull()
                vm.advance(1_000)
                vm.succeed(second)
                vm.placeAll().take(8).map { it.worker.id }.toSet() shouldBe setOf(second.worker.id)
            }
            it("does not include a worker whose tasks are expected to be long") {
                val vm = SingleVm(workers = 2).apply { warmUp() }
                val busy = vm.placement.place(TaskDemand("long", declaredMs = 5_000)).shouldNotBeNull().worker.id
                vm.advance(5_000)
                vm.placeAll().take(8).map { it.worker.id } shouldContain busy
            }
        }

        describe("a rack") {
            it("is avoided when two of its workers become unreachable together, until one answers") {
                val vm = SingleVm(workers = 4).apply { warmUp() }
                val reservations = vm.placeAll()
                vm.loseConnection(reservations.first { it.worker.id == "worker-0" })
                vm.placement.place(TaskDemand("class", avoid = setOf("worker-0"))).shouldBeNull()
                vm.loseConnection(reservations.first { it.worker.id == "worker-1" })
                val rest = reservations.filter { it.worker.id == "worker-2" || it.worker.id == "worker-3" }
                vm.placement.ejected().keys shouldBe setOf("worker-0", "worker-1", "worker-2", "worker-3")
                rest.forEach { vm.succeed(it) }
                vm.placement.ejected().keys shouldBe emptySet()
                vm.placement.place(TaskDemand("class"))?.worker?.id shouldBeIn rest.map { it.worker.id }
            }
        }

        describe("a demand") {
            it("above a worker's memory is not placed there, as it would fail") {
                val vm = SingleVm()
                vm.placement.place(TaskDemand("class", memoryMb = 32_769)).shouldBeNull()
                vm.placement.place(TaskDemand("class", memoryMb = 32_768)).shouldNotBeNull()
            }
            it("is not placed on a worker that it avoids") {
                SingleVm().placement.place(TaskDemand("class", avoid = setOf("worker-0"))).shouldBeNull()
            }
        }

        describe("a worker that is leaving, drained or no longer listed") {
            it("gets no new task from the moment the list is read, and running tasks end") {
                val vm = SingleVm(workers = 3).apply { warmUp() }
                val running = vm.placement.place(TaskDemand("class")).shouldNotBeNull()
                val entries = vm.entries.map { if (it.id == running.worker.id) it.copy(state = VmState.LEAVING) else it }
                vm.placement.updateWorkers(entries)
                vm.placement.drain(entries.first { it.id != running.worker.id }.id)
                vm.placeAll().map { it.worker.id }.toSet().size shouldBe 1
                vm.placement.updateWorkers(emptyList())
                vm.placeAll().size shouldBe 0
                vm.succeed(running)
            }
            it("gets nothing from VMs that lease its slots from another one") {
                val cluster = VirtualCluster(PlacementPolicy.SlotLeases, VirtualCluster.workers(), seed = 3)
                cluster.submit(cluster.nodes[0], List(3_000) { VirtualTask(it, 0, 200.0) })
                cluster.runUntil(1_500.0)
                val leaving = cluster.workers.getValue("worker-5")
                leaving.calls shouldBeGreaterThan 0
                val listed = VirtualCluster.workers().map { it.first }
                cluster.updateWorkers(listed.map { if (it.id == "worker-5") it.copy(state = VmState.LEAVING) else it })
                val calls = leaving.calls
                cluster.runUntil(4_000.0)
                // A call that was in flight when the list was read may still arrive.
                leaving.calls - calls shouldBeAtMost 1
            }
        }
    })
