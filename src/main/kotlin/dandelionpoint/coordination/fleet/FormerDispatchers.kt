/*
 * Jobs that a former owner of a cell may still have in progress. Invariant: the owner of a cell dispatches no job that a live former owner
 * of the cell may have in progress. A former owner reports its open jobs, and the workers that it no longer uses, until it has none left.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.VmIdentity

/** What a report of a former owner is good for. */
internal enum class ReportUse {
    APPLIED,

    /** Its sender is not the VM from which the cell was taken over. */
    NOT_AWAITED,

    /** It may have been made before the cell was taken over, and has to be sent again. */
    TOO_OLD,
}

/** The former owners of this VM's cells that have not finished yet. */
internal class FormerDispatchers {
    /** [openJobs] is null until the first report has arrived that was made after [since], the date at which the cell was taken over. */
    private class Former(val vm: VmIdentity, val since: Long, var openJobs: Set<String>? = null)

    private val lock = Any()
    private val formers = HashMap<String, Former>()

    /** This VM has taken [cell] over from [former], on the date [now] of [RunDemand]. */
    fun gained(cell: String, former: VmIdentity, now: Long) {
        synchronized(lock) { formers[cell] = Former(former, now) }
    }

    /**
     * [from] has no jobs of [cell] in progress but [openJobs], according to a report that it made on the date [sentAt] or later. Returns
     * whether the report counts. One of a VM that is not the cell's former owner does not, nor one that may be from an earlier handover of
     * the cell: its sender may have owned the cell again since.
     */
    fun onReport(cell: String, from: VmIdentity, openJobs: Set<String>, sentAt: Long): ReportUse = synchronized(lock) {
        val former = formers[cell]
        when {
            former == null || former.vm != from -> ReportUse.NOT_AWAITED

            sentAt < former.since -> ReportUse.TOO_OLD

            else -> {
                former.openJobs = openJobs
                ReportUse.APPLIED
            }
        }
    }

    /** [vm] is lost, and its jobs have ended with it. */
    fun peerLost(vm: VmIdentity) {
        synchronized(lock) { formers.values.removeIf { it.vm == vm } }
    }

    /** True while the former owner of [cell] has not reported which jobs it has. */
    fun isAwaitingReport(cell: String): Boolean = synchronized(lock) { formers[cell]?.let { it.openJobs == null } ?: false }

    /** The former owner of [cell] that has [jobId] in progress, null if there is none. */
    fun dispatcherOf(cell: String, jobId: String): VmIdentity? =
        synchronized(lock) { formers[cell]?.takeIf { it.openJobs?.contains(jobId) == true }?.vm }

    /** Jobs of [cell] that its former owner has in progress, null while they are not known. */
    fun openJobs(cell: String): Set<String>? = synchronized(lock) { formers[cell].let { if (it == null) emptySet() else it.openJobs } }
}
