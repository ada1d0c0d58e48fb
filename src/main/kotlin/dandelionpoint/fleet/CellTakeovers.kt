/*
 * Cells that this VM has taken over from live VMs. It applies what their former owners report, and asks them at a fixed interval until
 * nothing there is in use any more: a report may be lost, or come before this VM knows that it owns the cell.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.FormerDispatchers
import dandelionpoint.coordination.fleet.ReportUse
import dandelionpoint.protocol.peer.CellUse
import dandelionpoint.protocol.peer.CellUseAnswer
import dandelionpoint.protocol.peer.CellUseQuery
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

private val log = KotlinLogging.logger {}

/** Takeovers in progress. [now] returns the present date, in ms; [onReleased] is called when workers or jobs may have become free. */
internal class CellTakeovers(
    private val scope: CoroutineScope,
    private val link: PeerLink,
    private val cells: OwnedCells,
    private val formers: FormerDispatchers,
    private val now: () -> Long,
    private val onReleased: () -> Unit,
) {
    /** Applies [report], which [from] made on the date [sentAt] or later. Returns false if it does not count: it is not confirmed then. */
    fun onReport(from: VmIdentity, report: CellUse, sentAt: Long): Boolean {
        if (formers.onReport(from, report, sentAt) != ReportUse.APPLIED) return false
        cells.updateReleased(report.cell)
        onReleased()
        return true
    }

    /** Asks the former owners that are due, each with one message for all of its cells. */
    fun tick() = formers.takeDueQueries(now()).forEach { (former, cells) -> scope.launch { ask(former, CellUseQuery(cells)) } }

    /** The answer is made after the query was received, so that the date of the query is a date of the answer. */
    private suspend fun ask(former: VmIdentity, query: CellUseQuery) {
        val sentAt = now()
        val reply = link.call(former, query, REPLY_TIMEOUT_MS)
        val reports = ((reply as? PeerReply.Answered)?.message as? CellUseAnswer)?.reports.orEmpty()
        reports.forEach { onReport(former, it, sentAt) }
        val unknown = query.cells.size - reports.size
        if (unknown > 0) log.info { "event=cell_use_unknown former=${former.name} cells=$unknown of=${query.cells.size}" }
    }

    private companion object {
        /** Longest wait for the answer to a query, in ms; the next one is sent then. */
        const val REPLY_TIMEOUT_MS = 250L
    }
}
