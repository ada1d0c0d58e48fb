/*
 * The choice of a worker for a run: among the workers on which it is expected to end nearly as early as on the best one, the one on which
 * least CPU is left over (best fit), so that gaps for large tasks remain. Runs without a rack leave racks in demand to others.
 * All times are in ms.
 */
package dandelionpoint.coordination.fleet

import kotlin.math.max

/** Largest difference of expected ends that still count as nearly equal. Estimates may be wrong by much more than this. */
private const val TOLERANCE_MS = 10L

/** The same as a part of the earlier of two ends: one tenth. */
private const val TOLERANCE_DIVISOR = 10

/** True if a run time of [otherMs] is nearly as short as [bestMs]. */
internal fun isNearlyEqual(otherMs: Long, bestMs: Long): Boolean = otherMs <= bestMs + max(TOLERANCE_MS, bestMs / TOLERANCE_DIVISOR)

/** The candidate to choose, null if there is none. */
internal fun <T> List<T>.choose(candidate: (T) -> CandidateWorker): T? {
    val bestMs = minOfOrNull { candidate(it).expectedMs } ?: return null
    return filter { isNearlyEqual(candidate(it).expectedMs, bestMs) }
        .minWithOrNull(compareBy({ candidate(it).isRackInDemand }, { candidate(it).leftMilli }, { candidate(it).expectedMs }))
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
    return filter { it.entry.id != avoided && it.fits(order, now) }.map {
        CandidateWorker(
            workerId = it.entry.id,
            expectedMs = it.expectedMs(order),
            leftMilli = it.free().cpuMilli - order.demand.cpuMilli,
            isInRack = it.isInRack(order),
            isRackInDemand = racksInDemand.isNotEmpty() && it.entry.labels.any { label -> label in racksInDemand },
        )
    }
}

/** True if a worker other than the one to avoid can run [order], now or after other runs have ended. */
internal fun Collection<TrackedWorker>.canRunElsewhere(order: RunOrder, now: Long): Boolean =
    any { it.entry.id != order.avoid && it.couldRun(order, now) }
