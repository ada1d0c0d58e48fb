/* Rules that accept or refuse a job before any of its tasks starts. A refusal means that nothing ran. */
package dandelionpoint.coordination.admission

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.ResultCode

/** Refuses a job that could not run even on an idle cluster, or whose team has no quota. [weight] is null for an unknown team. */
internal fun checkCanEverRun(demand: JobDemand, weight: Double?, capacity: ClusterCapacity, nowMs: Long): Either<Refusal, Unit> {
    val job = demand.job
    val shortestMs = demand.longestTaskMs / capacity.highestSpeed
    return when {
        weight == null -> refuse(ResultCode.UNKNOWN_TEAM)
        weight <= 0.0 -> refuse(ResultCode.QUOTA_ZERO)
        job.taskCount < 1 -> refuse(ResultCode.BAD_BODY, "A job needs at least one task.")
        capacity.slots < 1 -> refuse(ResultCode.NO_WORKER)
        demand.memoryMb > capacity.largestMemoryMb -> refuse(ResultCode.TOO_LARGE)
        nowMs + shortestMs > job.deadlineMs -> refuse(ResultCode.DEADLINE_BELOW_TASK)
        else -> Unit.right()
    }
}

/** Time in ms from the first start to the last end of a job with [slotMs] of work that is processed at [rate] slot-ms per ms. */
internal fun lengthMs(longestTaskMs: Double, slotMs: Long, rate: Double): Double = maxOf(longestTaskMs, slotMs / rate)

internal fun refuse(code: ResultCode, detail: String = code.advice): Either<Refusal, Unit> = Refusal(code, detail).left()
