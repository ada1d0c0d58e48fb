/*
 * Carries out the decisions of [Dispatch]: starts runs in this VM's cells or, as remote runs, in the cells of other VMs, and returns the
 * outcome to the callers that wait for a job. The request for a remote run is repeated over a new connection when the first one breaks;
 * the VM that runs it handles repeated requests as one.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Dispatch
import dandelionpoint.coordination.fleet.DispatchEvent
import dandelionpoint.coordination.fleet.RunLocation
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.RunPlacer
import dandelionpoint.coordination.fleet.Submission
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.RunAnswer
import dandelionpoint.protocol.peer.RunCancel
import dandelionpoint.protocol.peer.VmIdentity
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** What a [JobRunner] needs from the rest of the VM. */
internal interface FleetView {
    /** Controllers of the cells that this VM owns. */
    fun controllers(): Collection<CellController>

    fun isLive(vm: VmIdentity): Boolean

    /** The live peer with [incarnation], or null. */
    fun peer(incarnation: String): VmIdentity?

    /** Stops a run of this VM's jobs in its own cells. */
    fun stopRun(run: TaskRun)
}

/** Runs the jobs of [dispatch]. */
internal class JobRunner(
    private val scope: CoroutineScope,
    private val dispatch: Dispatch,
    private val remote: RemoteCapacity,
    private val link: PeerLink,
    private val view: FleetView,
    private val clock: Clock = Clock.System,
) {
    private val waiters = ConcurrentHashMap<String, CompletableDeferred<JobOutcome>>()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val placer = RunPlacer { place(it) }

    /** Starts the loop that places waiting tasks on workers. */
    fun start() {
        scope.launch {
            while (isActive) {
                wakeUp.receive()
                handle(dispatch.schedule(clock.millis(), placer))
            }
        }
    }

    /** Makes the loop try to place waiting tasks, after a change that may let one start. */
    fun wake() {
        wakeUp.trySend(Unit)
    }

    /** Runs a job to its end. If the job is already in progress, waits for its outcome. */
    suspend fun run(submission: Submission): JobOutcome {
        val id = submission.job.id
        val own = CompletableDeferred<JobOutcome>()
        val waiter = waiters.putIfAbsent(id, own)
        if (waiter != null) return waiter.await()
        handle(dispatch.submit(submission, poolCores(submission.queue.pool), clock.millis(), placer))
        return own.await()
    }

    private fun poolCores(pool: String): Double {
        val own = view.controllers().sumOf { it.cell.cores()[pool] ?: 0 }
        return own + remote.cores(pool, hasOwnCell = own > 0)
    }

    private fun place(order: RunOrder): RunLocation? {
        view.controllers().firstOrNull { it.place(order) }?.let { return RunLocation.Local(it.cell.name) }
        val (vm, location) = remote.reserve(order) ?: return null
        scope.launch { runRemotely(order, vm, location) }
        return location
    }

    private suspend fun runRemotely(order: RunOrder, vm: VmIdentity, location: RunLocation.Remote) {
        val request = with(order) {
            RemoteRunRequest(location.cell, run, payload, pool, demand, estimateMs, requiredLabel, rack, maxPerWorker)
        }
        var mayHaveArrived = false
        while (true) {
            when (val reply = link.call(vm, request, REMOTE_RUN_TIMEOUT_MS)) {
                is PeerReply.Answered -> {
                    val end = (reply.message as? RunAnswer)?.end ?: RunEnd.LOST
                    if (end == RunEnd.NOT_STARTED) remote.markFull(vm)
                    return ended(order.run, end, avoid = "")
                }

                is PeerReply.NotSent -> if (!mayHaveArrived) return ended(order.run, RunEnd.NOT_STARTED, avoid = null)

                is PeerReply.Lost -> {
                    mayHaveArrived = true
                    log.info { "event=remote_run_lost ${order.run.logFields()} peer=${vm.name} reason=\"${reply.reason}\"" }
                }
            }
            if (!view.isLive(vm)) return ended(order.run, RunEnd.LOST, avoid = null)
            delay(REMOTE_RUN_RETRY_MS)
        }
    }

    /**
     * A run of a job that this VM dispatches has ended. [avoid] is the worker that it was on, which the task's next run avoids; it is empty
     * for a remote run whose end the other VM has reported, and null if there is no such report.
     */
    fun ended(run: TaskRun, end: RunEnd, avoid: String?) {
        handle(dispatch.onRunEnd(run, end, avoid, clock.millis()))
        wake()
    }

    fun cancel(jobId: String): Boolean {
        val isKnown = dispatch.has(jobId)
        if (!isKnown) log.info { "event=cancel_of_unknown_job job=$jobId" }
        handle(dispatch.cancel(jobId))
        return isKnown
    }

    /** [vm] is lost: ends the jobs of the clients that were connected to it. */
    fun peerLost(vm: VmIdentity) {
        remote.remove(vm)
        handle(dispatch.cancelFrom(vm.incarnation))
    }

    /** Ends all jobs, because this process was paused for so long that its peers have declared the VM lost. */
    fun onProcessPause(pauseMs: Long) = handle(dispatch.cancelAll("the VM process was paused for $pauseMs ms"))

    /** Makes the loop check deadlines and waiting tasks, if there are jobs. */
    fun tick() {
        if (dispatch.size() > 0) wake()
    }

    private fun handle(events: List<DispatchEvent>) = events.forEach { event ->
        when (event) {
            is DispatchEvent.Finished -> {
                if (event.outcome != JobOutcome.Completed) log.info { "event=job_ended job=${event.jobId} outcome=${event.outcome}" }
                waiters.remove(event.jobId)?.complete(event.outcome)
            }

            is DispatchEvent.StopRun -> {
                log.info { "event=run_stop_requested ${event.run.logFields()} location=${event.location}" }
                stopRun(event.run, event.location)
            }
        }
    }

    private fun stopRun(run: TaskRun, location: RunLocation) {
        when (location) {
            is RunLocation.Local -> view.stopRun(run)
            is RunLocation.Remote -> view.peer(location.vm)?.let { link.send(it, RunCancel(run)) }
        }
    }

    private companion object {
        /** Longest wait for the reply to one request for a remote run, which comes when the run has ended, in ms. */
        const val REMOTE_RUN_TIMEOUT_MS = 15_000L

        /** Pause before the request for a remote run is repeated, in ms. */
        const val REMOTE_RUN_RETRY_MS = 150L
    }
}
