/*
 * Cells that this VM has lost to other VMs. It reports to the new owner of a cell that it has handed over what it still uses there, after
 * each change and until nothing is left and the new owner has applied that, and it answers the queries of new owners at any time.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.CellOwner
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.FormerDispatchers
import dandelionpoint.coordination.fleet.LostClaim
import dandelionpoint.coordination.fleet.LostClaims
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.CellUse
import dandelionpoint.protocol.peer.CellUseAnswer
import dandelionpoint.protocol.peer.CellUseQuery
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.ReleaseAnswer
import dandelionpoint.protocol.peer.VmIdentity
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.CopyOnWriteArrayList

/**
 * Handovers in progress. [openJobs] returns the ids of the jobs of a cell that this VM has in progress; [onTakenOver] is called with the
 * new owner of each cell that a query is about. Times are in ms.
 */
internal class CellHandovers(
    private val scope: CoroutineScope,
    private val link: PeerLink,
    private val cells: OwnedCells,
    formers: FormerDispatchers,
    private val openJobs: (String) -> Set<String>,
    private val isLive: (VmIdentity) -> Boolean,
    private val onTakenOver: (String, CellOwner) -> Unit,
    private val clock: Clock,
    private val rules: FleetRules,
) {
    private class Handover(val controller: CellController, val successor: CellOwner, val claim: LostClaim) {
        @Volatile
        var confirmed: CellUse? = null

        @Volatile
        var isSending = false
        var sentAt = Long.MIN_VALUE / 2

        /** Since when nothing of the cell has been in use, null while something is. */
        var unusedSince: Long? = null
    }

    private val lostClaims = LostClaims(cells::token, openJobs, formers)
    private val handovers = CopyOnWriteArrayList<Handover>()

    /** The cell of [controller] belongs to [successor] now; the runs there go on to their end. */
    fun begin(controller: CellController, successor: CellOwner) {
        val cell = controller.cell
        val claim = LostClaim(cell.name, cell.token, openJobs(cell.name)) { cell.usedWorkerIds() }
        lostClaims.add(claim)
        handovers += Handover(controller, successor, claim)
    }

    /** This VM has given up [cell], which it owned under [token], and makes no more calls there: the last lease ends with its time. */
    fun abandoned(cell: String, token: Long) {
        val leasesEndAt = clock.millis() + rules.longestLeaseMs
        lostClaims.add(LostClaim(cell, token, openJobs(cell)) { now -> if (now < leasesEndAt) null else emptySet() })
    }

    /** The answer to the [query] of [from]. Makes this VM notice that it has lost a cell, also while the store does not answer. */
    fun answer(from: VmIdentity, query: CellUseQuery): CellUseAnswer {
        query.cells.forEach { (cell, token) -> onTakenOver(cell, CellOwner(from, token)) }
        val now = clock.millis()
        return CellUseAnswer(query.cells.mapNotNull { (cell, token) -> lostClaims.use(cell, token, now) })
    }

    /** Sends the reports that are due, and ends the handovers that are complete. */
    fun tick() {
        val now = clock.millis()
        handovers.forEach { handover ->
            val report = lostClaims.use(handover.claim.cell, handover.successor.token, now)
            when {
                isComplete(handover, report, now) -> finish(handover)
                report != null && isDue(handover, report, now) -> send(handover, report)
            }
        }
        lostClaims.removeFinished(now)
    }

    /** A new owner that does not confirm the last report, because it does not await one or was paused, asks if it needs it. */
    private fun isComplete(handover: Handover, report: CellUse?, now: Long): Boolean {
        if (report == null || report.usedWorkers.isNotEmpty() || report.openJobs.isNotEmpty()) {
            handover.unusedSince = null
            return false
        }
        val since = handover.unusedSince ?: now.also { handover.unusedSince = now }
        return report == handover.confirmed || !isLive(handover.successor.vm) || now - since > UNCONFIRMED_MS
    }

    private fun finish(handover: Handover) {
        handovers -= handover
        lostClaims.remove(handover.claim)
        cells.finishHandover(handover.controller)
    }

    private fun isDue(handover: Handover, report: CellUse, now: Long): Boolean = !handover.isSending &&
        report != handover.confirmed && now - handover.sentAt >= MIN_INTERVAL_MS && isLive(handover.successor.vm)

    private fun send(handover: Handover, report: CellUse) {
        handover.isSending = true
        handover.sentAt = clock.millis()
        scope.launch {
            val reply = link.call(handover.successor.vm, report, REPLY_TIMEOUT_MS)
            if ((reply as? PeerReply.Answered)?.message == ReleaseAnswer) handover.confirmed = report
            handover.isSending = false
        }
    }

    private companion object {
        /** Shortest time between two reports on one cell, in ms. */
        const val MIN_INTERVAL_MS = 40L

        /** Longest wait for the confirmation of a report, before it is repeated, in ms. */
        const val REPLY_TIMEOUT_MS = 250L

        /** How long the last report is repeated without a confirmation, in ms. */
        const val UNCONFIRMED_MS = 3_000L
    }
}
