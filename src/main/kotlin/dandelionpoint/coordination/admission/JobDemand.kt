/* Inputs of admission: the demand of a job and the capacity of the cluster. */
package dandelionpoint.coordination.admission

import dandelionpoint.state.queue.QueuedJob

/**
 * A job to be admitted or refused. [longestTaskMs] is the expected run time of its longest task at speed 1; [memoryMb] is the most that
 * one task needs.
 */
internal data class JobDemand(val job: QueuedJob, val memoryMb: Int = 0, val longestTaskMs: Double = job.expectedTaskMs)

/**
 * Capacity of all workers that accept work: [slots] is the number of their slots and [speedSum] the sum of the speeds of these slots (a
 * slot of speed 1 does one slot-ms of work in 1 ms). [largestMemoryMb] is the memory of the largest worker, [highestSpeed] the speed of
 * the fastest.
 */
internal data class ClusterCapacity(
    val slots: Int,
    val speedSum: Double = slots.toDouble(),
    val largestMemoryMb: Int = Int.MAX_VALUE,
    val highestSpeed: Double = 1.0,
) {
    val meanSpeed: Double
        get() = if (slots > 0) speedSum / slots else 1.0
}
