/*
 * Guards against a worker that gets more runs than its capacity allows. After a takeover, the runs of the former owner go on while they are
 * being stopped; some workers start whatever they are told to.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.EndedRow
import dandelionpoint.protocol.fleet.LeaseReport
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.RunningRow
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.StartRefusal
import dandelionpoint.protocol.fleet.TaskRun
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private const val TOKEN = 8L
private const val SEED = 20_261_206L
private const val ROUNDS = 200
private const val ID = "w"

private fun Cell.onRunList(running: List<TaskRun>, now: Long, ended: List<Pair<TaskRun, RunEnd>> = emptyList()) =
    onReport(checkNotNull(planPoll(ID, now)), report(clockMs = now, running = running, ended = ended), now)

/** A cell that was just taken over; its worker lists a run of the former owner. */
private fun takenOver(listed: RunOrder = order("former")) = Cell("akl-a", TOKEN).apply {
    updateWorkers(listOf(worker(ID)))
    onRunList(listOf(listed.run), now = 0).stops() shouldBe listOf(listed.run)
    onStopped(ID, listed.run, now = 2)
}

/**
 * A worker that starts whatever it is told to under the highest token that it has seen, with runs of a former owner and orders of it that
 * are still under way, and a cell that takes it over. Calls and answers take some time, and overtake each other; so do stops.
 */
private class UnguardedWorker(seed: Long) {
    private class Run(val demand: Demand, val endsAt: Long, var stopsAt: Long = Long.MAX_VALUE)

    private class Delivery(val at: Long, val apply: () -> Unit)

    private val random = Random(seed)
    private val cell = Cell("akl-a", TOKEN).apply { updateWorkers(listOf(worker(ID))) }
    private val running = HashMap<TaskRun, Run>()
    private val ended = mutableListOf<EndedRow>()
    private val deliveries = mutableListOf<Delivery>()

    /** Runs that were stopped before their orders arrived. */
    private val refused = HashSet<TaskRun>()
    private var highestToken = TOKEN - 1
    private var now = 0L
    private var jobs = 0
    private var lastEnd = 0L
    val violations = mutableListOf<String>()
    var starts = 0
        private set

    init {
        // Together with the orders under way, at most 14 of 16 cores.
        repeat(random.nextInt(1, 4)) { running[order("former-$it").run] = Run(Demand(random.nextInt(1, 5) * 1_000, 64), nextEnd()) }
        repeat(random.nextInt(3)) { later { start(order("under-way-$it"), Demand(1_000, 64), TOKEN - 1) } }
    }

    private fun nextEnd() = now + random.nextLong(20, 2_000)

    fun simulate(ms: Long) = repeat((ms / STEP_MS).toInt()) {
        now += STEP_MS
        endDue()
        deliveries.filter { it.at <= now }.sortedBy { it.at }.forEach {
            deliveries -= it
            it.apply()
        }
        if (random.nextDouble() < LIST_SHARE) readRunList()
        cell.tick(now).stops().forEach { stop(it) }
        place()
    }

    private fun endDue() = running.entries.filter { minOf(it.value.endsAt, it.value.stopsAt) <= now }.forEach { (run, _) ->
        running -= run
        ended += EndedRow(++lastEnd, run, RunEnd.LOST)
    }

    private fun readRunList() {
        val plan = cell.planLease(ID, now) ?: cell.planPoll(ID, now) ?: return
        later {
            highestToken = TOKEN
            ended.removeIf { it.number <= plan.call.seenEnd }
            val report = LeaseReport(now, startedAtMs = 1, running.keys.map { RunningRow(it, percent = 50) }, ended.toList())
            later { cell.onReport(plan, report, now).stops().forEach { stop(it) } }
        }
    }

    private fun stop(run: TaskRun) = later {
        highestToken = TOKEN
        running[run]?.let { it.stopsAt = minOf(it.stopsAt, now + random.nextLong(MAX_STOP_MS)) } ?: refused.add(run)
        later { cell.onStopped(ID, run, now) }
    }

    /** An order under [token] has arrived. Returns false if it is refused. */
    private fun start(order: RunOrder, demand: Demand, token: Long): Boolean {
        if (token < highestToken || order.run in refused) return false
        highestToken = token
        running[order.run] = Run(demand, nextEnd())
        val used = running.values.sumOf { it.demand.cpuMilli }
        if (used > CAPACITY_MILLI) violations += "$now: $used of $CAPACITY_MILLI in use after the start of ${order.run}"
        return true
    }

