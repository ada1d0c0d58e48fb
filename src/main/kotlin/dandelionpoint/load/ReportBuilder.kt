/* Computes a report from the raw result of a replay. */
package dandelionpoint.load

import org.HdrHistogram.Histogram

/** Computes the report of [result]. */
internal fun buildReport(result: ReplayResult): LoadReport = LoadReport(
    settings = result.settings,
    submissions = result.outcomes.size,
    tasks = result.outcomes.sumOf { it.submission.tasks.size.toLong() },
    requests = result.responseTimes { it.submission.kind == SubmissionKind.REQUEST },
    jobs = result.responseTimes { it.submission.kind == SubmissionKind.JOB },
    all = result.responseTimes { true },
    calls = callCounts(result.audit, result.workerCalls),
    refusals = result.outcomes.filterNot { it.isOk }.countBy { it.code?.name ?: "no answer: ${it.failureReason}" },
    certainties = result.outcomes.countBy { it.code?.certainty?.name ?: "NO_ANSWER" },
    goodput = result.outcomes.sumOf { it.workInTime(result.workload.spanMs) } / (result.workload.capacity * result.workload.spanMs),
    teams = teamShares(result.outcomes, result.workload.spanMs, result.quotas),
    platform = result.platformUsage?.let { platformCost(it, result.audit.starts) },
    audit = result.audit,
    sendLagMs = percentiles(result.outcomes.map { it.sendLagMs }),
)

/** Percentiles of [values], to a precision of three significant digits. */
internal fun percentiles(values: List<Double>): Percentiles {
    val histogram = Histogram(SIGNIFICANT_DIGITS)
    values.forEach { histogram.recordValue((it * RESOLUTION).toLong().coerceAtLeast(0)) }
    val at = { percentile: Double -> histogram.getValueAtPercentile(percentile) / RESOLUTION }
    return Percentiles(histogram.totalCount, at(50.0), at(99.0), at(99.9), at(100.0))
}

/** Response time over ideal time of each submission that was answered OK and matches [isIncluded]. */
internal fun ReplayResult.ratios(isIncluded: (SubmissionOutcome) -> Boolean): List<Double> =
    answered(isIncluded).map { it.responseMs / idealMs[it.submission.number] }

private fun ReplayResult.answered(isIncluded: (SubmissionOutcome) -> Boolean) = outcomes.filter { it.isOk && isIncluded(it) }

private fun ReplayResult.responseTimes(isIncluded: (SubmissionOutcome) -> Boolean) = ResponseTimes(
    ratio = percentiles(ratios(isIncluded)),
    responseMs = percentiles(answered(isIncluded).map { it.responseMs }),
    idealMs = percentiles(answered(isIncluded).map { idealMs[it.submission.number] }),
)

private fun callCounts(audit: AuditResult, byOutcome: Map<String, Long>): CallCounts {
    val counted = byOutcome.values.sum()
    return CallCounts(
        needed = audit.startedKeys,
        // Calls that a killed VM counted after its last sample are lost. Each start needs at least one call, so starts are a lower bound.
        calls = maxOf(counted, audit.starts),
        byOutcome = byOutcome,
        isFromStarts = counted == 0L,
    )
}

/**
 * Work completed within its deadline during the first [spanMs], in ms at speed 1. Work that was answered after the span counts in
 * proportion to the part of its response time inside the span, so that the figure does not depend on how long the remaining work takes
 * after the last arrival.
 */
internal fun SubmissionOutcome.workInTime(spanMs: Double): Double {
    if (!isOkInTime) return 0.0
    val inside = (minOf(answeredMs, spanMs) - submission.atMs) / responseMs
    return submission.workMs * inside.coerceIn(0.0, 1.0)
}

private fun teamShares(outcomes: List<SubmissionOutcome>, spanMs: Double, quotas: Map<String, Int>): Map<String, TeamShare> {
    val done = outcomes.groupingBy { it.submission.team }.fold(0.0) { sum, outcome -> sum + outcome.workInTime(spanMs) }
    val total = done.values.sum().takeIf { it > 0 } ?: 1.0
    val weights = done.keys.sumOf { quotas[it] ?: 0 }
    return done.toSortedMap().mapValues { (team, work) ->
        TeamShare(work / total, quotas[team]?.let { it.toDouble() / weights })
    }
}

private fun platformCost(usage: PlatformUsage, starts: Long): PlatformCost {
    val perThousand = { counts: Map<String, Long> -> counts.filterValues { it > 0 }.mapValues { it.value * 1_000.0 / maxOf(starts, 1) } }
    return PlatformCost(
        tableWrites = perThousand(usage.table.writes),
        tableReads = perThousand(usage.table.reads),
        objectWrites = perThousand(usage.objects.writes),
        objectReads = perThousand(usage.objects.reads),
    )
}

private fun <T> List<T>.countBy(key: (T) -> String): Map<String, Int> = groupingBy(key).eachCount().toSortedMap()

private const val SIGNIFICANT_DIGITS = 3

/** The histogram records integers, so values are stored in thousandths. */
private const val RESOLUTION = 1_000.0
