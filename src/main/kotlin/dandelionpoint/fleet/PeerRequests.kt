/* Handles the messages that other entry VMs send: heartbeats, offers of jobs, remote runs, cancellations and handovers of cells. */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.AttemptKey
import dandelionpoint.coordination.fleet.CellDirectory
import dandelionpoint.coordination.fleet.DispatchRoute
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.FormerDispatchers
import dandelionpoint.coordination.fleet.PeerBacklogs
import dandelionpoint.coordination.fleet.PeerLiveness
import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.coordination.fleet.Submission
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobOutcome
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.CancelAnswer
import dandelionpoint.protocol.peer.CellHandover
import dandelionpoint.protocol.peer.CellUse
import dandelionpoint.protocol.peer.CellUseQuery
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.InquiryAnswer
import dandelionpoint.protocol.peer.JobAnswer
import dandelionpoint.protocol.peer.JobCancel
import dandelionpoint.protocol.peer.JobInquiry
import dandelionpoint.protocol.peer.JobOffer
import dandelionpoint.protocol.peer.JobPresence
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.ReleaseAnswer
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.RunCancel
import dandelionpoint.protocol.peer.VmIdentity
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay

private val log = KotlinLogging.logger {}

/** What is known of the peers, as their heartbeats and reports have it. */
internal class PeerState(unresponsiveMs: (VmIdentity) -> Long, val remote: RemoteCapacity, val backlogs: PeerBacklogs) {
    val liveness = PeerLiveness(unresponsiveMs)
    val directory = CellDirectory()
    val formers = FormerDispatchers()

    /** [from] has made [heartbeat], which was read at [now], on the date [sentAt] or later. */
    fun onHeartbeat(from: VmIdentity, heartbeat: FleetHeartbeat, now: Long, sentAt: Long) {
        liveness.onHeartbeat(from, heartbeat, now, sentAt)
        directory.update(from, heartbeat.cells)
        remote.update(from, heartbeat)
        backlogs.update(from, heartbeat, now)
    }

    /** [vm] is lost. */
    fun remove(vm: VmIdentity) {
        directory.remove(vm)
        formers.peerLost(vm)
        remote.remove(vm)
        backlogs.remove(vm)
    }
}

/** The parts of the VM that move cells from one owner to another. */
internal class CellMoves(val claims: CellClaims, val handovers: CellHandovers, val takeovers: CellTakeovers)

/** The parts of the VM that carry out what peers ask for. */
internal class PeerRequestTargets(
    val runner: JobRunner,
    val inquiries: JobInquiries,
    val remoteRuns: RemoteRunServer,
    val cells: CellMoves,
    val routeOf: (String) -> DispatchRoute,
    /** The refusal of a job whose client waits for a time in ms, null unless this VM stops before the job has ended. */
    val stopRefusal: (FleetJob, Long) -> JobOutcome?,
    val onHeartbeat: (VmIdentity, FleetHeartbeat, Long) -> Unit,
    val configuration: () -> PeerMessage?,
)

/**
 * Handles the messages of peers. [admission] decides whether requests are accepted. Invariant: what a message asks for or permits counts
 * from when its sender made it, by the clock of [demand], never from when it was read; what it ends stays ended, and needs no date.
 */
