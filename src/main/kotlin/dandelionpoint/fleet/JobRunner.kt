/*
 * Carries out what [Dispatch] decides: starts runs in the own cells or lends them to other VMs' cells, and answers those who wait for a
 * job. A lent run is asked for again over a new connection when the first one breaks; the lender takes repeated requests as one.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Dispatch
import dandelionpoint.coordination.fleet.DispatchEvent
import dandelionpoint.coordination.fleet.RoomFinder
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.RunPlace
import dandelionpoint.coordination.fleet.Submission
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.RunAnswer
import dandelionpoint.protocol.peer.RunCancel
import dandelionpoint.protocol.peer.RunLoan
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

/** What a runner sees of the rest of the VM. */
internal interface FleetView {
    fun keepers(): Collection<CellKeeper>

    fun isLive(vm: VmIdentity): Boolean

    fun peer(incarnation: String): VmIdentity?

    /** Stops a run of this VM's jobs in its own cells. */
    fun stopRun(run: TaskRun)
}

/** Runs the jobs of [dispatch]. */
internal class JobRunner(
    private val scope: CoroutineScope,
    private val dispatch: Dispatch,
    private val remote: RemoteRooms,
    private val link: PeerLink,
    private val view: FleetView,
    private val clock: Clock = Clock.System,
) {
    private val waiters = ConcurrentHashMap<String, CompletableDeferred<JobOutcome>>()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val rooms = RoomFinder { place(it) }

    /** Starts the loop that gives room to waiting tasks. */
    fun start() {
        scope.launch {
            while (isActive) {
                wakeUp.receive()
                handle(dispatch.schedule(clock.millis(), rooms))
            }
        }
    }

    /** Something has changed that may let a task start. */
    fun wake() {
        wakeUp.trySend(Unit)
    }

    /** Runs a job to its end. A job that is already in hand is joined. */
    suspend fun run(submission: Submission): JobOutcome {
        val id = submission.job.id
        val mine = CompletableDeferred<JobOutcome>()
        val waiter = waiters.putIfAbsent(id, mine)
        if (waiter != null) return waiter.await()
        handle(dispatch.submit(submission, poolCores(submission.queue.pool), clock.millis(), rooms))
        return mine.await()
    }

    private fun poolCores(pool: String): Double {
        val own = view.keepers().sumOf { it.cell.cores()[pool] ?: 0 }
        return own + remote.cores(pool, hasOwnCell = own > 0)
    }

    private fun place(order: RunOrder): RunPlace? {
        view.keepers().firstOrNull { it.place(order) }?.let { return RunPlace.Local(it.cell.name) }
        val (vm, place) = remote.take(order) ?: return null
        scope.launch { lend(order, vm, place) }
        return place
    }

    private suspend fun lend(order: RunOrder, vm: VmIdentity, place: RunPlace.Remote) {
        val loan = with(order) { RunLoan(place.cell, run, payload, pool, demand, estimateMs, requiredLabel, rack, maxPerWorker) }
        var mayHaveArrived = false
        while (true) {
            when (val reply = link.call(vm, loan, LOAN_TIMEOUT_MS)) {
                is PeerReply.Answered -> {
                    val end = (reply.message as? RunAnswer)?.end ?: RunEnd.LOST
                    if (end == RunEnd.NOT_STARTED) remote.exhausted(vm)
                    return ended(order.run, end, avoid = "")
                }

                is PeerReply.NotSent -> if (!mayHaveArrived) return ended(order.run, RunEnd.NOT_STARTED, avoid = null)

                is PeerReply.Lost -> mayHaveArrived = true
            }
            if (!view.isLive(vm)) return ended(order.run, RunEnd.LOST, avoid = null)
            delay(LOAN_RETRY_MS)
        }
    }

    /** A run of this VM's jobs has ended. */
    fun ended(run: TaskRun, end: RunEnd, avoid: String?) {
        handle(dispatch.onRunEnd(run, end, avoid, clock.millis()))
        wake()
    }

    fun cancel(jobId: String): Boolean {
        val isKnown = dispatch.has(jobId)
        handle(dispatch.cancel(jobId))
        return isKnown
    }

    /** Ends the jobs of clients that were connected to the lost VM [vm]. */
    fun peerLost(vm: VmIdentity) {
        remote.forget(vm)
        handle(dispatch.cancelFrom(vm.incarnation))
    }

    /** Ends all jobs: this VM stood still. */
    fun stoodStill(pauseMs: Long) = handle(dispatch.cancelAll("the VM stood still for $pauseMs ms"))

    /** Checks deadlines and waiting tasks. */
    fun tick() {
        if (dispatch.size() > 0) wake()
    }

    private fun handle(events: List<DispatchEvent>) = events.forEach { event ->
        when (event) {
            is DispatchEvent.Finished -> {
                if (event.outcome != JobOutcome.Completed) log.info { "event=job_ended job=${event.jobId} outcome=${event.outcome}" }
                waiters.remove(event.jobId)?.complete(event.outcome)
            }

            is DispatchEvent.StopRun -> stopRun(event.run, event.place)
        }
    }

    private fun stopRun(run: TaskRun, place: RunPlace) {
        when (place) {
            is RunPlace.Local -> view.stopRun(run)
            is RunPlace.Remote -> view.peer(place.vm)?.let { link.send(it, RunCancel(run)) }
        }
    }

    private companion object {
        /** Longest time a lent run is waited for, in ms. */
        const val LOAN_TIMEOUT_MS = 15_000L
        const val LOAN_RETRY_MS = 150L
    }
}
