/*
 * A pool of workers near its capacity, in virtual time and without a network: tasks arrive at random, wait in order of arrival and are
 * started where [choose], or another rule, decides. Used by tests and by [main] of PlacementExperiment.kt. Times in ms.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.math.max
import kotlin.random.Random

/** A kind of task: [perSecond] of them arrive, each with about [cores] (a fifth more or less) and a run time of [runMs]. */
internal data class TaskKind(val name: String, val perSecond: Double, val cores: Double, val runMs: Long, val rackShare: Double = 0.0)

/** Time from the arrival within which a task of this kind is on time, as the operators define it. */
internal val TaskKind.onTimeMs: Long get() = runMs * 16 / 10 + 61

/** Chooses one of the workers on which a task can be started now; null lets it wait. */
internal fun interface ChoiceRule {
    fun choose(order: RunOrder, candidates: List<CandidateWorker>): CandidateWorker?
}

internal val BEST_FIT = ChoiceRule { _, candidates -> candidates.choose { it } }
internal val FASTEST = ChoiceRule { _, candidates -> candidates.minByOrNull { it.expectedMs } }

/** Errors of the estimates: off by up to [spread] of the run time; of the tasks, [outlierShare] take [outlierFactor] times as long. */
internal data class EstimateErrors(val spread: Double = 0.0, val outlierShare: Double = 0.0, val outlierFactor: Double = 1.0)

/**
 * A pool in which every third worker is 1.5 times as large. With [hasKindLabels] the workers have a label that tells their speed; one of
 * them restarts each [restartEveryMs] (0: none does) while no run of it is in progress.
 */
internal data class PoolShape(
    val workers: Int = 16,
    val perRack: Int = 4,
    val speeds: List<Double> = listOf(0.7, 0.7, 1.7),
    val hasKindLabels: Boolean = true,
    val restartEveryMs: Long = 0,
)

/** What a simulation has measured. [unusableShare] is the part of the pool's cores that was free but fitted no task while some waited. */
internal class PlacementResult(
    val unusableShare: Double,
    private val waits: Map<String, List<Long>>,
    private val ends: Map<String, List<Long>>,
) {
    val started: Int get() = waits.values.sumOf { it.size }

    /** Longest wait of any task of a [kind]. */
    fun longestWaitMs(kind: String): Long = waits[kind].orEmpty().maxOrNull() ?: 0

    fun meanWaitMs(kind: String): Double = waits[kind].orEmpty().average()

    /** Mean time from the arrival to the end. */
    fun meanEndMs(kind: String): Double = ends[kind].orEmpty().average()

    /** Share of the tasks of a [kind] that ended within [limitMs] of their arrival. */
    fun shareWithin(kind: String, limitMs: Long): Double = ends[kind].orEmpty().let { all ->
        all.count { it <= limitMs }.toDouble() /
            all.size
    }
}

