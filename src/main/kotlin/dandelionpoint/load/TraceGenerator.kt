/* Generates the traces of the two deployments from a seed. */
package dandelionpoint.load

import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.math.sin
import kotlin.random.Random

private const val LENGTH_MS = 60_000.0

/** 32 workers with 8 slots each; the mean of the speeds, which lie between 0.5 and 2, is 1.25. */
private const val CAPACITY = 256 * 1.25
private const val TOTAL_WORK_MS = LENGTH_MS * CAPACITY
private const val SERIES_MS = 1_000.0

/** A kind of request, with its share of all requests, its team, its class and the median of its run times. */
private data class RequestKind(val share: Double, val team: String, val taskClass: String, val medianMs: Double, val idempotent: Boolean)

/** A kind of job, with its share of all jobs. The number of tasks is distributed log-uniformly over [tasks]. */
private data class JobKind(
    val share: Double,
    val team: String,
    val taskClass: String,
    val tasks: IntRange,
    val medianMs: Double,
    val minMs: Double,
    val longShare: Double,
)

/** The workload of a deployment. [rate] maps a position in the trace, from 0 to 1, to the relative arrival rate, at most [PEAK_RATE]. */
private class Deployment(
    val name: String,
    val requestWorkShare: Double,
    val requestDeadlineMs: Int,
    val jobDeadlineMs: IntRange,
    val resubmittedShare: Double,
    val requests: List<RequestKind>,
    val jobs: List<JobKind>,
    val rate: (Double) -> Double,
) {
    companion object {
        const val PEAK_RATE = 2.0
    }
}

/** End of a quarter: a steady stream of lookups, and certificate jobs in three waves. */
private val cremaQuarterEnd =
    Deployment(
        name = "crema-quarter-end",
        requestWorkShare = 0.10,
        requestDeadlineMs = 5_000,
        jobDeadlineMs = 15_000..40_000,
        resubmittedShare = 0.0,
        requests =
        listOf(
            RequestKind(0.45, "lookups", "assessment-result", 110.0, idempotent = true),
            RequestKind(0.30, "lookups", "panel-score", 90.0, idempotent = true),
            RequestKind(0.15, "certificates", "certification-check", 160.0, idempotent = true),
            RequestKind(0.10, "billing", "booking", 130.0, idempotent = false),
        ),
        jobs =
        listOf(
            JobKind(0.70, "certificates", "certificate", 50..1_200, 180.0, 50.0, longShare = 0.0),
            JobKind(0.20, "billing", "invoice", 50..600, 120.0, 50.0, longShare = 0.0),
            JobKind(0.10, "lookups", "tally", 50..200, 250.0, 50.0, longShare = 0.0),
        ),
        rate = { 1 + 0.6 * sin(it * 6 * PI) },
    )

/** Thursday: track jobs at a rate that rises towards the evening, and clients that submit a job again because they assume it lost. */
private val coralloThursday =
    Deployment(
        name = "corallo-thursday",
        requestWorkShare = 0.03,
        requestDeadlineMs = 5_000,
        jobDeadlineMs = 30_000..60_000,
        resubmittedShare = 0.06,
        requests =
        listOf(
            RequestKind(0.70, "tracks", "track-status", 90.0, idempotent = true),
            RequestKind(0.30, "billing", "charge", 120.0, idempotent = false),
        ),
        jobs =
        listOf(
            JobKind(0.65, "tracks", "track", 20..600, 350.0, 100.0, longShare = 0.01),
            JobKind(0.25, "scores", "score", 20..300, 250.0, 100.0, longShare = 0.005),
            JobKind(0.10, "billing", "billing-run", 50..600, 150.0, 100.0, longShare = 0.0),
        ),
        rate = { if (it < 0.85) 0.3 + 1.7 * it / 0.85 else 2.0 - 1.4 * (it - 0.85) / 0.15 },
    )

/** Names of the deployments that [generateTrace] supports. */
internal val deploymentNames: List<String> = listOf(cremaQuarterEnd.name, coralloThursday.name)

