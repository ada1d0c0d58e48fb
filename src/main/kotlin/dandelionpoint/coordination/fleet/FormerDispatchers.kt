/*
 * What the former owners of this VM's cells still use there. Invariant: the owner of a cell dispatches no job, and uses no worker, that a
 * live former owner of the cell may have in progress or in use, and it asks that one at a fixed interval until a report made after the
 * takeover says that nothing is left, or until the former owner is lost.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.CellUse
import dandelionpoint.protocol.peer.VmIdentity

/** What a report of a former owner is good for. Only one that was applied may be confirmed. */
internal enum class ReportUse {
    APPLIED,

    /** Its sender is not the VM from which the cell was taken over, or this VM does not know yet that it owns the cell. */
    NOT_AWAITED,

    /** It may have been made before the cell was taken over, and has to be sent again. */
    TOO_OLD,
}

/**
 * The former owners of this VM's cells. A cell that was taken over several times may have several; that of a claim reports on all claims
 * under lower tokens. Dates are those of [RunDemand], in ms.
 */
internal class FormerDispatchers {
    /** [vm] owned a cell until this VM claimed it under [token], which it learned on the date [since]. */
    private class Former(val vm: VmIdentity, val token: Long, val since: Long) {
        /** Its last report, null until the first one. */
        var use: CellUse? = null
        var queryDueAt = since + QUERY_INTERVAL_MS

        val isFinished: Boolean get() = use?.let { it.usedWorkers.isEmpty() && it.openJobs.isEmpty() } ?: false
    }

    private val lock = Any()
    private val formers = HashMap<String, List<Former>>()

    /**
     * This VM has taken [cell] over from [former], under [token]; it learns it on the date [now]. The reports of [former] for this claim
     * cover those for earlier ones.
     */
    fun gained(cell: String, token: Long, former: VmIdentity, now: Long) {
        synchronized(lock) {
            val others = formers[cell].orEmpty().filter { !it.isFinished && it.vm != former }
            formers[cell] = others + Former(former, token, now)
        }
    }

    /**
     * Applies [report], which [from] made on the date [sentAt] or later. Reports may overtake each other. Since what is in use never
     * grows, an earlier one than the last does no harm.
     */
    fun onReport(from: VmIdentity, report: CellUse, sentAt: Long): ReportUse = synchronized(lock) {
        val former = formers[report.cell]?.firstOrNull { it.vm == from && it.token == report.token }
        when {
            former == null -> ReportUse.NOT_AWAITED

            sentAt < former.since -> ReportUse.TOO_OLD

            else -> {
                former.use = former.use?.shrunkTo(report) ?: report
                ReportUse.APPLIED
            }
        }
    }

    private fun CellUse.shrunkTo(other: CellUse) =
        copy(usedWorkers = usedWorkers intersect other.usedWorkers, openJobs = openJobs intersect other.openJobs)

    /** [vm] is lost, and its jobs and runs have ended with it or end with their leases. */
    fun peerLost(vm: VmIdentity) {
        synchronized(lock) {
            formers.replaceAll { _, ofCell -> ofCell.filter { it.vm != vm } }
            formers.values.removeIf { it.isEmpty() }
        }
    }

    /** True while a former owner of [cell] has not reported which jobs it has. */
    fun isAwaitingReport(cell: String): Boolean = synchronized(lock) { formers[cell].orEmpty().any { it.use == null } }

    /** The former owner of [cell] that has [jobId] in progress, null if there is none. */
    fun dispatcherOf(cell: String, jobId: String): VmIdentity? =
        synchronized(lock) { formers[cell].orEmpty().firstOrNull { jobId in it.use?.openJobs.orEmpty() }?.vm }

    /** Jobs of [cell] that former owners of the claims up to [token] have in progress, null while they are not known. */
    fun openJobs(cell: String, token: Long = Long.MAX_VALUE): Set<String>? = union(cell, token) { it.openJobs }

    /** Workers of [cell] that former owners of the claims up to [token] use, null while they are not known. */
    fun usedWorkers(cell: String, token: Long = Long.MAX_VALUE): Set<String>? = union(cell, token) { it.usedWorkers }

    private fun union(cell: String, token: Long, part: (CellUse) -> Set<String>): Set<String>? = synchronized(lock) {
        val uses = formers[cell].orEmpty().filter { it.token <= token }.map { it.use }
        if (null in uses) null else uses.filterNotNull().flatMapTo(HashSet(), part)
    }

    /** The cells, with the tokens of this VM's claims, of which each former owner has to be asked at [now]. Counts as asked then. */
    fun takeDueQueries(now: Long): Map<VmIdentity, Map<String, Long>> = synchronized(lock) {
        val due = formers.flatMap { (cell, ofCell) -> ofCell.filter { !it.isFinished && it.queryDueAt <= now }.map { cell to it } }
        due.forEach { (_, former) -> former.queryDueAt = now + QUERY_INTERVAL_MS }
        due.groupBy({ (_, former) -> former.vm }) { (cell, former) -> cell to former.token }.mapValues { (_, cells) -> cells.toMap() }
    }

    private companion object {
        /** How long the new owner waits for a report before it asks, and asks again, in ms: longer than an undisturbed takeover needs. */
        const val QUERY_INTERVAL_MS = 250L
    }
}
