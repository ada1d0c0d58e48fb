/* Handles the messages that other entry VMs send: heartbeats, offers of jobs, remote runs, cancellations and handovers of cells. */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.AttemptKey
import dandelionpoint.coordination.fleet.CellDirectory
import dandelionpoint.coordination.fleet.DispatchRoute
import dandelionpoint.coordination.fleet.FormerDispatchers
import dandelionpoint.coordination.fleet.PeerLiveness
import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.coordination.fleet.Submission
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.CancelAnswer
import dandelionpoint.protocol.peer.CellHandover
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.JobAnswer
import dandelionpoint.protocol.peer.JobCancel
import dandelionpoint.protocol.peer.JobOffer
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.ReleaseAnswer
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.RunCancel
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.peer.WorkersReleased
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** What is known of the peers, as their heartbeats and reports have it. */
internal class PeerState(unresponsiveMs: (VmIdentity) -> Long, val remote: RemoteCapacity) {
    val liveness = PeerLiveness(unresponsiveMs)
    val directory = CellDirectory()
    val formers = FormerDispatchers()

    fun onHeartbeat(from: VmIdentity, heartbeat: FleetHeartbeat, now: Long) {
        liveness.onHeartbeat(from, heartbeat, now)
        directory.update(from, heartbeat.cells)
        remote.update(from, heartbeat)
    }

    /** [vm] is lost. */
    fun remove(vm: VmIdentity) {
        directory.remove(vm)
        formers.peerLost(vm)
        remote.remove(vm)
    }
}

/** The parts of the VM that carry out what peers ask for. */
internal class PeerRequestTargets(
    val runner: JobRunner,
    val remoteRuns: RemoteRunServer,
    val claims: CellClaims,
    val cells: OwnedCells,
    val routeOf: (String) -> DispatchRoute,
    val onHeartbeat: (VmIdentity, FleetHeartbeat) -> Unit,
    val configuration: () -> PeerMessage?,
)

/** Handles the messages of peers. [admission] decides whether requests are accepted. */
internal class PeerRequests(
    private val state: PeerState,
    private val admission: WorkAdmission,
    private val targets: PeerRequestTargets,
    private val clock: Clock,
) {
    /** Handles [message]. Returns the reply, or null for a message that has none. */
    suspend fun handle(from: VmIdentity, message: PeerMessage): PeerMessage? {
        admission.check()
        return when (message) {
            is FleetHeartbeat -> {
                targets.onHeartbeat(from, message)
                null
            }

            is JobOffer -> dispatch(from, message)

            is JobCancel -> {
                targets.runner.cancel(AttemptKey(from.incarnation, message.jobId, message.attempt))
                CancelAnswer
            }

            // Without an answer, the sender repeats the request if it still waits. The run may have started before the pause.
            is RemoteRunRequest -> if (admission.acceptsPeers()) runHere(from, message) else null

            is RunCancel -> targets.remoteRuns.cancel(RunKey(from.incarnation, message.dispatch, message.run))

            is PeerMessage.ConfigPull -> targets.configuration()

            is WorkersReleased -> {
                onReport(from, message)
                ReleaseAnswer
            }

            is CellHandover -> {
                targets.claims.handover(message.cell, from)
                null
            }

            else -> {
                log.warn { "event=unexpected_message peer=${from.name} type=${message::class.simpleName}" }
                null
            }
        }
    }

    private suspend fun runHere(from: VmIdentity, request: RemoteRunRequest): PeerMessage {
        val now = clock.millis()
        state.liveness.onMessage(from, now)
        val entryVm = request.entryVm
        val entryAgeMs = request.entryAgeMs
        if (entryVm != null && entryAgeMs != null) state.liveness.onRelayed(entryVm, entryAgeMs, now)
        return targets.remoteRuns.run(from, request)
    }

    private suspend fun dispatch(from: VmIdentity, offer: JobOffer): JobAnswer {
        val now = clock.millis()
        val submission =
            Submission(offer.job, offer.queue, from.incarnation, now - offer.ageMs, now + offer.remainingMs, offer.attempt)
        if (targets.runner.has(submission.attempt)) return JobAnswer(targets.runner.run(submission))
        if (!admission.acceptsOffer(offer.ageMs)) return JobAnswer()
        return when (val route = decidedRoute(offer.job.id)) {
            DispatchRoute.Here -> JobAnswer(targets.runner.run(submission))
            is DispatchRoute.At -> JobAnswer(redirect = route.vm)
            DispatchRoute.Undecided -> JobAnswer()
        }
    }

    /** The route of a job, after a short wait if a former owner of its cell has not reported yet whether it has the job. */
    private suspend fun decidedRoute(jobId: String): DispatchRoute {
        val latest = clock.millis() + MAX_REPORT_WAIT_MS
        var route = targets.routeOf(jobId)
        while (route == DispatchRoute.Undecided && clock.millis() < latest) {
            delay(REPORT_POLL_MS)
            route = targets.routeOf(jobId)
        }
        return route
    }

    private fun onReport(from: VmIdentity, report: WorkersReleased) {
        state.formers.onReport(report.cell, from, report.openJobs)
        targets.cells.released(report.cell, report.workerIds)
        targets.runner.wake()
    }

    private companion object {
        /** Longest wait for the report of a cell's former owner, in ms. */
        const val MAX_REPORT_WAIT_MS = 200L
        const val REPORT_POLL_MS = 10L
    }
}