    private fun later(maxMs: Long = MAX_DELAY_MS, apply: () -> Unit) {
        deliveries += Delivery(now + random.nextLong(1, maxMs), apply)
    }

    private fun place() {
        val order = order("j${jobs++}").copy(demand = Demand(random.nextInt(1, 8) * 1_000, 64))
        val placement = cell.place(order, now) ?: return
        // The answer to some orders is lost, so that the cell may take their runs for lost. Some of these orders arrive much later.
        if (random.nextDouble() < LOST_ANSWER_SHARE) {
            later(maxMs = MAX_LATE_MS) { start(order, order.demand, TOKEN) }
            deliveries += Delivery(now + ANSWER_TIMEOUT_MS) { cell.onStart(placement, StartOutcome.Unknown("lost"), now) }
        } else {
            later {
                val outcome = if (start(order, order.demand, TOKEN)) StartOutcome.Started(now) else LATE
                later { cell.onStart(placement, outcome, now) }
            }
        }
        starts++
    }

    private companion object {
        const val STEP_MS = 2L
        const val LIST_SHARE = 0.1
        const val LOST_ANSWER_SHARE = 0.2
        const val MAX_DELAY_MS = 30L
        const val MAX_STOP_MS = 50L
        const val MAX_LATE_MS = 600L
        const val ANSWER_TIMEOUT_MS = 60L
        val CAPACITY_MILLI = worker(ID).capacity.cpuMilli
        val LATE = StartOutcome.Refused(StartRefusal.LATE)
    }
}

internal class TakeoverCapacityTest :
    DescribeSpec({
        describe("a run of the former owner whose stop is confirmed") {
            it("uses the whole worker until its end is listed, since its demand is unknown") {
                val cell = takenOver()
                cell.place(order("small").copy(demand = Demand(1)), now = 10).shouldBeNull()
                cell.freeCapacity(10) shouldBe emptyMap()
                cell.onRunList(emptyList(), now = 20, ended = listOf(order("former").run to RunEnd.LOST))
                cell.place(order(), now = 21).shouldNotBeNull()
            }

            it("uses it until a later run list no longer shows it, if its end is not listed") {
                val cell = takenOver()
                cell.onRunList(emptyList(), now = 20)
                cell.place(order(), now = 21).shouldNotBeNull()
            }

            it("does not use it any more if its end was listed by a call that was sent at once") {
                val cell = Cell("akl-a", TOKEN).apply { updateWorkers(listOf(worker(ID))) }
                cell.onRunList(listOf(order("former").run), now = 0)
                cell.onRunList(emptyList(), now = 0, ended = listOf(order("former").run to RunEnd.LOST))
                cell.place(order(), now = 1).shouldNotBeNull()
            }
        }

        describe("a run of this owner that it has taken for lost and that is listed later") {
            /** The order is refused as late, according to an answer that is wrong; the run is started nevertheless. */
            fun cellWithLateRun(order: RunOrder) = Cell("akl-a", TOKEN).apply {
                receiveRunLists(ID)
                onStart(placed(order), StartOutcome.Refused(StartRefusal.LATE), 1)
                onRunList(listOf(order.run), now = 2).stops() shouldHaveSize 1
                onStopped(ID, order.run, now = 3)
            }

            it("uses the capacity that it was ordered with") {
                val cell = cellWithLateRun(order("late"))
                withClue("16 cores are enough for two tasks of 7 cores, not for three") {
                    cell.place(order("b"), now = 10).shouldNotBeNull()
                    cell.place(order("c"), now = 10).shouldBeNull()
                }
            }

            it("counts towards the limit of tasks of its step on one worker") {
                val cell = cellWithLateRun(order("late", index = 0))
                cell.place(order("late", index = 1).copy(maxPerWorker = 1), now = 10).shouldBeNull()
                cell.place(order("late", index = 1).copy(maxPerWorker = 2), now = 10).shouldNotBeNull()
            }
        }

        describe("run lists, stops and lost answers in any order") {
            it("never lead to a start beyond the capacity of a worker that does not guard it, nor do orders of the former owner") {
                var starts = 0
                checkAll(PropTestConfig(seed = SEED, iterations = ROUNDS), Arb.long()) { seed ->
                    val worker = UnguardedWorker(seed)
                    worker.simulate(ms = 4_000)
                    withClue("seed $seed") { worker.violations.shouldBeEmpty() }
                    starts += worker.starts
                }
                starts shouldBeGreaterThan 5 * ROUNDS
            }
        }
    })
