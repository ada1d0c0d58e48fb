/*
 * Guards against a run that is started by the labels or the capacity of an earlier incarnation of its worker. A worker may restart under
 * its id as one of another kind; its owner learns of it from the run list and from the list of workers, in either order and with delays.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.LeaseReport
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.StartRefusal
import dandelionpoint.protocol.fleet.WorkerEntry
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private const val TOKEN = 7L
private const val SEED = 20_261_206L
private const val ROUNDS = 300
private const val ID = "w"

/** Start of the second incarnation, in ms on the wall clock. */
private const val RESTARTED_AT_MS = 99L

private fun entry(label: String, startedAtMs: Long, cpuMilli: Int = 16_000): WorkerEntry =
    worker(ID, startedAtMs = startedAtMs).copy(labels = setOf(label), capacity = Demand(cpuMilli, memoryMb = 4_096))

private fun orderFor(label: String, job: String = "a") = order(job).copy(requiredLabel = label)

private fun Cell.reportOf(startedAtMs: Long, now: Long) =
    onReport(checkNotNull(planPoll(ID, now)), report(clockMs = now, startedAtMs = startedAtMs), now)

/** A cell with one worker of the kind "a" whose run list has been read, and which has restarted since according to its run list. */
private fun restartedCell() = Cell("akl-a", TOKEN).apply {
    updateWorkers(listOf(entry("a", startedAtMs = 1)))
    reportOf(startedAtMs = 1, now = 0)
    reportOf(RESTARTED_AT_MS, now = 10)
}

/**
 * A worker that restarts at random times as one of another kind, the store's list of workers, and a cell that reads both with delays. Only
 * the reads of the list keep their order.
 */
private class RestartingWorker(seed: Long) {
    private class Delivery(val at: Long, val apply: () -> Unit)

    private val random = Random(seed)
    private val cell = Cell("akl-a", TOKEN)
    private val deliveries = mutableListOf<Delivery>()
    private var now = 0L
    private var listReadAt = 0L
    private var present = entry("a", startedAtMs = 1)
    private var jobs = 0

    /** Latest start that the cell has been told by a run list or by the list of workers. */
    private var knownStart = 0L

    val violations = mutableListOf<String>()
    var placements = 0
        private set

    fun simulate(steps: Int) = repeat(steps) {
        now += STEP_MS
        if (random.nextDouble() < RESTART_SHARE) restart()
        if (random.nextDouble() < POLL_SHARE) poll()
        if (random.nextDouble() < READ_SHARE) readList()
        deliver()
        place(listOf("a", "b").random(random))
    }

    /** Lets the last messages arrive, and returns whether the worker gets a run that needs its present label. */
    fun isUsedAfterQuietPeriod(): Boolean {
        readList()
        repeat(QUIET_STEPS) {
            now += STEP_MS
            cell.planLease(ID, now)?.let { cell.onReport(it, presentReport(), now) }
            deliver()
        }
        return place(present.labels.single())
    }

    private fun restart() {
        present = entry(listOf("a", "b").random(random), startedAtMs = now + 1, cpuMilli = random.nextInt(8, 17) * 1_000)
    }

    private fun presentReport(): LeaseReport = report(clockMs = now, startedAtMs = present.startedAtMs)

    private fun poll() {
        val plan = cell.planPoll(ID, now) ?: return
        val report = presentReport()
        deliveries += Delivery(now + random.nextLong(MAX_DELAY_MS)) {
            knownStart = maxOf(knownStart, report.startedAtMs)
            cell.onReport(plan, report, now)
        }
    }

    private fun readList() {
        val read = present
        listReadAt = maxOf(listReadAt, now + random.nextLong(MAX_DELAY_MS))
        deliveries += Delivery(listReadAt) {
            knownStart = maxOf(knownStart, read.startedAtMs)
            cell.updateWorkers(listOf(read))
        }
    }

    private fun deliver() {
        val due = deliveries.filter { it.at <= now }.sortedBy { it.at }
        deliveries.removeAll(due)
        due.forEach { it.apply() }
    }

    private fun place(label: String): Boolean {
        val placement = cell.place(orderFor(label, job = "j${jobs++}"), now) ?: return false
        placements++
        if (placement.worker.startedAtMs <
            knownStart
        ) {
            violations += "$now: ${placement.worker} although one started at $knownStart is known"
        }
        // The order is refused, so that the next one finds capacity.
        cell.onStart(placement, StartOutcome.Refused(StartRefusal.LATE), now)
        return true
    }

