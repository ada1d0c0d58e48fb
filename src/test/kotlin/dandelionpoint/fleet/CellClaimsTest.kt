package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Candidate
import dandelionpoint.coordination.fleet.CellOwner
import dandelionpoint.coordination.fleet.CellPlan
import dandelionpoint.coordination.fleet.Cells
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.ProcessPause
import dandelionpoint.protocol.SchedulerClock
import dandelionpoint.protocol.fleet.RowWrite
import dandelionpoint.protocol.fleet.SharedRows
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.standin.fleet.MemoryRows
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest

private const val DATA_CENTRE = "akl-a"
private const val STEP_MS = 150L
private val CELLS = Cells.of(DATA_CENTRE).toSet()

/** So many workers that several VMs are needed. */
private val WORKERS = CELLS.associateWith { 1 }

private class CountingRows(private val rows: SharedRows) : SharedRows by rows {
    var writes = 0

    override suspend fun writeAll(table: String, writes: List<RowWrite>) = rows.writeAll(table, writes).also { this.writes++ }
}

/** The claims of several VMs of one data centre, which see each other's cells at once. */
private class ClaimingVms(private val test: TestScope) {
    val clock = SchedulerClock(test)
    val rows = MemoryRows(clock)
    val vms = LinkedHashMap<String, ClaimingVm>()

    inner class ClaimingVm(name: String, cpuMilli: Int) : ClaimHost {
        override val self = VmIdentity(name, "incarnation-$name", "north", DATA_CENTRE, "127.0.0.1", 1, cpuMilli)
        override var isStopping = false
        val store = CountingRows(rows)

        /** Names of the VMs that this one does not know. */
        val unknown = mutableSetOf<String>()
        val owned = HashMap<String, Long>()
        private val plan = CellPlan()
        private val claims = CellClaims(store, this, plan, FleetRules(), clock)

        override fun claimableDataCentres() = setOf(DATA_CENTRE)

        override fun peer(name: String): VmIdentity? = vms[name]?.takeIf { !it.isStopping }?.self

        override fun isLive(vm: VmIdentity): Boolean = vm.name !in unknown && vms[vm.name]?.self == vm

        override fun peerOwner(cell: String): CellOwner? = vms.values
            .filter { it !== this }
            .mapNotNull { vm -> vm.owned[cell]?.let { CellOwner(vm.self, it) } }
            .maxByOrNull { it.token }

        override suspend fun canReach(dataCentre: String) = true

        override fun gained(cell: String, token: Long, formerOwner: VmIdentity?) {
            owned[cell] = token
        }

        override fun lost(cell: String, successor: CellOwner?, handover: Boolean) {
            owned.remove(cell)
        }

        override fun offer(cell: String, successor: VmIdentity) = vms.getValue(successor.name).claims.handover(cell, self)

        fun ownerEnded(vm: ClaimingVm) = claims.ownerEnded(vm.self, vm.owned.keys)

        fun ownerHeard(vm: ClaimingVm) = claims.ownerHeard(vm.self)

        fun onSuspension(ms: Long) = claims.onProcessPause(ProcessPause(maxMs = ms, monotonicMs = 0))

        fun isUnclaimable(cell: String) = claims.isUnclaimable(cell)

        fun isProven(cell: String) = claims.isProven(cell)

        suspend fun step() {
            val candidates = vms.values.filter { !it.isStopping }.map { Candidate(it.self.name, DATA_CENTRE, it.self.cpuMilli) }.toSet()
            plan.update(DATA_CENTRE, candidates, WORKERS, clock.millis())
            claims.step()
        }
    }

    fun start(name: String, cpuMilli: Int = 1_000) = ClaimingVm(name, cpuMilli).also { vms[name] = it }

    suspend fun runFor(ms: Long) = repeat((ms / STEP_MS).toInt()) {
        vms.values.toList().forEach { it.step() }
        delay(STEP_MS)
    }
}

private fun withVms(test: suspend ClaimingVms.() -> Unit) = runTest { ClaimingVms(this).test() }

