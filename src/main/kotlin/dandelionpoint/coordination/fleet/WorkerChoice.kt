/* The choice of a worker for a run, among the workers of a cell. */
package dandelionpoint.coordination.fleet

/**
 * The worker on which [order] costs least, null if it can be started on none at [now]. Neither [excluded] is chosen nor a worker on which
 * the task has failed, if another one can run it.
 */
internal fun Collection<TrackedWorker>.choose(order: RunOrder, now: Long, excluded: String?): TrackedWorker? {
    val avoided = excluded ?: order.avoid?.takeIf { order.hasFailed && canRunElsewhere(order, now) }
    return filter { it.entry.id != avoided && it.fits(order, now) }.minByOrNull { it.cost(order) }
}

/** True if a worker other than the one to avoid can run [order], now or after other runs have ended. */
internal fun Collection<TrackedWorker>.canRunElsewhere(order: RunOrder, now: Long): Boolean =
    any { it.entry.id != order.avoid && it.couldRun(order, now) }
