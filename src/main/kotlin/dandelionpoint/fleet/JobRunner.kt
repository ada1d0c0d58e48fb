/*
 * Carries out the decisions of [Dispatch]: starts runs in this VM's cells or, as remote runs, in the cells of other VMs, and returns the
 * outcome to the callers that wait for a job.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.AttemptKey
import dandelionpoint.coordination.fleet.CandidateWorker
import dandelionpoint.coordination.fleet.Dispatch
import dandelionpoint.coordination.fleet.DispatchEvent
import dandelionpoint.coordination.fleet.PeerBacklogs
import dandelionpoint.coordination.fleet.PlacementRules
import dandelionpoint.coordination.fleet.RemoteOffer
import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.coordination.fleet.RunLocation
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.RunPlacer
import dandelionpoint.coordination.fleet.Submission
import dandelionpoint.coordination.fleet.prefersOwn
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.RunCancel
import dandelionpoint.protocol.peer.VmIdentity
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** What a [JobRunner] needs from the rest of the VM. */
internal interface FleetView {
    /**
     * Starts a run in a cell that this VM owns, if the caller [accepts] the best worker there. Returns the cell, null if it does not or if
     * the run fits on no worker. See [OwnedCells.place].
     */
    fun place(order: RunOrder, avoidsWorker: Boolean, accepts: (CandidateWorker) -> Boolean = { true }): String?

    /** True if a run that takes [elsewhereMs] outside its rack waits for the rack. See [OwnedCells.waitsForRack]. */
    fun waitsForRack(order: RunOrder, elsewhereMs: Long): Boolean = false

    /** Cores of a pool's workers in the cells that this VM owns. */
    fun cores(pool: String): Int

    fun isLive(vm: VmIdentity): Boolean

    /** Time in ms since the VM with [incarnation] was certainly there with its clients, null if it is lost or unknown. */
    fun demandAgeMs(incarnation: String): Long?

    /** True if a run of [task], dispatched by any VM, may be in progress in the cells of this VM. */
    fun hasTask(task: TaskRef): Boolean

    /** Stops a run of this VM's jobs in its own cells. */
    fun stopRun(key: RunKey)

    /** The run of [order], which another VM has requested, has waited until its latest start and will not be started. */
    fun refuseWaiting(order: RunOrder) = Unit

    /** Handles a pause of this VM's process that has not been handled yet. */
    fun checkPause() = Unit
}

