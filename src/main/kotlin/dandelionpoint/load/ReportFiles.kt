/* Writes a report as text, as JSON and as an SVG plot. */
package dandelionpoint.load

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path

private val reportJson =
    Json {
        prettyPrint = true
        encodeDefaults = true
    }

/** The report as JSON. */
internal fun LoadReport.toJson(): String = reportJson.encodeToString(this)

/** SVG plot of response over ideal time, with curves for requests, for jobs and for all submissions. */
internal fun ReplayResult.plot(): String = ratioPlot(
    title = "${settings.trace} on ${settings.cluster}, load ${settings.load}",
    ratios =
    mapOf(
        "requests" to ratios { it.submission.kind == SubmissionKind.REQUEST },
        "jobs" to ratios { it.submission.kind == SubmissionKind.JOB },
        "all" to ratios { true },
    ),
)

/** Writes `<name>.txt`, `<name>.json` and `<name>.svg` to [directory] and returns the report. */
internal fun writeReport(result: ReplayResult, directory: Path, name: String): LoadReport {
    val report = buildReport(result)
    Files.createDirectories(directory)
    Files.writeString(directory.resolve("$name.txt"), report.toText() + "\n")
    Files.writeString(directory.resolve("$name.json"), report.toJson() + "\n")
    Files.writeString(directory.resolve("$name.svg"), result.plot())
    return report
}
