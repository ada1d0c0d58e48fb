/*
 * The capacity of a worker that is in use. Runs that the owner does not track, which are being stopped, use capacity like all others until
 * the worker lists them as ended: workers need not refuse what does not fit.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.TaskRun

/** Number of runs of a worker whose demand is kept after they were taken for lost or for not started. */
private const val MAX_PAST_DEMANDS = 64

/** Adds a [run] that was listed at [now] and that this owner does not track, with the [stop] that is requested for it. */
internal fun TrackedWorker.addUntracked(run: TaskRun, stop: StopRequest, now: Long): UntrackedRun =
    UntrackedRun(stop, now, pastDemands[run]).also { untrackedRuns[run] = it }

/** Keeps the demand of a run that may still be carried out, though it is taken for ended. */
internal fun TrackedWorker.rememberDemand(order: RunOrder) {
    pastDemands[order.run] = order.demand
    if (pastDemands.size > MAX_PAST_DEMANDS) pastDemands.remove(pastDemands.keys.first())
}

/** True while an untracked run is listed whose demand is not known: it may use the whole worker. */
internal fun TrackedWorker.hasRunOfUnknownDemand(): Boolean = untrackedRuns.values.any { it.demand == null }

/** The capacity that new runs may use. */
internal fun TrackedWorker.free(): Demand = when {
    untrackedRuns.isEmpty() -> entry.capacity - used()
    hasRunOfUnknownDemand() -> Demand(0)
    else -> entry.capacity - untrackedRuns.values.fold(used()) { sum, run -> sum + (run.demand ?: Demand(0)) }
}

/** Number of runs of the same step as [order] on this worker. */
internal fun TrackedWorker.runsOfStep(order: RunOrder): Int = runs.values.count { it.order.sharesStepWith(order) } +
    untrackedRuns.keys.count { it.task.jobId == order.task.jobId && it.task.step == order.task.step }
