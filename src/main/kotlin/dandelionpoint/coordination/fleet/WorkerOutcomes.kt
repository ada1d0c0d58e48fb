/* Ends of runs: what a worker's refusals and its list of ended runs mean for the worker and its tracked runs. */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.EndedRow
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.StartRefusal

/** How long a worker is avoided after it refused a run that should fit, in ms. */
private const val REFUSED_MS = 300L

/** Ends [run]: it no longer occupies capacity. */
internal fun TrackedWorker.end(run: TrackedRun, runEnd: RunEnd): CellEvent {
    removeRun(run.order.task)
    if (runEnd == RunEnd.LOST || runEnd == RunEnd.NOT_STARTED) rememberDemand(run.order)
    return CellEvent.Ended(run.order, runEnd, entry.id)
}

/** The worker has refused to start [run]. */
internal fun TrackedWorker.onRefused(run: TrackedRun, refusal: StartRefusal, now: Long): List<CellEvent> {
    val ended = end(run, RunEnd.NOT_STARTED)
    when (refusal) {
        StartRefusal.FENCED -> return listOf(ended, CellEvent.Fenced)
        StartRefusal.NO_ROOM, StartRefusal.UNHEALTHY -> health.eject(now, REFUSED_MS)
        StartRefusal.OTHER_INCARNATION -> forgetRunList()
        StartRefusal.OUTDATED_RUN, StartRefusal.LATE, StartRefusal.INVALID -> Unit
    }
    return listOf(ended)
}

/** Handles an ended run that the worker lists; one that was handled before has no effect. */
internal fun TrackedWorker.applyEnd(row: EndedRow, now: Long): List<CellEvent> {
    if (row.number <= handledEnd) return emptyList()
    handledEnd = row.number
    val run = runs[row.run.task]?.takeIf { it.order.run == row.run } ?: return emptyList()
    when (row.end) {
        RunEnd.DONE -> health.succeeded(now - run.orderedAt, averageMs(run.order))
        RunEnd.FAILED -> health.failed(run.order.task.jobId, now)
        RunEnd.LOST, RunEnd.NOT_STARTED -> Unit
    }
    return listOf(end(run, row.end))
}
