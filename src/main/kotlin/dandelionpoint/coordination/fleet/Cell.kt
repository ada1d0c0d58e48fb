/*
 * The workers of one cell under one fencing token. Plain state behind one lock: orders, outcomes, lists of runs and time go in, events
 * come out; the keeper around it does the calls. A run that this cell does not know is stopped wherever a list shows it, so that an
 * order that a worker carried out late has no lasting effect.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.EndedRow
import dandelionpoint.protocol.fleet.LeaseReport
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.RunningRow
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.StartRefusal
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.peer.FreeRoom
import kotlin.math.max

/** What the keeper has to do or to pass on. */
internal sealed interface CellEvent {
    /** [order] has ended; it no longer runs anywhere. [workerId] is where it was. */
    data class Ended(val order: RunOrder, val end: RunEnd, val workerId: String) : CellEvent

    /** The run is to be stopped at the worker. */
    data class Stop(val worker: WorkerEntry, val run: TaskRun) : CellEvent

    /** The worker is to be asked for its list of runs at once. */
    data class Look(val workerId: String) : CellEvent

    /** Another keeper has a higher token. */
    data object Fenced : CellEvent
}

/** A start that the keeper has to send. */
internal data class Placement(val worker: WorkerEntry, val order: RunOrder, val leaseUntilMs: Long)

/** The workers of the cell [name]. All times are in ms on the VM's monotonic clock. */
internal class Cell(val name: String, val token: Long, private val rules: FleetRules = FleetRules()) {
    private val lock = Any()
    private val seats = LinkedHashMap<String, WorkerSeat>()
    private val unreleased = mutableSetOf<String>()
    private var acceptsRuns = true
    private val leases = LeasePlanner(token, rules, areAnswersFast = { answers.areFast })

    /** Times of the answers to the calls that the keeper has sent. */
    val answers = AnswerTimes(rules)

    /** Takes the list of the cell's workers. Workers that left it end their runs once their lease has expired. */
    fun updateWorkers(entries: List<WorkerEntry>) = synchronized(lock) {
        entries.forEach { entry ->
            val seat = seats.getOrPut(entry.id) { WorkerSeat(entry, rules).also { it.isReleased = entry.id !in unreleased } }
            val isReborn = entry.bornMs != 0L && seat.bornMs != 0L && entry.bornMs > seat.bornMs
            if (isReborn) seat.forgetList()
            seat.entry = entry
        }
        val listed = entries.map { it.id }.toSet()
        seats.values.filter { it.entry.id !in listed }.forEach { it.entry = it.entry.copy(isDraining = true) }
        seats.values.removeIf { it.entry.id !in listed && it.runs.isEmpty() }
        Unit
    }

    /** Waits with the workers in [ids] until their former keeper releases them. */
    fun awaitRelease(ids: Set<String>) = synchronized(lock) {
        unreleased += ids
        ids.forEach { seats[it]?.isReleased = false }
    }

    /** The former keeper has left the workers in [ids], or all of them if null. */
    fun release(ids: Set<String>?) = synchronized(lock) {
        if (ids == null) unreleased.clear() else unreleased -= ids
        seats.values.filter { ids == null || it.entry.id in ids }.forEach { it.isReleased = true }
    }

    /** Takes no more runs. */
    fun close() = synchronized(lock) { acceptsRuns = false }

    fun workerIds(): Set<String> = synchronized(lock) { seats.keys.toSet() }

    /** Workers without runs. */
    fun idleWorkerIds(): Set<String> = synchronized(lock) { seats.values.filter { it.runs.isEmpty() }.map { it.entry.id }.toSet() }

    fun runCount(): Int = synchronized(lock) { seats.values.sumOf { it.runs.size } }

    /** Room that is free on usable workers, by pool. */
    fun rooms(now: Long): Map<String, List<FreeRoom>> = synchronized(lock) {
        if (!acceptsRuns) return@synchronized emptyMap()
        seats.values
            .filter { it.isUsable() && it.runs.size < it.trust.runLimit(now) && it.free().cpuMilli > 0 }
            .groupBy({ it.entry.pool }) { FreeRoom(it.free(), it.trust.speed.toFloat()) }
    }

    /** Cores of the workers by pool that are usable, or will be once their first list has come, for estimates of the waiting time. */
    fun cores(): Map<String, Int> = synchronized(lock) {
        seats.values.filter { it.isUsable() || it.isExpected() }.groupBy { it.entry.pool }.mapValues { (_, same) ->
            same.sumOf { it.entry.capacity.cpuMilli } /
                MILLI
        }
    }

