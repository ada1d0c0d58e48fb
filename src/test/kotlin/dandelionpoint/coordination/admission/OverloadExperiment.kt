/*
 * Simulates overload control in virtual time: 7 VMs with their team queues and one pool of slots, without placement and network.
 * Run: java -cp target/dandelionpoint.jar:target/test-classes dandelionpoint.coordination.admission.OverloadExperimentKt
 */
package dandelionpoint.coordination.admission

import dandelionpoint.protocol.ResultCode
import dandelionpoint.state.queue.QueuedJob
import dandelionpoint.state.queue.QueuedTask
import java.util.PriorityQueue
import kotlin.math.abs
import kotlin.math.pow
import kotlin.random.Random

private const val WINDOW_START_MS = 30_000.0
private const val CLASSES = 8
private val QUOTAS = linkedMapOf("a" to 30.0, "b" to 25.0, "c" to 20.0, "d" to 12.0, "e" to 8.0, "f" to 5.0)

/** A variant to compare: [asQueued] converts a job and the current time in ms to the job that is queued; [safety] as in [QueueSettings]. */
internal enum class Variant(val safety: Double, val asQueued: (QueuedJob, Long) -> QueuedJob) {
    RULES(1.0, { job, _ -> job }),
    EDF_WITHOUT_ADMISSION(0.0, { job, _ -> job }),
    FIFO_WITH_ADMISSION(1.0, { job, now -> job.copy(team = "a", deadlineMs = now + 5_000) }),
    FIFO(0.0, { job, now -> job.copy(team = "a", deadlineMs = now + 1_000_000_000) }),
}

/** How slots are divided among the VMs with waiting tasks: in equal numbers, or in proportion to the number of these tasks. */
internal enum class Pool { EQUAL, BY_WAITING }

internal class OverloadResult(
    val goodput: Double,
    val shareErrors: Map<String, Double>,
    val refused: Map<ResultCode, Int>,
    val counts: String,
)

