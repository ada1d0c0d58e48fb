/*
 * The choice of a worker for a run: among the workers on which it is expected to end nearly as early as on the best one, the one on which
 * least CPU is left over (best fit), so that gaps for large tasks remain. Runs without a rack leave racks in demand to others.
 * All times are in ms.
 */
package dandelionpoint.coordination.fleet

import kotlin.math.max
import kotlin.math.min

/** Largest difference of expected ends that still count as nearly equal. Estimates may be wrong by much more than this. */
private const val TOLERANCE_MS = 10L

/** The same as a part of the earlier of two ends: one tenth. */
private const val TOLERANCE_DIVISOR = 10

/** True if a run time of [otherMs] is nearly as short as [bestMs]. */
internal fun isNearlyEqual(otherMs: Long, bestMs: Long): Boolean = otherMs <= bestMs + max(TOLERANCE_MS, bestMs / TOLERANCE_DIVISOR)

/** The candidate to choose, null if there is none. Called for each run, and thus without intermediate lists. */
internal inline fun <T : Any> List<T>.choose(candidate: (T) -> CandidateWorker): T? {
    var bestMs = Long.MAX_VALUE / 2
    for (item in this) bestMs = min(bestMs, candidate(item).expectedMs)
    var chosen: T? = null
    for (item in this) {
        val isNearlyEqual = isNearlyEqual(candidate(item).expectedMs, bestMs)
        if (isNearlyEqual && (chosen == null || candidate(item).isBetterThan(candidate(chosen)))) chosen = item
    }
    return chosen
}

/**
 * The workers that can start [order] at [now]. Neither [excluded] is among them nor a worker on which the task has failed, if another one
 * can run it. The racks in [racksInDemand] should be avoided.
 */
internal fun Collection<TrackedWorker>.candidates(
    order: RunOrder,
    now: Long,
    excluded: String?,
    racksInDemand: Set<String> = emptySet(),
): List<CandidateWorker> {
    val avoided = excluded ?: order.avoid?.takeIf { order.hasFailed && canRunElsewhere(order, now) }
    val candidates = ArrayList<CandidateWorker>()
    for (worker in this) {
        if (worker.fits(order, now) && worker.entry.id != avoided) candidates += worker.candidate(order, racksInDemand)
    }
    return candidates
}

private fun TrackedWorker.candidate(order: RunOrder, racksInDemand: Set<String>) = CandidateWorker(
    workerId = entry.id,
    expectedMs = expectedMs(order),
    leftMilli = free().cpuMilli - order.demand.cpuMilli,
    isInRack = isInRack(order),
    isRackInDemand = racksInDemand.isNotEmpty() && entry.labels.any { it in racksInDemand },
)

/** True if a worker other than the one to avoid can run [order], now or after other runs have ended. */
internal fun Collection<TrackedWorker>.canRunElsewhere(order: RunOrder, now: Long): Boolean =
    any { it.entry.id != order.avoid && it.couldRun(order, now) }