internal class PlacementSimulation(
    seed: Long,
    private val kinds: List<TaskKind>,
    private val rule: ChoiceRule,
    private val lengthMs: Long = 20_000,
    private val shape: PoolShape = PoolShape(),
    private val errors: EstimateErrors = EstimateErrors(),
    private val rules: FleetRules = FleetRules(),
    private val mayWaitForRack: Boolean = true,
    private val avoidsRacksInDemand: Boolean = true,
) {
    private class Task(val kind: TaskKind, val order: RunOrder, val runMs: Double, val arrivedAt: Long)

    private class Running(val task: Task, val worker: TrackedWorker, val endsAt: Long)

    private val random = Random(seed)
    private val labelSpeeds = LabelSpeeds()
    private val rackWaits = RackWaits()
    private val rackDemand = RackDemand()
    val workers = List(shape.workers) { index -> tracked(index) }
    private val speeds = List(shape.workers) { shape.speeds[it % shape.speeds.size] }
    private val waiting = ArrayDeque<Task>()
    private val running = PriorityQueue<Running>(compareBy { it.endsAt })
    private val waits = HashMap<String, MutableList<Long>>()
    private val ends = HashMap<String, MutableList<Long>>()
    private var unusableMilliMs = 0.0
    private var count = 0
    private val restarts = Random(seed)
    private var nextRestart = 0L

    private fun tracked(index: Int): TrackedWorker {
        val cores = if (index % 3 == 1) 48 else 32
        val entry = worker("w$index").copy(capacity = Demand(cores * 1_000, 262_144), labels = labels(index))
        return TrackedWorker(entry, rules, labelSpeeds = labelSpeeds).apply { hasRunList = true }
    }

    private fun labels(index: Int) = setOfNotNull(
        "all",
        rack(index / shape.perRack),
        "kind-${index % shape.speeds.size}".takeIf { shape.hasKindLabels },
    )

    private fun rack(number: Int) = "rack-$number"

    fun run(): PlacementResult {
        val arrivals = arrivals()
        var next = 0
        var now = 0L
        while (next < arrivals.size || waiting.isNotEmpty() || running.isNotEmpty()) {
            val at = minOf(arrivals.getOrNull(next)?.arrivedAt ?: Long.MAX_VALUE, running.peek()?.endsAt ?: Long.MAX_VALUE, now + TICK_MS)
            if (at < lengthMs) recordUnusable(at - now)
            now = at
            check(now < lengthMs * MAX_LENGTHS) { "${waiting.size} tasks wait for ever" }
            while (running.isNotEmpty() && running.peek().endsAt <= now) end(running.poll(), now)
            while (next < arrivals.size && arrivals[next].arrivedAt <= now) waiting += arrivals[next++]
            restart(now)
            schedule(now)
        }
        val cores = workers.sumOf { it.entry.capacity.cpuMilli.toLong() }
        return PlacementResult(unusableMilliMs / (cores.toDouble() * lengthMs), waits, ends)
    }

    private fun restart(now: Long) {
        if (shape.restartEveryMs == 0L || now < nextRestart) return
        nextRestart = now + shape.restartEveryMs
        workers.filter { it.runs.isEmpty() }.randomOrNull(restarts)?.health?.forgetSpeed()
    }

    private fun arrivals(): List<Task> = kinds.flatMap { kind ->
        generateSequence(gap(kind)) { it + gap(kind) }.takeWhile { it < lengthMs }.map { task(kind, it.toLong()) }.toList()
    }.sortedBy { it.arrivedAt }

    private fun gap(kind: TaskKind): Double = -ln(1 - random.nextDouble()) * 1_000 / kind.perSecond

    private fun task(kind: TaskKind, arrivedAt: Long): Task {
        val error = 1 + errors.spread * (2 * random.nextDouble() - 1)
        val outlier = if (random.nextDouble() < errors.outlierShare) errors.outlierFactor else 1.0
        val demand = Demand((kind.cores * 1_000 * (0.8 + 0.4 * random.nextDouble())).toInt(), 64)
        val order = order().copy(
            run = TaskRun(TaskRef("job-${count++}", 0, 0), 1),
            demand = demand,
            estimateMs = max(1, (kind.runMs * error).toLong()),
            rack = rack(0).takeIf { random.nextDouble() < kind.rackShare },
            latestStartAt = arrivedAt + kind.onTimeMs - kind.runMs,
        )
        return Task(kind, order, kind.runMs * outlier, arrivedAt)
    }

    /** As a pass of [Dispatch]: tasks that fit nowhere are passed over, until there are 16 of them. */
    private fun schedule(now: Long) {
        var unplaced = 0
        val tasks = waiting.iterator()
        while (tasks.hasNext() && unplaced < MAX_UNPLACED) {
            val task = tasks.next()
            val chosen = choose(task.order, now)
            if (chosen == null) {
                unplaced++
            } else {
                tasks.remove()
                start(task, workers.first { it.entry.id == chosen.workerId }, now)
            }
        }
    }

    private fun choose(order: RunOrder, now: Long): CandidateWorker? {
        val racks = if (avoidsRacksInDemand) rackDemand.racksToAvoid(order, now) else emptySet()
        val chosen = rule.choose(order, workers.candidates(order, now, excluded = null, racks)) ?: return null
        if (chosen.isInRack || !mayWaitForRack) return chosen
        return chosen.takeUnless { rackWaits.waits(order, workers.rackSlots(order, now), chosen.expectedMs, now) }
    }

    private fun start(task: Task, worker: TrackedWorker, now: Long) {
        rackWaits.forget(task.order.task)
        worker.addRun(task.order, now)
        check(worker.entry.capacity.covers(worker.runs.values.fold(Demand(0)) { sum, run -> sum + run.order.demand })) { "overbooked" }
        val penalty = if (worker.isInRack(task.order)) 1.0 else rules.remotePenalty
        val runMs = task.runMs * penalty / speeds[workers.indexOf(worker)]
        waits.getOrPut(task.kind.name) { mutableListOf() } += now - task.arrivedAt
        running += Running(task, worker, now + max(1, runMs.toLong()))
    }

    private fun end(run: Running, now: Long) {
        val tracked = checkNotNull(run.worker.runs[run.task.order.task])
        run.worker.applyDone(tracked, now)
        ends.getOrPut(run.task.kind.name) { mutableListOf() } += now - run.task.arrivedAt
    }

    private fun TrackedWorker.applyDone(run: TrackedRun, now: Long) {
        health.succeeded(now - run.orderedAt, averageMs(run.order))
        removeRun(run.order.task)
    }

    private fun recordUnusable(forMs: Long) {
        if (waiting.isEmpty()) return
        val smallest = waiting.minOf { it.order.demand.cpuMilli }
        unusableMilliMs += workers.sumOf { it.free().cpuMilli.takeIf { free -> free < smallest } ?: 0 }.toDouble() * forMs
    }

    private companion object {
        const val TICK_MS = 50L
        const val MAX_UNPLACED = 16

        /** The tasks that have arrived must have ended after this many times the period of arrivals. */
        const val MAX_LENGTHS = 10
    }
}
