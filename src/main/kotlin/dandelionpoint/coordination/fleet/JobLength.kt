/* The length of a job by its client's estimates. */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.FleetJob

/** Length of the longest chain of dependent steps that [isCounted] selects by their indices, in ms by the client's estimates. */
internal fun FleetJob.longestChainMs(isCounted: (Int) -> Boolean = { true }): Long {
    val ends = LongArray(steps.size)
    steps.forEachIndexed { index, step ->
        val begin = step.after.maxOfOrNull { ends[it] } ?: 0L
        ends[index] = begin + if (isCounted(index)) step.estimateMs else 0L
    }
    return ends.maxOrNull() ?: 0L
}
