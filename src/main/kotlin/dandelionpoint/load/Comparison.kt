/* Compares clusters by the median and the range of each figure over several rounds. */
package dandelionpoint.load

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

/** Median, minimum and maximum of a figure over the rounds. */
@Serializable
internal data class Spread(val median: Double, val least: Double, val greatest: Double)

/** For each cluster in [clusters], the spread of every figure by its name. */
@Serializable
internal data class Comparison(val rounds: Int, val clusters: Map<String, Map<String, Spread>>) {
    fun toJson(): String = Json.encodeToString(this)

    fun toText(): String = buildString {
        appendLine("$rounds rounds; median (least to greatest)")
        val figures = clusters.values.firstOrNull()?.keys.orEmpty()
        figures.forEach { figure ->
            appendLine(figure)
            clusters.forEach { (name, spreads) -> appendLine("  %-20s %s".format(name, spreads.getValue(figure).text())) }
        }
    }

    private fun Spread.text() = "${median.digits(4)} (${least.digits(4)} to ${greatest.digits(4)})"
}

/** Spread of [values], which must not be empty. */
internal fun spread(values: List<Double>): Spread {
    require(values.isNotEmpty()) { "a spread needs at least one value" }
    val sorted = values.sorted()
    val middle = sorted.size / 2
    val median = if (sorted.size % 2 == 1) sorted[middle] else (sorted[middle - 1] + sorted[middle]) / 2
    return Spread(median, sorted.first(), sorted.last())
}

/** Compares clusters by their [reports], which hold one report for each round. */
internal fun compare(reports: Map<String, List<LoadReport>>): Comparison = Comparison(
    rounds = reports.values.maxOfOrNull { it.size } ?: 0,
    clusters = reports.mapValues { (_, rounds) -> FIGURES.mapValues { (_, figure) -> spread(rounds.map(figure)) } },
)

private val FIGURES: Map<String, (LoadReport) -> Double> =
    mapOf(
        "requests, response over ideal, p50" to { it.requests.ratio.p50 },
        "requests, response over ideal, p99" to { it.requests.ratio.p99 },
        "jobs, response over ideal, p50" to { it.jobs.ratio.p50 },
        "jobs, response over ideal, p99" to { it.jobs.ratio.p99 },
        "all, response over ideal, p50" to { it.all.ratio.p50 },
        "all, response over ideal, p99" to { it.all.ratio.p99 },
        "all, response over ideal, p99.9" to { it.all.ratio.p999 },
        "wasted over needed calls" to { it.calls.wastedShare },
        "submissions not answered OK" to { it.refusals.values.sum().toDouble() },
        "work completed in time over capacity" to { it.goodput },
        "table writes for 1,000 starts" to { report -> report.platform?.tableWrites?.values?.sum() ?: 0.0 },
        "duplicate starts" to { it.audit.duplicateStarts.toDouble() },
        "false refusals" to { it.audit.falseRefusals.toDouble() },
        "answer faults" to { report -> report.audit.answerFaults.values.sum().toDouble() },
    )
