/*
 * Serves remote runs: runs in this VM's cells that belong to jobs which other VMs dispatch. A repeated request for the same run waits for
 * the same end; the most recent ends are stored, so that a request which is repeated after the end gets the same reply. Invariants: after a
 * cancellation, however the messages overtake each other, the run is not started, or is stopped; and no run is started on a request that
 * its sender may have given up meanwhile, however late it is read. A run that fits on no worker waits, if its sender permits it, in
 * [WaitingRuns], from where a scheduling pass of [dandelionpoint.coordination.fleet.Dispatch] starts it.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.ExpiringMap
import dandelionpoint.coordination.fleet.RunDemand
import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.WaitingRuns
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.FleetMessage
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.RequestExpired
import dandelionpoint.protocol.peer.RunAnswer
import dandelionpoint.protocol.peer.VmIdentity
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

private val log = KotlinLogging.logger {}

/** What a [RemoteRunServer] needs from the rest of the VM. */
internal interface RemoteRunHost {
    /** Starts a run in a cell of this VM. Returns false if it fits on no worker. */
    fun place(order: RunOrder): Boolean

    fun stopRun(key: RunKey)

    /** True if work of this VM or of another one waits, so that a further run has to wait for its turn. */
    val hasWaitingWork: Boolean

    /** True if a worker can run [order] after other runs have ended, and this VM keeps its cells. */
    fun mayWait(order: RunOrder): Boolean

    /** A run was added to the waiting ones. */
    fun onWaiting()
}

/** Serves remote runs in the cells of [host]. */
internal class RemoteRunServer(
    private val host: RemoteRunHost,
    private val waiting: WaitingRuns = WaitingRuns(),
    private val clock: Clock = Clock.System,
) {
    private class OpenRun(var isCancelled: Boolean = false) {
        val end = CompletableDeferred<RunEnd>()
    }

    private val lock = Any()
    private val open = HashMap<RunKey, OpenRun>()
    private val recentEnds = ExpiringMap<RunKey, RunEnd>()

    /**
     * Starts the requested run for [from], which wanted it on the date [wantedAt] (see [RunDemand]), and waits for its end. A request that
     * [isExpired] starts nothing, but gets the end of a run that an earlier request has started. The request was on its way for [ageMs] at
     * most.
     */
    suspend fun run(
        from: VmIdentity,
        request: RemoteRunRequest,
        wantedAt: Long,
        isExpired: Boolean = false,
        ageMs: Long = 0,
    ): FleetMessage {
        val order = order(from, request, wantedAt, ageMs)
        val own = OpenRun()
        val earlier = synchronized(lock) {
            recentEnds[order.key]?.let { return RunAnswer(it) }
            if (isExpired) open[order.key] ?: return RequestExpired else open.putIfAbsent(order.key, own)
        }
        if (earlier != null) return RunAnswer(earlier.end.await())
        startOrWait(order)
        if (synchronized(lock) { own.isCancelled }) withdraw(order.key)
        return RunAnswer(endWithin(request.remainingMs, own) ?: endAfterStop(order.key, own))
    }

    private fun startOrWait(order: RunOrder) {
        val maxWaitMs = order.latestStartAt - clock.millis()
        val hasTurn = maxWaitMs <= 0 || !host.hasWaitingWork
        if (hasTurn && host.place(order)) return
        if (maxWaitMs <= 0 || !host.mayWait(order)) return ended(order.key, RunEnd.NOT_STARTED)
        waiting.add(order)?.let { refuse(it, "too many runs wait") }
        host.onWaiting()
    }

    /** Ends the run [key]: it is not started any more if it waits, and is stopped otherwise. */
    private fun withdraw(key: RunKey) {
        if (waiting.remove(key)) ended(key, RunEnd.NOT_STARTED) else host.stopRun(key)
    }

    /** Ends the waiting runs that [matches] selects, for [reason]. They have not been started and will not be. */
    fun refuseWaiting(reason: String, matches: (RunOrder) -> Boolean) {
        if (!waiting.isEmpty) waiting.removeIf(matches).forEach { refuse(it, reason) }
    }

    private fun refuse(order: RunOrder, reason: String) {
        log.info { "event=waiting_run_refused ${order.run.logFields()} origin=${order.origin} reason=\"$reason\"" }
        ended(order.key, RunEnd.NOT_STARTED)
    }

    private suspend fun endWithin(waitMs: Long?, run: OpenRun): RunEnd? =
        if (waitMs == null) run.end.await() else withTimeoutOrNull(waitMs) { run.end.await() }

    private suspend fun endAfterStop(key: RunKey, run: OpenRun): RunEnd {
        withdraw(key)
        return run.end.await()
    }

    /** Stops the run [key], if it was requested here. */
    fun stop(key: RunKey) {
        val isOpen = synchronized(lock) { open[key]?.also { it.isCancelled = true } != null }
        if (isOpen) withdraw(key)
    }

    /** Stops the run [key] and waits for its end. A run that has not been requested yet is not started when the request arrives. */
    suspend fun cancel(key: RunKey): RunAnswer {
        val run = synchronized(lock) {
            recentEnds[key]?.let { return RunAnswer(it) }
            open[key]?.also { it.isCancelled = true } ?: return refuseLaterRequest(key)
        }
        withdraw(key)
        return RunAnswer(run.end.await())
    }

    private fun refuseLaterRequest(key: RunKey): RunAnswer {
        recordEnd(key, RunEnd.NOT_STARTED)
        return RunAnswer(RunEnd.NOT_STARTED)
    }

    private fun order(from: VmIdentity, request: RemoteRunRequest, wantedAt: Long, ageMs: Long) = with(request) {
        val now = clock.millis()
        RunOrder(
            run, from.incarnation, pool, payload, demand, estimateMs, requiredLabel, rack, maxPerWorker,
            dispatch = dispatch, entryVm = entryVm ?: from.incarnation, wantedAt = wantedAt,
            priority = priority, onTimeStartAt = now + slackMs,
            latestStartAt = if (maxWaitMs > 0) now + maxWaitMs - (ageMs - USUAL_AGE_MS).coerceAtLeast(0) else now,
        )
    }

    /** The run [key] has ended. */
    fun ended(key: RunKey, end: RunEnd) {
        val run = synchronized(lock) {
            recordEnd(key, end)
            open.remove(key)
        }
        run?.end?.complete(end)
    }

    private fun recordEnd(key: RunKey, end: RunEnd) {
        val now = clock.millis()
        recentEnds.put(key, end, now + END_KEPT_MS, now)
    }

    private companion object {
        /** How long the end of a run is kept, in ms: longer than a request or its cancellation can be on its way. */
        const val END_KEPT_MS = 10_000L

        /**
         * A request seems older than it is by up to the interval of the heartbeats that carry this VM's stamps to its sender, in ms. Only
         * the rest of its age is taken off the time for which the run may wait.
         */
        const val USUAL_AGE_MS = HeartbeatSender.MAX_INTERVAL_MS
    }
}