/** Runs the jobs of [dispatch]. */
internal class JobRunner(
    private val scope: CoroutineScope,
    private val dispatch: Dispatch,
    private val remote: RemoteCapacity,
    link: PeerLink,
    private val view: FleetView,
    private val clock: Clock = Clock.System,
    private val placementRules: PlacementRules = PlacementRules(),
    private val backlogs: PeerBacklogs = PeerBacklogs(),
) {
    private val waiters = ConcurrentHashMap<AttemptKey, CompletableDeferred<JobOutcome>>()
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private val remoteRuns = RemoteRunRequests(scope, link, RemoteRunEvents(), clock)
    private val placer = object : RunPlacer {
        override fun place(order: RunOrder): RunLocation? = this@JobRunner.place(order)

        override fun placeToWait(order: RunOrder, aheadCoreMs: Long): RunLocation? = letWaitElsewhere(order, aheadCoreMs)

        override fun waitElsewhereMs(queue: JobQueue, ownWaitMs: Double): Double? =
            backlogs.leastWaitMs(queue.pool, queue.priority, ownWaitMs, clock.millis())

        override fun placeForPeer(order: RunOrder): Boolean = view.place(order, avoidsWorker = false) { true } != null
    }

    /** Starts the loop that places waiting tasks on workers. */
    fun start() {
        scope.launch {
            val guard = LoopGuard("schedule")
            while (isActive) {
                wakeUp.receive()
                guard.attempt("schedule") {
                    // A run that waited during a pause of the process may not be wanted any more, so that the pause is handled first.
                    view.checkPause()
                    handle(dispatch.schedule(clock.millis(), placer))
                }
            }
        }
    }

    /** Makes the loop try to place waiting tasks, after a change that may let one start. */
    fun wake() {
        wakeUp.trySend(Unit)
    }

    /** Runs a job to its end. Idempotent: an attempt that is repeated gets the outcome of the first call. */
    suspend fun run(submission: Submission): JobOutcome {
        val own = CompletableDeferred<JobOutcome>()
        val waiter = waiters.putIfAbsent(submission.attempt, own)
        if (waiter != null) return waiter.await()
        handle(dispatch.submit(submission, poolCores(submission.queue.pool), clock.millis(), placer))
        // A VM that was lost before the submission is not lost once more.
        if (!isKnown(submission.entryVm)) handle(dispatch.cancelFrom(submission.entryVm, clock.millis()))
        return own.await()
    }

    /** The VMs that have remote runs of this VM in progress. */
    fun partners(): Set<VmIdentity> = remoteRuns.partners()

    /** Requests to stop remote runs that the runs' owners have not confirmed yet. */
    fun unconfirmedStops(): List<RunCancel> = remoteRuns.unconfirmedStops()

    /** Incarnations of the VMs whose clients wait for the remote runs of this VM. */
    fun entryVmsOfRemoteRuns(): Set<String> = remoteRuns.entryVms()

    /** True if [attempt] was submitted here or cancelled, and has not been forgotten since. */
    fun has(attempt: AttemptKey): Boolean = dispatch.has(attempt)

    private fun poolCores(pool: String): Double {
        val own = view.cores(pool)
        return own + remote.cores(pool, hasOwnCell = own > 0)
    }

    /** True if the VM with [incarnation] is this one or one whose loss would be noticed. */
    private fun isKnown(incarnation: String): Boolean = view.demandAgeMs(incarnation) != null

    private fun place(order: RunOrder): RunLocation? {
        if (!isKnown(order.entryVm)) return null
        // A run of the task that another VM dispatched may still be in progress in a cell of this VM.
        if (view.hasTask(order.task)) return null
        var offer: RemoteOffer<RemoteWorker>? = null
        var waits = false
        val own = view.place(order, avoidsWorker = true) { own ->
            val prefersOwn = placementRules.prefersOwn(order, own) { remote.offer(order).also { offer = it } }
            waits = prefersOwn && !own.isInRack && view.waitsForRack(order, own.expectedMs)
            prefersOwn && !waits
        }
        if (own != null || waits) return own?.let { RunLocation.Local(it) }
        return placeElsewhere(order, offer ?: remote.offer(order))
    }

    /** Starts the run at the [offer] of another VM unless it waits for its rack; without an offer, on the worker to avoid. */
    private fun placeElsewhere(order: RunOrder, offer: RemoteOffer<RemoteWorker>?): RunLocation? {
        if (offer == null) return order.avoid?.let { view.place(order, avoidsWorker = false) }?.let { RunLocation.Local(it) }
        val waitsForRack = !offer.isInRack && view.waitsForRack(order, offer.expectedMs)
        return if (waitsForRack) null else placeRemotely(order, offer)
    }

    private fun placeRemotely(order: RunOrder, offer: RemoteOffer<RemoteWorker>): RunLocation {
        val (vm, location) = remote.reserve(order, offer)
        remoteRuns.request(order, vm, RemoteRunRequests.MAX_WAIT_MS)
        return location
    }

    /**
     * Lets the run of [order] wait at another owner if the expected wait is shorter there, for as long as it would have to wait here. Not
     * so a run that requires a label, since it is not known which owners have workers with it.
     */
    private fun letWaitElsewhere(order: RunOrder, aheadCoreMs: Long): RunLocation? {
        val now = clock.millis()
        if (order.requiredLabel != null || order.latestStartAt - now < RemoteRunRequests.MAX_WAIT_MS) return null
        if (!isKnown(order.entryVm) || view.hasTask(order.task)) return null
        val ownWaitMs = view.cores(order.pool).let { cores -> if (cores > 0) aheadCoreMs.toDouble() / cores else null }
        val vm = backlogs.choose(order, ownWaitMs, now) ?: return null
        remoteRuns.request(order, vm, (ownWaitMs?.toLong() ?: WAIT_WITHOUT_CELLS_MS).coerceAtLeast(RemoteRunRequests.MAX_WAIT_MS))
        return RunLocation.Remote(vm.incarnation)
    }

    /**
     * A run of a job that this VM dispatches has ended. [avoid] is the worker that it was on, which the task's next run avoids; it is empty
     * for a remote run whose end the other VM has reported, and null if there is no such report.
     */
    fun ended(key: RunKey, end: RunEnd, avoid: String?) {
        handle(dispatch.onRunEnd(key, end, avoid, clock.millis()))
        onCapacity()
    }

    private inner class RemoteRunEvents : RemoteRunRequestHost {
        override fun isLive(vm: VmIdentity): Boolean = view.isLive(vm)

        override fun demandAgeMs(incarnation: String): Long? = view.demandAgeMs(incarnation)

        override fun onNoRoom(vm: VmIdentity) = remote.markFull(vm)

        override fun ended(key: RunKey, end: RunEnd, isReported: Boolean) =
            this@JobRunner.ended(key, end, avoid = if (isReported) "" else null)
    }

    /** The client of [attempt] has disconnected or cancelled it. */
    fun cancel(attempt: AttemptKey) = handle(dispatch.cancel(attempt, clock.millis()))

    /** True if the job is in progress here. */
    fun hasJob(jobId: String): Boolean = dispatch.hasJob(jobId)

    /** A client has cancelled the job [jobId]. Returns false if it is not in progress here. See [Dispatch.cancelJob]. */
    fun cancelJob(jobId: String): Boolean {
        val events = dispatch.cancelJob(jobId, clock.millis()) ?: return false
        log.info { "event=job_cancelled job=$jobId" }
        handle(events)
        return true
    }

    /** [vm] is lost: ends the jobs of the clients that were connected to it. */
    fun peerLost(vm: VmIdentity) {
        remote.remove(vm)
        handle(dispatch.cancelFrom(vm.incarnation, clock.millis()))
    }

    /** Ends all jobs for [reason]. */
    fun endAll(reason: String) = handle(dispatch.cancelAll(reason, clock.millis()))

    /** Capacity may have become free, here or at another VM: makes the loop try to place waiting tasks. */
    fun onCapacity() {
        if (dispatch.hasWaitingWork) wake()
    }

    /** Makes the loop check deadlines, waiting tasks and waiting runs of other VMs, if there are any, and logs what waits. */
    fun tick() {
        if (dispatch.size() > 0 || dispatch.hasWaitingWork) wake()
        dispatch.waitingReport(clock.millis())?.let { log.info { it } }
    }

    private fun handle(events: List<DispatchEvent>) = events.forEach { event ->
        when (event) {
            is DispatchEvent.Finished -> {
                if (event.outcome != JobOutcome.Completed) {
                    val attempts = event.attempts.joinToString(",") { "${it.entryVm}/${it.number}" }
                    log.info { "event=job_ended job=${event.jobId} attempts=$attempts outcome=${event.outcome}" }
                }
                event.attempts.forEach { waiters.remove(it)?.complete(event.outcome) }
            }

            is DispatchEvent.StopRun -> {
                log.info { "event=run_stop_requested ${event.key.run.logFields()} location=${event.location}" }
                stopRun(event.key, event.location)
            }

            is DispatchEvent.WaitingRunExpired -> view.refuseWaiting(event.order)
        }
    }

    private fun stopRun(key: RunKey, location: RunLocation) {
        when (location) {
            is RunLocation.Local -> view.stopRun(key)
            is RunLocation.Remote -> remoteRuns.stop(key)
        }
    }

    private companion object {
        /** Longest wait at one other owner of a run of a VM that has no workers of the pool, in ms. */
        const val WAIT_WITHOUT_CELLS_MS = 200L
    }
}
