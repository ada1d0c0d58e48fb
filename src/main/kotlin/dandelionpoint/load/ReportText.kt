/* Formats reports as text. */
package dandelionpoint.load

import java.util.Locale

/** The report as a page of text. */
internal fun LoadReport.toText(): String = buildString {
    appendLine(settings.headline())
    appendLine("$submissions submissions, $tasks tasks and requests, ${audit.starts} starts; send lag p99 ${sendLagMs.p99.digits(2)} ms")
    appendLine()
    appendLine("%-10s %8s %8s %8s %8s %10s %10s %10s".format("", "count", "x p50", "x p99", "x p99.9", "ms p50", "ms p99", "ideal p50"))
    mapOf("requests" to requests, "jobs" to jobs, "all" to all).forEach { (name, times) -> appendLine(times.row(name)) }
    appendLine()
    appendLine(calls.line())
    appendLine("work completed within its deadline over capacity: ${goodput.percent()}")
    appendLine("outcomes: ${certainties.commaSeparated()}")
    appendLine("refused, failed or unanswered: ${refusals.commaSeparated()}")
    teams.forEach { (team, share) -> appendLine(share.line(team)) }
    platform?.let { appendLine(it.lines()) }
    append(audit.lines())
}

private fun ReplaySettings.headline() =
    "$trace on $cluster: load ${load.digits(2)} of capacity ${capacity.digits(1)} ($slots slots), time scale $timeScale, " +
        "${spanSeconds.digits(1)} s, seed $seed, $entries entry VMs, ideal order ${idealOrder.name.lowercase()}"

private fun ResponseTimes.row(name: String) = "%-10s %8d %8s %8s %8s %10s %10s %10s".format(
    name,
    ratio.count,
    ratio.p50.digits(3),
    ratio.p99.digits(3),
    ratio.p999.digits(3),
    responseMs.p50.digits(1),
    responseMs.p99.digits(1),
    idealMs.p50.digits(1),
)

private fun CallCounts.line() = "calls to workers: $calls, needed $needed, wasted over needed ${wastedShare.percent()}" +
    if (isFromStarts) " (from starts; the entry VMs count no calls)" else " (${byOutcome.commaSeparated()})"

private fun TeamShare.line(team: String): String {
    val quota = quotaShare?.let { ", quota ${it.percent()}, deviation ${deviation?.percent() ?: "none"}" }.orEmpty()
    return "team $team: ${doneShare.percent()} of the work done in time$quota"
}

private fun PlatformCost.lines() = listOf(
    "table writes for 1,000 starts" to tableWrites,
    "table reads for 1,000 starts" to tableReads,
    "object writes for 1,000 starts" to objectWrites,
    "object reads for 1,000 starts" to objectReads,
).joinToString("\n") { (name, counts) ->
    "$name: ${counts.values.sum().digits(2)} (${counts.mapValues { it.value.digits(2) }.commaSeparated()})"
}

private fun AuditResult.lines() = buildString {
    append("duplicate starts $duplicateStarts, false refusals $falseRefusals, successes without start $startlessSuccesses, ")
    append("answer faults ${answerFaults.commaSeparated()}, repeated idempotent requests $idempotentRepeats")
    examples.forEach { append("\n  $it") }
}

internal fun Map<*, *>.commaSeparated(): String = if (isEmpty()) "none" else entries.joinToString { "${it.key} ${it.value}" }

internal fun Double.digits(count: Int): String = String.format(Locale.ROOT, "%.${count}f", this)

internal fun Double.percent(): String = "${(this * 100).digits(2)} %"