    /** Chooses a worker for [order] and occupies its room; null if it fits nowhere. */
    fun place(order: RunOrder, now: Long): Placement? = synchronized(lock) {
        if (!acceptsRuns) return@synchronized null
        val barred = order.avoid?.takeIf { order.hasFailed && seats.values.any { it.entry.id != order.avoid && it.couldTake(order, now) } }
        val seat = seats.values.filter { it.entry.id != barred && it.fits(order, now) }.minByOrNull { cost(it, order) }
            ?: return@synchronized null
        val run = SeatedRun(order, now)
        seat.runs[order.task] = run
        seat.extendLease(now)
        Placement(seat.entry, order, seat.workerClock(now) + rules.leaseMs)
    }

    private fun cost(seat: WorkerSeat, order: RunOrder): Long {
        val away = if (order.rack != null && order.rack !in seat.entry.labels) 2 else 1
        val avoided = if (seat.entry.id == order.avoid) AVOID_COST_MS else 0
        return seat.expectedMs(order) * away + avoided
    }

    /** Takes the answer to the start of [placement]. */
    fun onStart(placement: Placement, outcome: StartOutcome, now: Long): List<CellEvent> = synchronized(lock) {
        val seat = seats[placement.worker.id] ?: return@synchronized emptyList()
        val run = seat.runs[placement.order.task]?.takeIf { it.order.run == placement.order.run } ?: return@synchronized emptyList()
        when (outcome) {
            is StartOutcome.Started -> {
                seat.readClock(outcome.clockMs, now)
                run.seenRunning(now)
                emptyList()
            }

            is StartOutcome.Refused -> refused(seat, run, outcome.refusal, now)

            is StartOutcome.NotSent -> {
                seat.trust.eject(now, UNREACHABLE_MS)
                listOf(end(seat, run, RunEnd.NOT_STARTED))
            }

            is StartOutcome.Unknown -> {
                run.knownSince = now
                if (run.state == RunState.ORDERED) run.state = RunState.UNCERTAIN
                emptyList()
            }
        }
    }

    private fun refused(seat: WorkerSeat, run: SeatedRun, refusal: StartRefusal, now: Long): List<CellEvent> {
        val ended = end(seat, run, RunEnd.NOT_STARTED)
        when (refusal) {
            StartRefusal.FENCED -> return listOf(ended, CellEvent.Fenced)
            StartRefusal.NO_ROOM, StartRefusal.UNHEALTHY -> seat.trust.eject(now, REFUSED_MS)
            StartRefusal.OTHER_INCARNATION -> seat.isKnown = false
            StartRefusal.OUTDATED_RUN, StartRefusal.LATE, StartRefusal.INVALID -> Unit
        }
        return listOf(ended)
    }

    /** The next lease call for the worker [id], or null if there is nothing to renew, to acknowledge or to learn. */
    fun planLease(id: String, now: Long): LeasePlan? = synchronized(lock) { seats[id]?.let { leases.next(it, now) } }

    /** A call for the worker's list of runs as it is now, after a call without an answer. */
    fun planLook(id: String, now: Long): LeasePlan? = synchronized(lock) { seats[id]?.let { leases.look(it, now) } }

    /** A call to a worker was lost, which others may be as well. */
    fun callLost(now: Long) = synchronized(lock) { leases.callLost(now) }

    /** True while the worker has runs, so that its lease has to be renewed without delay. */
    fun hasRuns(id: String): Boolean = synchronized(lock) { seats[id]?.runs?.isNotEmpty() == true }

    /** Takes the worker's list of runs, the answer to [plan]. */
    fun onReport(plan: LeasePlan, report: LeaseReport, now: Long): List<CellEvent> = synchronized(lock) {
        val seat = seats[plan.worker.id] ?: return@synchronized emptyList()
        if (report.bornMs != 0L && report.bornMs < seat.bornMs) return@synchronized emptyList()
        // The new incarnation may already have runs of this cell: what it does not list ends below, like any run that a list lacks.
        if (report.bornMs > seat.bornMs) seat.startAnew(report.bornMs)
        val events = mutableListOf<CellEvent>()
        seat.readClock(report.clockMs, now)
        seat.isAnswering = true
        seat.acknowledgedEnd = max(seat.acknowledgedEnd, plan.call.seenEnd)
        report.ended.sortedBy { it.number }.forEach { events += takeEnd(seat, it, now) }
        report.running.forEach { events += takeRunning(seat, it, now) }
        events += missing(seat, plan, report, now)
        seat.isKnown = true
        events
    }

