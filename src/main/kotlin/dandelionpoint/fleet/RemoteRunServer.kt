/*
 * Serves remote runs: runs in this VM's cells that belong to jobs which other VMs dispatch. A repeated request for the same run waits for
 * the same end; the most recent ends are stored, so that a request which is repeated after the end gets the same reply. Invariants: after a
 * cancellation, however the messages overtake each other, the run is not started, or is stopped; and no run is started on a request that
 * its sender may have given up meanwhile, however late it is read.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.ExpiringMap
import dandelionpoint.coordination.fleet.RunDemand
import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.FleetMessage
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.RequestExpired
import dandelionpoint.protocol.peer.RunAnswer
import dandelionpoint.protocol.peer.VmIdentity
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Serves remote runs. [place] starts a run in a cell of this VM and returns false if it fits nowhere; [stopRun] stops a run. */
internal class RemoteRunServer(
    private val place: (RunOrder) -> Boolean,
    private val stopRun: (RunKey) -> Unit,
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
     * [isExpired] starts nothing, but gets the end of a run that an earlier request has started.
     */
    suspend fun run(from: VmIdentity, request: RemoteRunRequest, wantedAt: Long, isExpired: Boolean = false): FleetMessage {
        val order = order(from, request, wantedAt)
        val own = OpenRun()
        val earlier = synchronized(lock) {
            recentEnds[order.key]?.let { return RunAnswer(it) }
            if (isExpired) open[order.key] ?: return RequestExpired else open.putIfAbsent(order.key, own)
        }
        if (earlier != null) return RunAnswer(earlier.end.await())
        if (!place(order)) ended(order.key, RunEnd.NOT_STARTED)
        if (synchronized(lock) { own.isCancelled }) stopRun(order.key)
        return RunAnswer(endWithin(request.remainingMs, own) ?: endAfterStop(order.key, own))
    }

    private suspend fun endWithin(waitMs: Long?, run: OpenRun): RunEnd? =
        if (waitMs == null) run.end.await() else withTimeoutOrNull(waitMs) { run.end.await() }

    private suspend fun endAfterStop(key: RunKey, run: OpenRun): RunEnd {
        stopRun(key)
        return run.end.await()
    }

    /** Stops the run [key], if it was requested here. */
    fun stop(key: RunKey) {
        val isOpen = synchronized(lock) { open[key]?.also { it.isCancelled = true } != null }
        if (isOpen) stopRun(key)
    }

    /** Stops the run [key] and waits for its end. A run that has not been requested yet is not started when the request arrives. */
    suspend fun cancel(key: RunKey): RunAnswer {
        val run = synchronized(lock) {
            recentEnds[key]?.let { return RunAnswer(it) }
            open[key]?.also { it.isCancelled = true } ?: return refuseLaterRequest(key)
        }
        stopRun(key)
        return RunAnswer(run.end.await())
    }

    private fun refuseLaterRequest(key: RunKey): RunAnswer {
        recordEnd(key, RunEnd.NOT_STARTED)
        return RunAnswer(RunEnd.NOT_STARTED)
    }

    private fun order(from: VmIdentity, request: RemoteRunRequest, wantedAt: Long) = with(request) {
        RunOrder(
            run, from.incarnation, pool, payload, demand, estimateMs, requiredLabel, rack, maxPerWorker,
            dispatch = dispatch, entryVm = entryVm ?: from.incarnation, wantedAt = wantedAt,
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
    }
}
