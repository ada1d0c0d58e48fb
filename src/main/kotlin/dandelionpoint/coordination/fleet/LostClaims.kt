/*
 * What this VM still uses of cells that other VMs have claimed since: its runs there that go on to their end, and its jobs in progress.
 * Invariant: a report on the claims under lower tokens than a given one never grows, and names a worker until the last run that may have
 * been started there under those claims has certainly ended.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.CellUse

/**
 * The claim of this VM on [cell] under [token], which it has lost. [openJobs] were in progress at the loss. [usedWorkers] returns the
 * workers that runs of the claim may be in progress on at a time in ms on the VM's monotonic clock, null if these are not known.
 */
internal class LostClaim(val cell: String, val token: Long, val openJobs: Set<String>, val usedWorkers: (now: Long) -> Set<String>?)

/**
 * The lost claims of this VM. [ownToken] returns the token under which it owns a cell, null if it does not; [openJobs] the jobs of a cell
 * that it has in progress. [formers] has what still earlier owners use.
 */
internal class LostClaims(
    private val ownToken: (String) -> Long?,
    private val openJobs: (String) -> Set<String>,
    private val formers: FormerDispatchers,
) {
    private val lock = Any()
    private val claims = mutableListOf<LostClaim>()

    fun add(claim: LostClaim) {
        synchronized(lock) { claims += claim }
    }

    /**
     * What is still in use of [cell] from claims under tokens lower than [token], under which another VM owns the cell. Null while that is
     * not known: an earlier owner has not reported, leases of an abandoned claim may last, or this VM takes the cell for its own.
     */
    fun use(cell: String, token: Long, now: Long): CellUse? {
        val own = ownToken(cell)
        if (own != null && own < token) return null
        val lost = synchronized(lock) { claims.filter { it.cell == cell && it.token < token } }
        val workers = lost.map { it.usedWorkers(now) }
        val workersOfFormers = formers.usedWorkers(cell, token - 1)
        val jobsOfFormers = formers.openJobs(cell, token - 1)
        if (null in workers || workersOfFormers == null || jobsOfFormers == null) return null
        return CellUse(cell, token, workers.filterNotNull().flatten().toSet() + workersOfFormers, jobsOf(cell, own, lost) + jobsOfFormers)
    }

    /** If this VM owns the cell again, the jobs that it has accepted since then are not part of the earlier claims. */
    private fun jobsOf(cell: String, ownToken: Long?, lost: List<LostClaim>): Set<String> {
        val open = openJobs(cell)
        return if (ownToken == null) open else lost.flatMapTo(HashSet()) { it.openJobs } intersect open
    }

    /** Forgets [claim], of which nothing is in use any more. */
    fun remove(claim: LostClaim) {
        synchronized(lock) { claims -= claim }
    }

    /** Forgets the claims on which [isFinished]. */
    fun removeFinished(now: Long) = synchronized(lock) {
        claims.removeIf { it.usedWorkers(now)?.isEmpty() == true && (it.openJobs intersect openJobs(it.cell)).isEmpty() }
    }
}