/** Generates the trace of the deployment [name] from [seed]. */
internal fun generateTrace(name: String, seed: Long): Trace {
    val deployment = listOf(cremaQuarterEnd, coralloThursday).firstOrNull { it.name == name }
    requireNotNull(deployment) { "there is no deployment '$name'; the deployments are ${deploymentNames.joinToString()}" }
    val random = Random(seed)
    val lines = deployment.jobLines(random) + deployment.requestLines(random)
    return Trace(TraceHeader(name, LENGTH_MS, CAPACITY, seed), lines.sortedBy { it.atMs })
}

private fun Deployment.jobLines(random: Random): List<JobLine> {
    var remainingMs = TOTAL_WORK_MS * (1 - requestWorkShare)
    return buildList {
        while (remainingMs > 0) {
            val job = jobLine(random)
            remainingMs -= job.taskTimes().sumOf { it.trueMs }
            add(job)
        }
    }
}

private fun Deployment.jobLine(random: Random): JobLine {
    val kind = random.pickWeighted(jobs) { it.share }
    val isResubmitted = random.nextDouble() < resubmittedShare
    return JobLine(
        atMs = arrivalMs(random),
        tasks = random.logUniform(kind.tasks),
        team = kind.team,
        taskClass = kind.taskClass,
        deadlineMs = random.nextInt(jobDeadlineMs.first, jobDeadlineMs.last + 1),
        times =
        DrawnTimes(
            seed = random.nextInt().toLong(),
            medianMs = kind.medianMs,
            sigma = 0.6,
            minMs = kind.minMs,
            maxMs = 1_000.0,
            longShare = kind.longShare,
            longMinMs = 2_000.0,
            longMaxMs = 6_000.0,
        ),
        resubmitAfterMs = if (isResubmitted) List(random.nextInt(1, 3)) { random.nextInt(500, 4_000).toDouble() }.sorted() else emptyList(),
    )
}

private fun Deployment.requestLines(random: Random): List<RequestSeries> {
    val meanMs = requests.sumOf { it.share * it.medianMs * MEAN_OVER_MEDIAN }
    val requestsPerSeries = TOTAL_WORK_MS * requestWorkShare / meanMs / (LENGTH_MS / SERIES_MS)
    return (0 until (LENGTH_MS / SERIES_MS).toInt()).flatMap { second ->
        val burstFactor = 0.7 + 0.6 * random.nextDouble()
        requests.map {
            requestSeries(it, second * SERIES_MS, (requestsPerSeries * it.share * burstFactor).roundToInt().coerceAtLeast(1), random)
        }
    }
}

private fun Deployment.requestSeries(kind: RequestKind, atMs: Double, count: Int, random: Random) = RequestSeries(
    atMs = atMs,
    spanMs = SERIES_MS,
    count = count,
    team = kind.team,
    taskClass = kind.taskClass,
    deadlineMs = requestDeadlineMs,
    idempotent = kind.idempotent,
    times = DrawnTimes(random.nextInt().toLong(), kind.medianMs, REQUEST_SIGMA, minMs = 20.0, maxMs = 600.0),
)

private const val REQUEST_SIGMA = 0.45
private val MEAN_OVER_MEDIAN = exp(REQUEST_SIGMA * REQUEST_SIGMA / 2)

/** Draws an arrival time by rejection sampling against the peak rate. */
private fun Deployment.arrivalMs(random: Random): Double {
    while (true) {
        val at = random.nextDouble()
        if (random.nextDouble() * Deployment.PEAK_RATE < rate(at)) return (at * LENGTH_MS * 10).roundToInt() / 10.0
    }
}

private fun <T> Random.pickWeighted(kinds: List<T>, share: (T) -> Double): T {
    var remaining = nextDouble() * kinds.sumOf(share)
    return kinds.firstOrNull { kind ->
        remaining -= share(kind)
        remaining < 0
    } ?: kinds.last()
}

private fun Random.logUniform(range: IntRange): Int {
    val low = ln(range.first.toDouble())
    val high = ln(range.last.toDouble())
    return exp(low + nextDouble() * (high - low)).roundToInt().coerceIn(range)
}