/** One run. Jobs of all sizes, with deadlines from 1.5 s to 90 s, offer [load] times the capacity of the cluster. */
internal class OverloadExperiment(
    seed: Int,
    private val load: Double,
    private val variant: Variant,
    private val pool: Pool = Pool.EQUAL,
    windowMs: Double = 300_000.0,
) {
    private class Vm(val queues: TeamQueues) {
        val estimatedMs = DoubleArray(CLASSES)
        val samples = IntArray(CLASSES)
        var busySlots = 0
    }

    private class Job(
        val queued: QueuedJob,
        val vm: Vm,
        val kind: Int,
        val deadlineMs: Double,
        var remaining: Int,
        var work: Double = 0.0,
    ) {
        var workInWindow = 0.0
    }

    private val random = Random(seed)
    private val runRandom = Random(seed + 1_000)
    private val clock = ManualClock()
    private val maker = JobMaker(seed)
    private val endMs = WINDOW_START_MS + windowMs
    private val events = PriorityQueue<Pair<Double, () -> Unit>>(compareBy { it.first })
    private val vms = List(7) { Vm(TeamQueues(QueueSettings(safety = variant.safety), clock).apply { updateTeams(QUOTAS) }) }
    private val idleSpeeds = ArrayList(List(32) { random.nextDouble(0.6, 1.6) }.flatMap { speed -> List(8) { speed } })
    private val capacity = ClusterCapacity(idleSpeeds.size, idleSpeeds.sum(), highestSpeed = 1.6)
    private val classMeansMs = List(CLASSES) { 100.0 * 7.0.pow(it / (CLASSES - 1.0)) }
    private val jobs = HashMap<QueuedJob, Job>()
    private val completedMs = QUOTAS.mapValues { 0.0 }.toMutableMap()
    private val offeredMs = QUOTAS.mapValues { 0.0 }.toMutableMap()
    private val refused = sortedMapOf<ResultCode, Int>()
    private val counts = List(KINDS.size) { IntArray(4) }

    fun run(): OverloadResult {
        vms.forEachIndexed { index, vm -> at(index * 35.0) { heartbeat(vm, index) } }
        QUOTAS.keys.forEach { team -> arrivals(team, perTeam = load / QUOTAS.size * random.nextDouble(0.7, 1.3)) }
        while (events.isNotEmpty()) {
            val (timeMs, action) = events.poll()
            clock.nowMs = timeMs
            action()
        }
        val total = completedMs.values.sum()
        val capacityMs = capacity.speedSum * (endMs - WINDOW_START_MS)
        val ideal = QUOTAS.mapValues { (team, weight) ->
            val others = QUOTAS.filterKeys { it != team }.map { TeamDemand(it.value, offeredMs.getValue(it.key)) }
            minOf(offeredMs.getValue(team), shareOf(weight, others, capacityMs))
        }
        val errors = completedMs.mapValues { (team, ms) -> ms / total / (ideal.getValue(team) / ideal.values.sum()) - 1 }
        val text = KINDS.zip(counts).joinToString { (kind, n) -> "$kind offered ${n[0]} refused ${n[1]} expired ${n[2]} missed ${n[3]}" }
        return OverloadResult(total / capacityMs, errors, refused, text)
    }

    private fun at(timeMs: Double, action: () -> Unit) = events.add(timeMs to action)

    private fun heartbeat(vm: Vm, index: Int) {
        vms.filter { it !== vm }.forEach { it.queues.onPeerLoad("vm$index", vm.queues.loads()) }
        vm.queues.expireLate().forEach { jobs.remove(it)?.let { job -> counts[job.kind][2]++ } }
        vm.queues.abandonLate().forEach { jobs.remove(it)?.let { job -> counts[job.kind][3]++ } }
        if (clock.nowMs < endMs + 100_000) at(clock.nowMs + 250) { heartbeat(vm, index) }
    }

    private fun arrivals(team: String, perTeam: Double) {
        val meanWorkMs = MEAN_TASKS * classMeansMs.average()
        val ratePerMs = perTeam * capacity.speedSum / meanWorkMs
        fun next(timeMs: Double) {
            if (timeMs < endMs) at(timeMs) { arrive(team).also { next(timeMs - Math.log(1 - random.nextDouble()) / ratePerMs) } }
        }
        next(0.0)
    }

    private fun arrive(team: String) {
        val now = clock.nowMs.toLong()
        val kind = random.nextDouble().let {
            if (it < 0.9) {
                0
            } else if (it < 0.98) {
                1
            } else {
                2
            }
        }
        val (tasks, deadlineMs) = when (kind) {
            0 -> 1 to random.nextLong(1_500, 5_000)
            1 -> random.nextInt(2, 51) to random.nextLong(5_000, 20_000)
            else -> random.nextInt(100, 1_201) to random.nextLong(30_000, 90_000)
        }
        val taskClass = random.nextInt(CLASSES)
        val vm = vms.random(random)
        val declaredMs = classMeansMs[taskClass] * random.nextDouble(0.2, 4.0)
        val expectedMs = if (vm.samples[taskClass] < 5) declaredMs else vm.estimatedMs[taskClass]
        val real = maker.job(team, now + deadlineMs, tasks, expectedMs).copy(taskClass = taskClass.toString())
        val queued = variant.asQueued(real, now)
        if (now >= WINDOW_START_MS) {
            counts[kind][0]++
            offeredMs.merge(team, tasks * classMeansMs[taskClass], Double::plus)
        }
        vm.queues.admit(JobDemand(queued), capacity).fold({
            if (now >= WINDOW_START_MS) counts[kind][1]++.also { _ -> refused.merge(it.code, 1, Int::plus) }
        }) {
            jobs[queued] = Job(real, vm, kind, real.deadlineMs.toDouble(), tasks)
            vm.queues.offer(queued)
            at(real.deadlineMs + 0.01) { if (jobs.remove(queued) != null) counts[kind][3]++.also { vm.queues.cancel(queued.id) } }
            fillSlots()
        }
    }

    /** Gives each idle slot to the VM with waiting tasks that has the fewest busy slots, relative to its weight according to [pool]. */
    private fun fillSlots() {
        while (idleSpeeds.isNotEmpty()) {
            val waiting = vms.filter { it.queues.waitingTasks() > 0 }
            if (waiting.isEmpty()) return
            val vm = waiting.minBy {
                if (pool ==
                    Pool.EQUAL
                ) {
                    it.busySlots.toDouble()
                } else {
                    it.busySlots.toDouble() / it.queues.waitingTasks()
                }
            }
            val task = vm.queues.next() ?: continue
            start(vm, task, idleSpeeds.removeAt(runRandom.nextInt(idleSpeeds.size)))
        }
    }

    private fun start(vm: Vm, task: QueuedTask, speed: Double) {
        val taskClass = task.job.taskClass.toInt()
        val workMs = (classMeansMs[taskClass] * runRandom.nextDouble(0.6, 1.4)).coerceIn(50.0, 1_000.0)
        vm.queues.started(task)
        vm.busySlots++
        at(clock.nowMs + workMs / speed) {
            vm.queues.finished(task, workMs / speed)
            vm.busySlots--
            vm.estimatedMs[taskClass] += (workMs - vm.estimatedMs[taskClass]) / minOf(++vm.samples[taskClass], 50)
            jobs[task.job]?.let { onTaskEnded(it, task.job, workMs) }
            idleSpeeds += speed
            fillSlots()
        }
    }

    private fun onTaskEnded(job: Job, key: QueuedJob, workMs: Double) {
        if (clock.nowMs in WINDOW_START_MS..endMs) job.workInWindow += workMs
        if (--job.remaining > 0) return
        jobs.remove(key)
        completedMs.merge(job.queued.team, job.workInWindow, Double::plus)
    }

    private companion object {
        val KINDS = listOf("request", "small", "large")
        const val MEAN_TASKS = 0.9 * 1 + 0.08 * 26 + 0.02 * 650
    }
}

private fun report(variant: Variant, load: Double, pool: Pool, runs: List<OverloadResult>) {
    fun range(values: List<Double>) = "%.3f..%.3f".format(values.min(), values.max())
    val goodput = range(runs.map { it.goodput })
    val errors = QUOTAS.keys.joinToString(" ") { team ->
        team +
            runs.joinToString("/") { "%+.1f".format(it.shareErrors.getValue(team) * 100) }
    }
    println("$variant $pool load $load goodput $goodput worst ${range(runs.map { run -> run.shareErrors.values.maxOf { abs(it) } })}")
    println("  share error % $errors")
    runs.forEach { println("  ${it.refused} ${it.counts}") }
}

fun main(args: Array<String>) {
    val variants = if (args.isEmpty()) Variant.entries else args[0].split(",").map { Variant.valueOf(it) }
    val pools = if (args.size < 2) Pool.entries else args[1].split(",").map { Pool.valueOf(it) }
    for (variant in variants) {
        for (pool in pools) {
            for (load in listOf(0.8, 1.0, 2.0)) {
                report(variant, load, pool, (1..5).map { OverloadExperiment(it, load, variant, pool).run() })
            }
        }
    }
}
