/*
 * The choice of a worker for a run: on a crowded pool, among the workers on which it is expected to end nearly as early as on the best one,
 * the one on which least CPU is left over (best fit), so that gaps for large tasks remain. While many workers have room, the run goes to
 * the worker on which it ends first. Runs without a rack leave racks in demand to others. All times are in ms.
 */
package dandelionpoint.coordination.fleet

import kotlin.math.max
import kotlin.math.min

/** Largest difference of expected ends that still count as nearly equal. Estimates may be wrong by much more than this. */
private const val TOLERANCE_MS = 10L

/** The same as a part of the earlier of two ends: one tenth. */
private const val TOLERANCE_DIVISOR = 10

/** A pool is crowded if fewer workers than one in this number can start a run. */
private const val CROWDED_DIVISOR = 3

/** True if [fitting] of [workers] workers can start a run and these are so few that gaps for large tasks are scarce. */
internal fun isCrowded(fitting: Int, workers: Int): Boolean = fitting * CROWDED_DIVISOR < workers

/** True if a run time of [otherMs] is nearly as short as [bestMs]. */
internal fun isNearlyEqual(otherMs: Long, bestMs: Long): Boolean = otherMs <= bestMs + max(TOLERANCE_MS, bestMs / TOLERANCE_DIVISOR)

/**
 * The candidate to choose, null if there is none. Only on a pool that [isCrowded] is a nearly equal end as good as the earliest one. Called
 * for each run, and thus without intermediate lists.
 */
internal inline fun <T : Any> List<T>.choose(isCrowded: Boolean = true, candidate: (T) -> CandidateWorker): T? {
    var bestMs = Long.MAX_VALUE / 2
    for (item in this) bestMs = min(bestMs, candidate(item).expectedMs)
    var chosen: T? = null
    for (item in this) {
        val expectedMs = candidate(item).expectedMs
        val isGood = if (isCrowded) isNearlyEqual(expectedMs, bestMs) else expectedMs == bestMs
        if (isGood && (chosen == null || candidate(item).isBetterThan(candidate(chosen)))) chosen = item
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