/** Guards against cells without an owner or with two, and against claims that use up the store's rate of writes. */
internal class CellClaimsTest :
    DescribeSpec({
        describe("the VMs of a data centre") {
            it("own each cell once, and share the cells when another VM has come") {
                withVms {
                    val first = start("vm-1")
                    runFor(1_500)
                    first.owned.keys shouldBe CELLS
                    val second = start("vm-2")
                    runFor(6_000)
                    (first.owned.keys + second.owned.keys) shouldBe CELLS
                    first.owned.keys.intersect(second.owned.keys).shouldBeEmpty()
                    first.owned.size shouldBeLessThanOrEqual CELLS.size * 6 / 10
                    second.owned.size shouldBeLessThanOrEqual CELLS.size * 6 / 10
                }
            }

            it("take over the cells of a VM that is lost, under a higher token") {
                withVms {
                    val first = start("vm-1")
                    runFor(1_500)
                    val tokens = first.owned.toMap()
                    val second = start("vm-2")
                    vms.remove("vm-1")
                    runFor(4_000)
                    second.owned.keys shouldBe CELLS
                    second.owned.all { (cell, token) -> token > tokens.getValue(cell) } shouldBe true
                }
            }

            it("take over the cells of a VM whose process has ended, before its claims are stale") {
                withVms {
                    val first = start("vm-1")
                    runFor(1_500)
                    val second = start("vm-2")
                    runFor(STEP_MS)
                    vms.remove("vm-1")
                    second.ownerEnded(first)
                    runFor(2 * STEP_MS)
                    second.owned.keys shouldBe CELLS
                }
            }

            // What is in progress at such a VM is known to it alone, and another VM may have its cells by now.
            // A port may be refused to some VMs only, or for a moment.
            it("do not take over the cells of a VM that is heard again after its process seemed to have ended") {
                withVms {
                    val first = start("vm-1")
                    runFor(1_500)
                    val second = start("vm-2")
                    runFor(STEP_MS)
                    vms.remove("vm-1")
                    second.ownerEnded(first)
                    second.ownerHeard(first)
                    runFor(2 * STEP_MS)
                    second.owned.keys.shouldBeEmpty()
                }
            }

            it("find a cell unclaimable only when the store has not answered for longer than its owner's claim stays valid") {
                withVms {
                    start("vm-1")
                    runFor(1_500)
                    val second = start("vm-2")
                    runFor(STEP_MS)
                    vms.remove("vm-1")
                    rows.isDown = true
                    runFor(1_200)
                    second.isUnclaimable(CELLS.first()) shouldBe false
                    runFor(1_500)
                    second.isUnclaimable(CELLS.first()) shouldBe true
                    rows.isDown = false
                    runFor(STEP_MS)
                    second.isUnclaimable(CELLS.first()) shouldBe false
                }
            }

            it("do not count a claim as theirs after a long pause until the store has shown it") {
                withVms {
                    val vm = start("vm-1")
                    runFor(1_500)
                    vm.isProven(CELLS.first()) shouldBe true
                    vm.onSuspension(600)
                    vm.isProven(CELLS.first()) shouldBe true
                    vm.onSuspension(2_000)
                    vm.isProven(CELLS.first()) shouldBe false
                    runFor(STEP_MS)
                    vm.isProven(CELLS.first()) shouldBe true
                }
            }

            it("take over the cells of a VM that stops, at once") {
                withVms {
                    val first = start("vm-1")
                    val second = start("vm-2")
                    runFor(6_000)
                    first.isStopping = true
                    runFor(1_500)
                    second.owned.keys shouldBe CELLS
                    first.owned.keys.shouldBeEmpty()
                }
            }

            // Its jobs and runs would not be asked for, and the new owner would start them again.
            it("take over no cell on the offer of a VM that they do not know, and take it over once they know it") {
                withVms {
                    start("vm-1")
                    runFor(1_500)
                    val second = start("vm-2")
                    second.unknown += "vm-1"
                    runFor(6_000)
                    second.owned.keys.shouldBeEmpty()
                    second.unknown.clear()
                    runFor(1_500)
                    second.owned.isEmpty() shouldBe false
                }
            }

            it("find their claims when the answers of the store are lost") {
                withVms {
                    rows.losesAnswers = true
                    val vm = start("vm-1")
                    runFor(3_000)
                    vm.owned.keys shouldBe CELLS
                }
            }
        }

        describe("the claims of a VM") {
            it("are renewed together, with few writes") {
                withVms {
                    val vm = start("vm-1")
                    runFor(1_500)
                    val before = vm.store.writes
                    runFor(3_000)
                    // Twice a second, in transactions of at most SharedRows.MAX_WRITES rows.
                    vm.store.writes - before shouldBeLessThanOrEqual 2 * 2 * 3
                }
            }
        }
    })