    private companion object {
        const val STEP_MS = 10L
        const val MAX_DELAY_MS = 900L
        const val QUIET_STEPS = 300
        const val RESTART_SHARE = 0.01
        const val POLL_SHARE = 0.1
        const val READ_SHARE = 0.05
    }
}

internal class WorkerIncarnationTest :
    DescribeSpec({
        describe("a worker whose run list shows a later start than its entry") {
            it("gets no runs by the labels of its earlier incarnation") {
                restartedCell().place(orderFor("a"), 20).shouldBeNull()
            }

            it("announces no free capacity and no cores") {
                val cell = restartedCell()
                cell.freeCapacity(20) shouldBe emptyMap()
                cell.cores() shouldBe emptyMap()
            }

            it("gets runs by the labels and the capacity of its later incarnation once that entry has been read") {
                val cell = restartedCell()
                cell.updateWorkers(listOf(entry("b", RESTARTED_AT_MS, cpuMilli = 8_000)))
                cell.place(orderFor("a"), 20).shouldBeNull()
                cell.place(orderFor("b", "b"), 20).shouldNotBeNull()
                withClue("8 cores are enough for one task of 7 cores") { cell.place(orderFor("b", "c"), 20).shouldBeNull() }
            }

            it("gets no run whose order waited for a reading of its clock") {
                val cell = Cell("akl-a", TOKEN).apply {
                    updateWorkers(listOf(entry("a", startedAtMs = 1)))
                    reportOf(startedAtMs = 1, now = 0)
                }
                val placement = cell.place(orderFor("a"), 50_000).shouldNotBeNull()
                placement.isClockStale shouldBe true
                cell.reportOf(RESTARTED_AT_MS, now = 50_010)
                cell.withFreshLease(placement, 50_010).shouldBeNull()
            }

            // The new entry may be read while the order waits for the reading that shows the restart.
            it("gets no run whose order waited for a reading of its clock, although its new entry has been read") {
                val cell = Cell("akl-a", TOKEN).apply {
                    updateWorkers(listOf(entry("a", startedAtMs = 1)))
                    reportOf(startedAtMs = 1, now = 0)
                }
                val placement = cell.place(orderFor("a"), 50_000).shouldNotBeNull()
                cell.updateWorkers(listOf(entry("b", RESTARTED_AT_MS)))
                cell.reportOf(RESTARTED_AT_MS, now = 50_010)
                cell.withFreshLease(placement, 50_010).shouldBeNull()
            }

            // A false start time in one answer must not keep the worker unusable for good.
            it("has its run list read again, and gets runs once that list shows the start of its entry") {
                val cell = restartedCell()
                val plan = cell.planLease(ID, 20).shouldNotBeNull()
                plan.call.leaseUntilMs.shouldBeNull()
                cell.onReport(plan, report(clockMs = 30), 30)
                cell.place(orderFor("a"), 40).shouldNotBeNull()
            }
        }

        describe("a worker that has refused an order for an earlier incarnation") {
            it("gets no run before its run list has been read") {
                val cell = Cell("akl-a", TOKEN).apply {
                    updateWorkers(listOf(entry("a", startedAtMs = 1)))
                    reportOf(startedAtMs = 1, now = 0)
                }
                val placement = cell.place(orderFor("a"), 10).shouldNotBeNull()
                cell.onStart(placement, StartOutcome.Refused(StartRefusal.OTHER_INCARNATION), 11)
                cell.place(orderFor("a", "b"), 12).shouldBeNull()
                cell.planLease(ID, 13).shouldNotBeNull().call.leaseUntilMs.shouldBeNull()
            }
        }

        describe("a worker whose entry has no start time") {
            it("gets runs as before") {
                val cell = Cell("akl-a", TOKEN)
                cell.updateWorkers(listOf(entry("a", startedAtMs = 0)))
                cell.reportOf(startedAtMs = 5, now = 0)
                cell.place(orderFor("a"), 10).shouldNotBeNull()
            }
        }

        describe("run lists and entries in any order") {
            it("never lead to a run by an entry that is known to be outdated, and the worker is used again afterwards") {
                var placements = 0
                checkAll(PropTestConfig(seed = SEED, iterations = ROUNDS), Arb.long()) { seed ->
                    val worker = RestartingWorker(seed)
                    worker.simulate(steps = 600)
                    withClue("seed $seed") {
                        worker.violations.shouldBeEmpty()
                        worker.isUsedAfterQuietPeriod() shouldBe true
                    }
                    placements += worker.placements
                }
                placements shouldBeGreaterThan ROUNDS
            }
        }
    })
