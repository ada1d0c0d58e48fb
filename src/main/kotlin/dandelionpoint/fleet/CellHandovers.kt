/*
 * Cells that this VM has handed over. It reports to the new owner which workers it no longer uses and which jobs of the cell it still has
 * in progress, until it has neither left and the new owner has confirmed it.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.FormerDispatchers
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.peer.WorkersReleased
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.CopyOnWriteArrayList

/** Handovers in progress. [openJobs] returns the ids of the jobs of a cell that this VM has in progress. */
internal class CellHandovers(
    private val scope: CoroutineScope,
    private val link: PeerLink,
    private val cells: OwnedCells,
    private val formers: FormerDispatchers,
    private val openJobs: (String) -> Set<String>,
    private val isLive: (VmIdentity) -> Boolean,
    private val clock: Clock,
) {
    private class Handover(val controller: CellController, val successor: VmIdentity) {
        @Volatile
        var confirmed: WorkersReleased? = null

        @Volatile
        var isSending = false
        var sentAt = Long.MIN_VALUE / 2
    }

    private val handovers = CopyOnWriteArrayList<Handover>()

    /** The cell of [controller] belongs to [successor] now. */
    fun begin(controller: CellController, successor: VmIdentity) {
        handovers += Handover(controller, successor)
    }

    /** Sends the reports that are due, and ends the handovers that are complete. */
    fun tick() = handovers.forEach { handover ->
        val report = report(handover)
        when {
            isComplete(handover, report) -> finish(handover)
            report != null && isDue(handover, report) -> send(handover, report)
        }
    }

    /** The present state of the handed-over cell; null while the jobs of a still earlier owner are not known. */
    private fun report(handover: Handover): WorkersReleased? {
        val cell = handover.controller.cell
        val ofFormerOwner = formers.openJobs(cell.name) ?: return null
        return WorkersReleased(cell.name, cell.idleWorkerIds(), openJobs(cell.name) + ofFormerOwner)
    }

    private fun isComplete(handover: Handover, report: WorkersReleased?): Boolean {
        val cell = handover.controller.cell
        return when {
            cell.runCount() > 0 -> false

            // Nobody waits for a report any more.
            !isLive(handover.successor) -> true

            else -> report != null && report == handover.confirmed && report.openJobs.isEmpty() && !cell.isAwaitingRelease()
        }
    }

    private fun finish(handover: Handover) {
        handovers -= handover
        cells.finishHandover(handover.controller)
    }

    private fun isDue(handover: Handover, report: WorkersReleased): Boolean =
        !handover.isSending && report != handover.confirmed && clock.millis() - handover.sentAt >= MIN_INTERVAL_MS

    private fun send(handover: Handover, report: WorkersReleased) {
        handover.isSending = true
        handover.sentAt = clock.millis()
        scope.launch {
            val reply = link.call(handover.successor, report, REPLY_TIMEOUT_MS)
            if (reply is PeerReply.Answered) handover.confirmed = report
            handover.isSending = false
        }
    }

    private companion object {
        /** Shortest time between two reports on one cell, in ms. */
        const val MIN_INTERVAL_MS = 40L

        /** Longest wait for the confirmation of a report, before it is repeated, in ms. */
        const val REPLY_TIMEOUT_MS = 250L
    }
}
