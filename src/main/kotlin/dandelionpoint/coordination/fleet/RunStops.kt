/*
 * Requests to stop runs. A request is sent at once and repeated until the worker confirms it, since calls to workers can be lost in series.
 * Runs that a worker lists but that this owner does not track, started by a former owner or by an order that was carried out late, are
 * stopped as well.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.LeaseReport
import dandelionpoint.protocol.fleet.TaskRun

/** A request to stop a run, made at [requestedAt]. Times are in ms on the VM's monotonic clock. */
internal class StopRequest(requestedAt: Long, private val rules: FleetRules) {
    private var sentAt = requestedAt
    private var confirmedAt: Long? = null

    val isConfirmed: Boolean get() = confirmedAt != null

    /** True if the request has to be sent again at [now], which is then taken as done. */
    fun sendAgain(now: Long): Boolean {
        if (isConfirmed || now - sentAt < rules.stopRetryMs) return false
        sentAt = now
        return true
    }

    fun recordConfirmed(now: Long) {
        confirmedAt = now
    }

    /** A run list that was requested at [listRequestedAt] still shows the run: an earlier confirmation had no effect. */
    fun onListed(listRequestedAt: Long) {
        if (confirmedAt?.let { listRequestedAt > it + rules.stopTimeoutMs } == true) confirmedAt = null
    }
}

/**
 * A run in a worker's run list that this owner does not track, last listed at [listedAt], with the [stop] that was requested for it. Its
 * [demand] is null unless this owner has ordered it.
 */
internal class UntrackedRun(val stop: StopRequest, var listedAt: Long, val demand: Demand? = null)

/** Makes and repeats the requests to stop runs on the workers of one cell, whose dates are those of [demand]. Not thread-safe. */
internal class RunStops(private val rules: FleetRules, private val demand: RunDemand) {
    /** Requests the stop of [run], or repeats the request if it is due. */
    fun stop(worker: TrackedWorker, run: TrackedRun, now: Long): List<CellEvent> {
        val earlier = run.stop
        if (earlier?.sendAgain(now) == false) return emptyList()
        if (earlier == null) run.requestStop(StopRequest(now, rules), demand.dateOf(now))
        return listOf(CellEvent.Stop(worker.entry, run.order.run))
    }

    /** Does the same for a [run] that is not tracked and that a run list requested at [listRequestedAt] shows. */
    fun stopUntracked(worker: TrackedWorker, run: TaskRun, listRequestedAt: Long, now: Long): List<CellEvent> {
        val earlier = worker.untrackedRuns[run]
        val untracked = earlier ?: worker.addUntracked(run, StopRequest(now, rules), now)
        untracked.listedAt = now
        untracked.stop.onListed(listRequestedAt)
        return if (earlier == null || untracked.stop.sendAgain(now)) listOf(CellEvent.Stop(worker.entry, run)) else emptyList()
    }

    /** Repeats the requests on [worker] that are due. */
    fun repeat(worker: TrackedWorker, now: Long): List<CellEvent> {
        val tracked = worker.runs.values.filter { it.stop?.sendAgain(now) == true }.map { it.order.run }
        val untracked = worker.untrackedRuns.filterValues { it.stop.sendAgain(now) }.keys
        return (tracked + untracked).map { CellEvent.Stop(worker.entry, it) }
    }

    /** Forgets untracked runs that [report], the answer to a call sent at [requestedAt], lists as ended or no longer shows. */
    fun forgetUnlisted(worker: TrackedWorker, report: LeaseReport, requestedAt: Long) {
        report.ended.forEach { worker.untrackedRuns.remove(it.run) }
        val listed = report.running.map { it.run }.toSet()
        worker.untrackedRuns.entries.removeIf { (run, untracked) -> run !in listed && untracked.listedAt < requestedAt }
    }

    /** Forgets untracked runs of an unresponsive worker once no lease, of a former owner or of this one, can last any longer. */
    fun forgetExpired(worker: TrackedWorker, now: Long) {
        if (worker.isResponsive || now <= worker.leaseEndsAt) return
        worker.untrackedRuns.values.removeIf { now > it.listedAt + rules.longestLeaseMs }
    }
}
