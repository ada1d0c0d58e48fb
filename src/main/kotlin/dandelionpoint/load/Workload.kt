/* Scales the arrivals, run times and deadlines of a trace for a replay. Ids are generated later, when the work is sent. */
package dandelionpoint.load

import kotlin.math.ceil
import kotlin.random.Random

/** Kind of a submission. Requests and jobs differ in how they are sent and how their answers are checked. */
internal enum class SubmissionKind { REQUEST, JOB }

/**
 * One job or request of a replay. Times are in ms after scaling; [atMs] counts from the start of the replay. A request has one entry in
 * [tasks]. [idBits] become the random part of the submission's id.
 */
internal data class Submission(
    val number: Int,
    val kind: SubmissionKind,
    val atMs: Double,
    val team: String,
    val taskClass: String,
    val deadlineMs: Int,
    val idempotent: Boolean,
    val tasks: List<TaskTime>,
    val resubmitAfterMs: List<Double>,
    val idBits: Pair<Long, Long>,
) {
    /** Run time of all tasks at speed 1, in ms. */
    val workMs: Double = tasks.sumOf { it.trueMs }
}

/**
 * How a trace is replayed: at [load] times [capacity] (in slots of speed 1), with run times, deadlines and arrivals multiplied by
 * [timeScale]. With [seconds], the trace is repeated and thinned so that it takes about that long. It is not cut, since a section of it
 * would have neither its load nor its shape.
 */
internal data class ReplayScale(
    val load: Double,
    val capacity: Double,
    val timeScale: Double = 1.0,
    val seconds: Double? = null,
    val seed: Long = 1,
)

/** The submissions of a replay, sorted by arrival. [spanMs] is the time over which they arrive. */
internal data class Workload(val submissions: List<Submission>, val spanMs: Double, val capacity: Double)

/** Applies [scale] to the trace. */
internal fun Trace.scaled(scale: ReplayScale): Workload {
    require(scale.load > 0 && scale.capacity > 0 && scale.timeScale > 0) { "load, capacity and time scale must be positive" }
    require(scale.seconds == null || scale.seconds > 0) { "seconds must be positive" }
    // The length of a replay is its work divided by the load on the actual workers, whatever capacity the trace was generated for.
    val workPerMs = scale.load * scale.capacity
    val roundMs = workMs() * scale.timeScale / workPerMs
    val targetMs = scale.seconds?.let { it * MS_PER_SECOND } ?: roundMs
    val rounds = ceil(targetMs / roundMs).toInt().coerceAtLeast(1)
    val random = Random(scale.seed)
    val share = targetMs / (rounds * roundMs)
    val submissions =
        (0 until rounds).flatMap { round ->
            thinned(share, random).flatMap { it.submissions(round, random, round * header.lengthMs, scale.timeScale) }
        }
    val spanMs = submissions.sumOf { it.workMs } / workPerMs
    val stretchFactor = spanMs / (rounds * header.lengthMs)
    return Workload(submissions.map { it.copy(atMs = it.atMs * stretchFactor) }.sortedBy { it.atMs }.numbered(), spanMs, scale.capacity)
}

private const val MS_PER_SECOND = 1_000.0

private fun List<Submission>.numbered() = mapIndexed { index, submission -> submission.copy(number = index) }

/**
 * Keeps a [share] of the requests and of the jobs. Jobs are picked at regular intervals from the list sorted by work, so that even a small
 * selection has about the same distribution of sizes.
 */
private fun Trace.thinned(share: Double, random: Random): List<TraceLine> {
    var accumulatedShare = random.nextDouble()
    val keptJobs =
        lines.filterIsInstance<JobLine>().sortedBy { line -> line.taskTimes().sumOf { it.trueMs } }.filterTo(mutableSetOf()) {
            accumulatedShare += share
            (accumulatedShare >= 1).also { isKept -> if (isKept) accumulatedShare -= 1 }
        }
    return lines.mapNotNull { line ->
        when (line) {
            is RequestSeries -> line.copy(count = minOf(line.count, (line.count * share + random.nextDouble()).toInt()))
            is JobLine -> line.takeIf { it in keptJobs }
        }
    }
}

/** Arrivals are in ms from the start of the first round, at load 1 on the capacity that the trace was generated for. */
private fun TraceLine.submissions(round: Int, random: Random, roundStartMs: Double, timeScale: Double): List<Submission> {
    val times = taskTimes(round).map { it.scaled(timeScale) }
    return when (this) {
        is JobLine ->
            listOf(
                submission(SubmissionKind.JOB, roundStartMs + atMs, times, timeScale, random)
                    .copy(resubmitAfterMs = resubmitAfterMs.map { it * timeScale }),
            )

        is RequestSeries ->
            times.map { time ->
                submission(SubmissionKind.REQUEST, roundStartMs + atMs + random.nextDouble() * spanMs, listOf(time), timeScale, random)
                    .copy(idempotent = idempotent)
            }
    }
}

private fun TaskTime.scaled(factor: Double) = TaskTime(trueMs * factor, (declaredMs * factor).toInt().coerceAtLeast(1))

private fun TraceLine.submission(kind: SubmissionKind, atMs: Double, tasks: List<TaskTime>, timeScale: Double, random: Random) = Submission(
    number = 0,
    kind = kind,
    atMs = atMs,
    team = team,
    taskClass = taskClass,
    deadlineMs = (deadlineMs * timeScale).toInt().coerceAtLeast(1),
    idempotent = false,
    tasks = tasks,
    resubmitAfterMs = emptyList(),
    idBits = random.nextLong() to random.nextLong(),
)
