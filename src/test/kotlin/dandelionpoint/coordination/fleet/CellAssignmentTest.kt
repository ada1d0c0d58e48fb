package dandelionpoint.coordination.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.maps.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val DATA_CENTRE = "akl-a"

/** The VMs of one data centre of the largest site: shares from 0.27 to 1.5 cores. */
private val VMS = listOf(1_500, 1_500, 1_500, 270, 270, 270, 270, 900, 900).mapIndexed { i, cpu -> Candidate("vm-$i", DATA_CENTRE, cpu) }
private val CELLS = Cells.of(DATA_CENTRE)

/** So many workers that all of [VMS] are needed. */
private const val MANY_WORKERS = 98

/** Workers by cell for [count] workers whose ids come from [seed]. */
private fun workers(count: Int, seed: Int): Map<String, Int> = Random(seed).let { random ->
    List(count) { worker("i-%010x".format(random.nextLong() and 0xffffffffffL)) }.groupingBy { Cells.ofWorker(it) }.eachCount()
}

private fun owners(vms: Collection<Candidate>, workers: Map<String, Int>) = CellAssignment.owners(DATA_CENTRE, vms) { workers[it] ?: 0 }

/**
 * Guards against one VM that carries a data centre, against small VMs with the work of large ones, and against cells that move without
 * need when a VM comes or goes.
 */
internal class CellAssignmentTest :
    DescribeSpec({
        describe("the cells of a data centre") {
            it("are spread over all of its VMs in proportion to their processor shares, if all are needed to carry its workers") {
                repeat(20) { seed ->
                    val workers = workers(count = MANY_WORKERS, seed)
                    val owners = owners(VMS, workers)
                    owners.keys shouldBe CELLS.toSet()
                    val total = VMS.sumOf { it.cpuMilli }
                    VMS.forEach { vm ->
                        val owned = owners.filterValues { it == vm }.keys
                        // The jobs of a cell count as half of a worker.
                        val load = owned.sumOf { (workers[it] ?: 0) + 0.5 }
                        val share = (MANY_WORKERS + CELLS.size * 0.5) * vm.cpuMilli / total
                        // A cell is not divided, so that a VM may have one cell more than its share.
                        load shouldBeLessThanOrEqual share * 1.1 + workers.values.max() + 0.5
                    }
                }
            }

            // Guards against a small data centre whose workers are divided, so that jobs wait or are refused beside free workers.
            it("have the fewest owners that can carry its workers, the VMs with the largest processor shares") {
                val pair = List(2) { Candidate("vm-$it", DATA_CENTRE, cpuMilli = 750) }
                owners(pair, workers(count = 8, seed = 1)).values.toSet().size shouldBe 1
                owners(pair, workers(count = 12, seed = 1)).values.toSet() shouldBe pair.toSet()
                owners(VMS, workers(count = 43, seed = 1)).values.toSet() shouldBe VMS.filter { it.cpuMilli == 1_500 }.toSet()
            }

            it("are assigned alike by all VMs, in whatever order they know the candidates") {
                val workers = workers(count = 43, seed = 1)
                owners(VMS.shuffled(Random(1)), workers) shouldBe owners(VMS, workers)
            }

            it("mostly keep their owner when another VM leaves") {
                repeat(20) { seed ->
                    val workers = workers(count = MANY_WORKERS, seed)
                    val before = owners(VMS, workers)
                    val gone = VMS[Random(seed).nextInt(VMS.size)]
                    val after = owners(VMS - gone, workers)
                    val moved = CELLS.count { before.getValue(it) != gone && before.getValue(it) != after.getValue(it) }
                    moved shouldBeLessThanOrEqual CELLS.size / 4
                }
            }

            it("go to VMs of other data centres if theirs has none") {
                val foreign = VMS.map { it.copy(dataCentre = "ham-a") }
                owners(foreign, workers(count = 43, seed = 1)).values.toSet().size shouldBeGreaterThan 1
                owners(foreign + VMS.first(), emptyMap()).values.toSet() shouldBe setOf(VMS.first())
                owners(emptyList(), emptyMap()).shouldBeEmpty()
            }
        }

        describe("workers and jobs") {
            it("belong to a cell of their data centre, whatever their ids are") {
                val ids = listOf("", "i-1", "æøå", "x".repeat(200), "0000000000000001")
                ids.filter { Cells.ofJob(DATA_CENTRE, it) !in CELLS }.shouldBeEmpty()
                ids.filter { Cells.ofWorker(worker(it)) !in CELLS }.shouldBeEmpty()
                Cells.dataCentreOf(Cells.ofJob("a/b", "1")) shouldBe "a/b"
            }
        }

        describe("the plan of a VM") {
            it("counts how long a cell has been assigned to the same VM, also when other inputs change") {
                val plan = CellPlan()
                val workers = workers(count = 43, seed = 1)
                plan.update(DATA_CENTRE, setOf(VMS[0]), workers, now = 0)
                plan.update(DATA_CENTRE, setOf(VMS[0], VMS[1]), workers, now = 1_000)
                val kept = CELLS.first { plan.owner(it) == VMS[0] }
                val moved = CELLS.first { plan.owner(it) == VMS[1] }
                plan.isSettled(kept, ms = 2_000, now = 2_000) shouldBe true
                plan.isSettled(moved, ms = 2_000, now = 2_000) shouldBe false
                plan.isSettled(moved, ms = 2_000, now = 3_000) shouldBe true
            }
        }
    })
