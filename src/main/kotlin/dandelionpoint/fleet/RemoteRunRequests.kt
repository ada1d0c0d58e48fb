/*
 * Requests remote runs: runs in the cells of other VMs, for jobs that this VM dispatches. The request for a run is repeated over a new
 * connection when the first one breaks; the VM that runs it, see [RemoteRunServer], handles repeated requests as one. A run that is to be
 * stopped, or whose VM is lost, is asked to stop until its end is confirmed.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.RequestExpired
import dandelionpoint.protocol.peer.RunAnswer
import dandelionpoint.protocol.peer.RunCancel
import dandelionpoint.protocol.peer.VmIdentity
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** What [RemoteRunRequests] needs from the rest of the VM. */
internal interface RemoteRunRequestHost {
    fun isLive(vm: VmIdentity): Boolean

    /** See [FleetView.demandAgeMs]. */
    fun demandAgeMs(incarnation: String): Long?

    /** The cells of [vm] had no room for a run. */
    fun onNoRoom(vm: VmIdentity)

    /** The run [key] has ended, as its owner has reported ([isReported]) or as is concluded from the loss of its owner. */
    fun ended(key: RunKey, end: RunEnd, isReported: Boolean)
}

/** The remote runs of this VM's jobs. Times are in ms on the VM's monotonic clock. */
internal class RemoteRunRequests(
    private val scope: CoroutineScope,
    private val link: PeerLink,
    private val host: RemoteRunRequestHost,
    private val clock: Clock,
) {
    /**
     * A run in a cell of [vm]. It is not started there at [latestStartAt] or later, and the client waits for its job until [deadlineAt],
     * both in ms on this VM's monotonic clock.
     */
    private class RemoteRun(val order: RunOrder, val vm: VmIdentity, val latestStartAt: Long) {
        val key: RunKey = order.key
        val deadlineAt: Long = order.deadlineAt

        /** True once the job has ended, after which the run is not requested again. */
        @Volatile
        var isCancelled = false
    }

    private val runs = ConcurrentHashMap<RunKey, RemoteRun>()
    private val unconfirmedStops = ConcurrentHashMap.newKeySet<RunKey>()

    /** The VMs that have runs in progress. */
    fun partners(): Set<VmIdentity> = runs.values.mapTo(HashSet()) { it.vm }

    /** Requests to stop runs that the runs' owners have not confirmed yet. */
    fun unconfirmedStops(): List<RunCancel> = unconfirmedStops.map { RunCancel(it.run, it.dispatch) }

    /** Incarnations of the VMs whose clients wait for the runs. */
    fun entryVms(): Set<String> = runs.values.mapTo(HashSet()) { it.order.entryVm }

    /** Requests the run of [order] from [vm], where it may wait for [maxWaitMs] at most. */
    fun request(order: RunOrder, vm: VmIdentity, maxWaitMs: Long) {
        val run = RemoteRun(order, vm, latestStartAt = minOf(order.latestStartAt, clock.millis() + maxWaitMs))
        runs[order.key] = run
        scope.launch { requestUntilEnded(run) }
    }

    private suspend fun requestUntilEnded(run: RemoteRun) {
        var mayHaveArrived = false
        var expired = 0
        while (!run.isCancelled) {
            when (val reply = callFor(run)) {
                is PeerReply.Answered -> {
                    if (reply.message != RequestExpired) return ended(run, reply.message)
                    if (++expired > MAX_EXPIRED_REQUESTS) return ended(run, RunEnd.NOT_STARTED, isReported = false)
                    continue
                }

                is PeerReply.NotSent -> if (!mayHaveArrived) return ended(run, RunEnd.NOT_STARTED, isReported = false)

                is PeerReply.Lost -> {
                    mayHaveArrived = true
                    log.info { "event=remote_run_lost ${run.order.run.logFields()} peer=${run.vm.name} reason=\"${reply.reason}\"" }
                }
            }
            if (!host.isLive(run.vm)) {
                ended(run, RunEnd.LOST, isReported = false)
                return stopUntilConfirmed(run)
            }
            delay(RETRY_MS)
        }
    }

    /** Nothing is requested for a client whose VM is lost: its loss is about to end the job. */
    private suspend fun callFor(run: RemoteRun): PeerReply {
        val entryAgeMs = host.demandAgeMs(run.order.entryVm) ?: return PeerReply.NotSent("the client's VM is not known")
        return link.call(run.vm, requestFor(run, entryAgeMs), RUN_TIMEOUT_MS)
    }

    private fun requestFor(run: RemoteRun, entryAgeMs: Long) = with(run.order) {
        val now = clock.millis()
        RemoteRunRequest(
            this.run, payload, pool, demand, estimateMs, requiredLabel, rack, maxPerWorker, dispatch,
            remainingMs = run.deadlineAt - now,
            entryVm = entryVm,
            entryAgeMs = entryAgeMs,
            priority = priority,
            maxWaitMs = (run.latestStartAt - now).coerceAtLeast(0),
            slackMs = onTimeStartAt - now,
        )
    }

    /** The job of the run [key] has ended: stops the run, and does not request it again. */
    fun stop(key: RunKey) {
        val run = runs[key] ?: return
        run.isCancelled = true
        unconfirmedStops += key
        scope.launch { stopUntilConfirmed(run) }
    }

    private suspend fun stopUntilConfirmed(run: RemoteRun) {
        unconfirmedStops += run.key
        try {
            repeatStop(run)
        } finally {
            unconfirmedStops -= run.key
        }
    }

    /** Repeats the request to stop [run] until its owner confirms the end, or for so long that its owner must have lost this VM. */
    private suspend fun repeatStop(run: RemoteRun) {
        val latest = clock.millis() + STOP_PERIOD_MS
        while (clock.millis() < latest) {
            val reply = link.call(run.vm, RunCancel(run.order.run, run.order.dispatch), STOP_TIMEOUT_MS)
            if (reply is PeerReply.Answered) return ended(run, reply.message)
            delay(STOP_RETRY_MS)
        }
        ended(run, RunEnd.LOST, isReported = false)
    }

    private fun ended(run: RemoteRun, message: PeerMessage) = ended(run, (message as? RunAnswer)?.end ?: RunEnd.LOST, isReported = true)

    /** [run] has ended. Only the first call counts. */
    private fun ended(run: RemoteRun, end: RunEnd, isReported: Boolean) {
        if (!runs.remove(run.key, run)) return
        if (isReported && end == RunEnd.NOT_STARTED) host.onNoRoom(run.vm)
        host.ended(run.key, end, isReported)
    }

    companion object {
        /**
         * Longest wait of a remote run for capacity that was announced free and has been taken meanwhile, in ms. Capacity becomes free
         * every few ms; a run that has waited for longer may find capacity elsewhere.
         */
        const val MAX_WAIT_MS = 50L

        /** Longest wait for the reply to one request for a run, which comes when the run has ended, in ms. */
        private const val RUN_TIMEOUT_MS = 15_000L

        /** The most requests for one run that are sent again because they took too long on their way. */
        private const val MAX_EXPIRED_REQUESTS = 3

        /** Pause before the request for a run is repeated, in ms. */
        private const val RETRY_MS = 150L

        /** Longest wait for the end of a run that is to be stopped, before the request is repeated, in ms. */
        private const val STOP_TIMEOUT_MS = 250L

        /** Pause before a request to stop a run is repeated, in ms. */
        private const val STOP_RETRY_MS = 50L

        /** How long a run is asked to stop, in ms: longer than its owner takes to declare this VM lost. */
        private const val STOP_PERIOD_MS = 3_000L
    }
}
