/* The report of one replay. */
package dandelionpoint.load

import kotlinx.serialization.Serializable

/**
 * Settings of the replay that a report is about. [load] is offered work over capacity; [capacity] is the sum of the workers' slots
 * times their speeds; [spanSeconds] is the time over which the work arrived.
 */
@Serializable
internal data class ReplaySettings(
    val trace: String,
    val cluster: String,
    val load: Double,
    val timeScale: Double,
    val spanSeconds: Double,
    val seed: Long,
    val entries: Int,
    val slots: Int,
    val capacity: Double,
    val idealOrder: IdealOrder,
)

/** Percentiles of a quantity over [count] submissions. */
@Serializable
internal data class Percentiles(val count: Long, val p50: Double, val p99: Double, val p999: Double, val max: Double)

/** Response times of the submissions answered OK. [ratio] is [responseMs] divided by [idealMs]. */
@Serializable
internal data class ResponseTimes(val ratio: Percentiles, val responseMs: Percentiles, val idealMs: Percentiles)

/**
 * Calls to workers. [needed] is the number of tasks and requests that started at least once. [calls] is the number of calls that the
 * entry VMs counted (by outcome in [byOutcome]), or the number of starts that the upstream recorded if that is larger.
 * [isFromStarts] is true if the entry VMs reported no calls, so that [calls] comes from the starts alone.
 */
@Serializable
internal data class CallCounts(val needed: Long, val calls: Long, val byOutcome: Map<String, Long>, val isFromStarts: Boolean) {
    val wasted: Long get() = (calls - needed).coerceAtLeast(0)

    /** Wasted calls divided by needed calls. */
    val wastedShare: Double get() = if (needed == 0L) 0.0 else wasted.toDouble() / needed
}

/** A team's share of the work completed in time, and the share that its quota entitles it to (null without a quota). */
@Serializable
internal data class TeamShare(val doneShare: Double, val quotaShare: Double?) {
    /** Relative deviation of [doneShare] from [quotaShare]. */
    val deviation: Double? get() = quotaShare?.takeIf { it > 0 }?.let { doneShare / it - 1 }
}

/** Reads and writes of table rows and objects for each 1,000 starts, by the first part of the key. */
@Serializable
internal data class PlatformCost(
    val tableWrites: Map<String, Double>,
    val tableReads: Map<String, Double>,
    val objectWrites: Map<String, Double>,
    val objectReads: Map<String, Double>,
)

/**
 * Report of one replay. [refusals] counts the submissions that were not answered OK by code, or by reason if there is no code.
 * [certainties] counts all submissions by what the answer says about their outcome. [goodput] is the work completed within its deadline
 * during the span of the arrivals, divided by the capacity of that span. [sendLagMs] is the delay between the planned and the actual
 * sending, in ms; large values mean that the load tool itself could not keep up.
 */
@Serializable
internal data class LoadReport(
    val settings: ReplaySettings,
    val submissions: Int,
    val tasks: Long,
    val requests: ResponseTimes,
    val jobs: ResponseTimes,
    val all: ResponseTimes,
    val calls: CallCounts,
    val refusals: Map<String, Int>,
    val certainties: Map<String, Int>,
    val goodput: Double,
    val teams: Map<String, TeamShare>,
    val platform: PlatformCost?,
    val audit: AuditResult,
    val sendLagMs: Percentiles,
)