internal class PeerRequests(
    private val state: PeerState,
    private val admission: WorkAdmission,
    private val demand: PeerDemand,
    private val targets: PeerRequestTargets,
    private val rules: FleetRules,
    private val clock: Clock,
) {
    /** Handles [message], which [from] made on the date [sentAt] or later. Returns the reply, or null for a message that has none. */
    suspend fun handle(from: VmIdentity, message: PeerMessage, sentAt: Long): PeerMessage? {
        admission.check()
        return when (message) {
            is FleetHeartbeat -> {
                targets.onHeartbeat(from, message, sentAt)
                null
            }

            is JobOffer -> dispatch(from, message, sentAt)

            is JobCancel -> {
                targets.runner.cancel(AttemptKey(from.incarnation, message.jobId, message.attempt))
                CancelAnswer
            }

            is JobInquiry -> answer(from, message, sentAt)

            // Without an answer, the sender repeats the request if it still waits. The run may have started before the pause.
            is RemoteRunRequest -> if (admission.acceptsPeers()) runHere(from, message, sentAt) else null

            is RunCancel -> targets.remoteRuns.cancel(RunKey(from.incarnation, message.dispatch, message.run))

            is PeerMessage.ConfigPull -> targets.configuration()

            else -> handleCellMove(from, message, sentAt)
        }
    }

    private suspend fun handleCellMove(from: VmIdentity, message: PeerMessage, sentAt: Long): PeerMessage? = when (message) {
        // Without an answer, the sender repeats the report.
        is CellUse -> if (targets.cells.takeovers.onReport(from, message, sentAt)) ReleaseAnswer else null

        is CellUseQuery -> targets.cells.handovers.answer(from, message)

        is CellHandover -> {
            if (!isExpired(from, message, sentAt, MAX_HANDOVER_AGE_MS)) targets.cells.claims.handover(message.cell, from)
            null
        }

        else -> {
            log.warn { "event=unexpected_message peer=${from.name} type=${message::class.simpleName}" }
            null
        }
    }

    /** An inquiry that was held up could cancel a later submission of the same job. Its sender asks again. */
    private fun answer(from: VmIdentity, inquiry: JobInquiry, sentAt: Long): InquiryAnswer {
        val isExpired = isExpired(from, inquiry, sentAt, rules.maxRequestAgeMs)
        return if (isExpired) InquiryAnswer(JobPresence.UNKNOWN) else targets.inquiries.answer(inquiry)
    }

    private suspend fun runHere(from: VmIdentity, request: RemoteRunRequest, sentAt: Long): PeerMessage {
        val now = clock.millis()
        val entryAgeMs = entryAgeMs(from, request)
        val isExpired = entryAgeMs == null || isExpired(from, request, sentAt, rules.maxRequestAgeMs)
        state.liveness.onMessage(from, now)
        val entryVm = request.entryVm
        if (entryVm != null && entryAgeMs != null) state.liveness.onReport(from.incarnation, entryVm, entryAgeMs, sentAt, now)
        return targets.remoteRuns.run(from, request, demand.limited(sentAt - (entryAgeMs ?: 0)), isExpired, demand.now() - sentAt)
    }

    /** How long before [request] was made the VM of its client was certainly there, in ms; null if its sender did not know that VM. */
    private fun entryAgeMs(from: VmIdentity, request: RemoteRunRequest): Long? {
        val isSender = request.entryVm == null || request.entryVm == from.incarnation
        val ageMs = request.entryAgeMs ?: if (isSender) 0 else null
        if (ageMs == null) log.info { "event=request_for_unknown_vm peer=${from.name} ${request.run.logFields()} vm=${request.entryVm}" }
        return ageMs
    }

    /** True if [message] may be older than [maxAgeMs]. */
    private fun isExpired(from: VmIdentity, message: PeerMessage, sentAt: Long, maxAgeMs: Long): Boolean {
        val ageMs = demand.now() - sentAt
        if (ageMs <= maxAgeMs) return false
        log.info { "event=request_expired peer=${from.name} type=${message::class.simpleName} age_ms=$ageMs" }
        return true
    }

    private suspend fun dispatch(from: VmIdentity, offer: JobOffer, sentAt: Long): JobAnswer {
        val now = clock.millis()
        val submission =
            Submission(offer.job, offer.queue, from.incarnation, now - offer.ageMs, now + offer.remainingMs, offer.attempt)
        if (targets.runner.has(submission.attempt)) return JobAnswer(targets.runner.run(submission))
        if (!acceptsOffer(from, offer, sentAt)) return JobAnswer()
        return when (val route = decidedRoute(offer.job.id)) {
            DispatchRoute.Here -> if (introduce(from, offer, sentAt)) JobAnswer(targets.runner.run(submission)) else JobAnswer()
            is DispatchRoute.At -> JobAnswer(redirect = route.vm)
            DispatchRoute.Undecided -> JobAnswer()
        }
    }

    private fun acceptsOffer(from: VmIdentity, offer: JobOffer, sentAt: Long): Boolean =
        !isExpired(from, offer, sentAt, rules.maxRequestAgeMs) &&
            !isTooLate(offer) &&
            admission.acceptsOffer(offer.ageMs + demand.now() - sentAt)

    /** Makes sure that the loss of [from] will be noticed, which ends the job of [offer]. Returns false if that is not certain. */
    private fun introduce(from: VmIdentity, offer: JobOffer, sentAt: Long): Boolean {
        val isKnown = state.liveness.introduce(from, clock.millis(), sentAt)
        if (!isKnown) log.info { "event=offer_of_unknown_vm job=${offer.job.id} peer=${from.name} incarnation=${from.incarnation}" }
        return isKnown
    }

    /** True if this VM stops, and the offered job may not end before its process does. */
    private fun isTooLate(offer: JobOffer): Boolean = targets.stopRefusal(offer.job, offer.remainingMs) != null

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

    private companion object {
        /** An offer of a cell that may be older is not followed: its owner would not take the loss of the cell for a handover, in ms. */
        const val MAX_HANDOVER_AGE_MS = 1_500L

        /** Longest wait for the report of a cell's former owner, in ms. */
        const val MAX_REPORT_WAIT_MS = 200L
        const val REPORT_POLL_MS = 10L
    }
}