    private fun takeEnd(seat: WorkerSeat, row: EndedRow, now: Long): List<CellEvent> {
        if (row.number <= seat.handledEnd) return emptyList()
        seat.handledEnd = row.number
        val run = seat.runs[row.run.task]?.takeIf { it.order.run == row.run } ?: return emptyList()
        when (row.end) {
            RunEnd.DONE -> seat.trust.succeeded(now - run.orderedAt, run.order.estimateMs)
            RunEnd.FAILED -> seat.trust.failed(run.order.task.jobId, now)
            RunEnd.LOST, RunEnd.NOT_STARTED -> Unit
        }
        return listOf(end(seat, run, row.end))
    }

    private fun takeRunning(seat: WorkerSeat, row: RunningRow, now: Long): List<CellEvent> {
        val run = seat.runs[row.run.task]?.takeIf { it.order.run == row.run }
        run?.seenRunning(now)
        if (run == null || run.state == RunState.STOPPING) return listOf(CellEvent.Stop(seat.entry, row.run))
        if (!seat.isStuck(run, row.percent, now)) return emptyList()
        seat.trust.eject(now)
        run.state = RunState.STOPPING
        return listOf(CellEvent.Stop(seat.entry, row.run))
    }

    /** Ends the runs that [report] should list and does not. */
    private fun missing(seat: WorkerSeat, plan: LeasePlan, report: LeaseReport, now: Long): List<CellEvent> {
        val present = report.running.map { it.run }.toSet()
        return seat.runs.values.filter { it.order.run !in present && it.knownSince < plan.sentAt }.map { run ->
            if (!run.hasStarted && !run.isStopConfirmed) {
                // The order may still arrive.
                CellEvent.Stop(seat.entry, run.order.run)
            } else {
                seat.trust.eject(now, UNREACHABLE_MS)
                end(seat, run, RunEnd.LOST)
            }
        }
    }

    /** The worker has confirmed the stop of [run]: it does not run there and will not. No end wakes a lease call if it never started. */
    fun onStopped(workerId: String, run: TaskRun, now: Long): List<CellEvent> = synchronized(lock) {
        val seat = seats[workerId] ?: return@synchronized emptyList()
        val seated = seat.runs[run.task]?.takeIf { it.order.run == run } ?: return@synchronized emptyList()
        seated.stopConfirmed(now)
        if (seated.hasStarted) emptyList() else listOf(CellEvent.Look(workerId))
    }

    /** The worker left [plan] unanswered. */
    fun onNoAnswer(plan: LeasePlan) {
        synchronized(lock) { seats[plan.worker.id]?.isAnswering = false }
    }

    /** The worker's address belongs to another incarnation: its runs are gone. */
    fun onOtherIncarnation(plan: LeasePlan, now: Long): List<CellEvent> = synchronized(lock) {
        val seat = seats[plan.worker.id] ?: return@synchronized emptyList()
        seat.isAnswering = false
        seat.trust.eject(now)
        seat.forgetList()
        seat.runs.values.toList().map { end(seat, it, RunEnd.LOST) }
    }

    /** Stops the runs that [matches] selects. */
    fun stopRuns(matches: (RunOrder) -> Boolean): List<CellEvent> = synchronized(lock) {
        seats.values.flatMap { seat ->
            seat.runs.values.filter { matches(it.order) && it.state != RunState.STOPPING }.map {
                it.state = RunState.STOPPING
                CellEvent.Stop(seat.entry, it.order.run)
            }
        }
    }

    /** Ends the runs whose lease has certainly expired. */
    fun tick(now: Long): List<CellEvent> = synchronized(lock) {
        seats.values.filter { it.runs.isNotEmpty() && now > it.leaseEndsAt && !it.isAnswering }.flatMap { seat ->
            seat.trust.eject(now)
            seat.runs.values.toList().map { end(seat, it, RunEnd.LOST) }
        }
    }

    /** Ends all runs here without a call: another keeper has them now. */
    fun abandon(): List<CellEvent> = synchronized(lock) {
        acceptsRuns = false
        seats.values.flatMap { seat -> seat.runs.values.toList().map { end(seat, it, RunEnd.LOST) } }
    }

    private fun end(seat: WorkerSeat, run: SeatedRun, how: RunEnd): CellEvent {
        seat.runs.remove(run.order.task)
        return CellEvent.Ended(run.order, how, seat.entry.id)
    }

    private companion object {
        const val MILLI = 1_000

        /** Makes a worker the last choice. */
        const val AVOID_COST_MS = 1_000_000L

        /** How long a worker is avoided after it could not be reached, in ms. */
        const val UNREACHABLE_MS = 500L

        /** How long a worker is avoided after it refused a run that should fit, in ms. */
        const val REFUSED_MS = 300L
    }
}
