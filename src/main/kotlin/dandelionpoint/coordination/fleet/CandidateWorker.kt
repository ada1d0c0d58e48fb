package dandelionpoint.coordination.fleet

/**
 * A worker on which a run can be started at once, where it takes [expectedMs] and leaves [leftMilli] thousandths of a core free. Runs that
 * need the worker's rack are there in number if [isRackInDemand].
 */
internal data class CandidateWorker(
    val workerId: String,
    val expectedMs: Long,
    val leftMilli: Int,
    val isInRack: Boolean = true,
    val isRackInDemand: Boolean = false,
) {
    /** True if this worker is to be preferred to [other], on which the run is expected to end at nearly the same time. */
    fun isBetterThan(other: CandidateWorker): Boolean = when {
        isRackInDemand != other.isRackInDemand -> other.isRackInDemand
        leftMilli != other.leftMilli -> leftMilli < other.leftMilli
        else -> expectedMs < other.expectedMs
    }
}
