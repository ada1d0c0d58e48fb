/*
 * Compares the policies on the same arrivals in virtual time. Run after mvn package:
 * java -cp target/test-classes:target/dandelionpoint.jar dandelionpoint.coordination.placement.PlacementExperimentKt 0.8
 */
package dandelionpoint.coordination.placement

import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom

/** A job that arrives at the entry VM with index [node]. */
internal class Arrival(val atMs: Double, val node: Int, val tasks: List<VirtualTask>)

/** Generates jobs that arrive at random times at random VMs: half are single requests, the others have up to 1,200 tasks. */
internal class Workload(private val random: Random, private val capacity: Double, private val load: Double, private val vms: Int) {
    private var nextTask = 0

    fun arrivals(endMs: Double): List<Arrival> {
        val sizes = List(20_000) { size() }
        val meanGapMs = sizes.average() * MEAN_WORK_MS / (capacity * load)
        val arrivals = ArrayList<Arrival>()
        var atMs = 0.0
        while (true) {
            // Half the load during warm-up, while slow start limits the workers.
            atMs += -ln(1 - random.nextDouble()) * if (atMs < WARM_UP_MS) 2 * meanGapMs else meanGapMs
            if (atMs >= endMs) return arrivals
            arrivals.add(Arrival(atMs, random.nextInt(vms), List(size()) { VirtualTask(nextTask++, arrivals.size, work()) }))
        }
    }

    private fun size(): Int = if (random.nextDouble() < 0.5) 1 else exp(random.nextDouble() * ln(1_200.0)).toInt().coerceIn(1, 1_200)

    private fun work(): Double = MEAN_WORK_MS * exp(SIGMA * random.asJavaRandom().nextGaussian() - SIGMA * SIGMA / 2)

    private companion object {
        const val MEAN_WORK_MS = 250.0
        const val SIGMA = 0.6
    }
}

/** Finish times of all tasks in the ideal case: one queue in order of arrival, the fastest free slot first, no delay, known speeds. */
internal fun idealFinish(arrivals: List<Arrival>, speeds: List<Double>): Map<Int, Double> {
    val free = PriorityQueue<Double>(compareByDescending { it })
    free.addAll(speeds)
    val busy = PriorityQueue<Pair<Double, Double>>(compareBy { it.first })
    val finish = HashMap<Int, Double>()
    for (arrival in arrivals) {
        var nowMs = arrival.atMs
        while (busy.isNotEmpty() && busy.peek().first <= nowMs) free.add(busy.poll().second)
        for (task in arrival.tasks) {
            if (free.isEmpty()) {
                val (endMs, speed) = busy.poll()
                nowMs = maxOf(nowMs, endMs)
                free.add(speed)
            }
            val speed = free.poll()
            finish[task.id] = nowMs + task.workMs / speed
            busy.add(finish.getValue(task.id) to speed)
        }
    }
    return finish
}

private class Measurements(
    val taskRatios: List<Double>,
    val jobRatios: List<Double>,
    val messagesPerTask: Double,
    val refusals: Int,
    val unfinished: Int,
)

private fun measure(policy: PlacementPolicy, seed: Int, load: Double, settings: PlacementSettings): Measurements {
    val workers = VirtualCluster.workers()
    val speeds = workers.flatMap { (entry, speed) -> List(entry.slots) { speed } }
    val arrivals = Workload(Random(seed), speeds.sum(), load, vms = 7).arrivals(END_MS)
    val ideal = idealFinish(arrivals, speeds)
    val cluster = VirtualCluster(policy, workers, 7, seed = seed, settings = settings)
    arrivals.forEach { arrival -> cluster.at(arrival.atMs) { cluster.submit(cluster.nodes[arrival.node], arrival.tasks) } }
    cluster.runUntil(END_MS + DRAIN_MS)
    val counted = arrivals.filter { it.atMs >= COUNTED_FROM_MS }
    val finished = cluster.finishedMs
    val tasks = counted.flatMap { job -> job.tasks.map { ratio(finished[it.id], ideal.getValue(it.id), job.atMs) } }
    val jobs = counted.map { job ->
        ratio(job.tasks.maxOf { finished[it.id] ?: LOST }, job.tasks.maxOf { ideal.getValue(it.id) }, job.atMs)
    }
    val total = arrivals.sumOf { it.tasks.size }
    return Measurements(tasks.sorted(), jobs.sorted(), cluster.messages.toDouble() / total, cluster.refusals, total - finished.size)
}

private fun ratio(finishMs: Double?, idealMs: Double, startMs: Double) = ((finishMs ?: LOST) - startMs) / (idealMs - startMs)

private fun List<Double>.quantile(q: Double) = this[((size - 1) * q).toInt()]

private const val END_MS = 60_000.0
private const val DRAIN_MS = 60_000.0
private const val WARM_UP_MS = 5_000.0
private const val COUNTED_FROM_MS = 10_000.0
private const val LOST = 1e9

/** Arguments: load (0.8), comma-separated policies (all), first seed (1), number of seeds (5). */
fun main(arguments: Array<String>) {
    val load = arguments.getOrNull(0)?.toDouble() ?: 0.8
    val policies = arguments.getOrNull(1)?.split(",")?.map { requireNotNull(PlacementPolicy.named(it)) } ?: PlacementPolicy.all
    val first = arguments.getOrNull(2)?.toInt() ?: 1
    val seeds = first until first + (arguments.getOrNull(3)?.toInt() ?: 5)
    val runs = seeds.map { seed -> policies.associateWith { measure(it, seed, load, PlacementSettings()) } }
    println("load $load, seeds $seeds; median over seeds (lowest to highest)")
    println(
        "%-17s %-19s %-19s %-19s %-19s %-19s %s".format(
            "policy",
            "task p50",
            "task p99",
            "job p50",
            "job p99",
            "messages/task",
            "refused/lost",
        ),
    )
    for (policy in policies) {
        val measurements = runs.map { it.getValue(policy) }
        val columns = listOf<(Measurements) -> Double>(
            { it.taskRatios.quantile(0.5) },
            { it.taskRatios.quantile(0.99) },
            { it.jobRatios.quantile(0.5) },
            { it.jobRatios.quantile(0.99) },
            { it.messagesPerTask },
        ).map { column -> measurements.map(column).sorted().let { "%.2f (%.2f-%.2f)".format(it[it.size / 2], it.first(), it.last()) } }
        val ends = "${measurements.sumOf { it.refusals }}/${measurements.sumOf { it.unfinished }}"
        println("%-17s %-19s %-19s %-19s %-19s %-19s %s".format(policy.settingName, *columns.toTypedArray(), ends))
    }
}
