/*
 * Runs that other VMs' jobs have in this VM's cells. A repeated request for the same run waits for the same end; an end is remembered for
 * a while, for a request that is repeated after it.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.peer.RunAnswer
import dandelionpoint.protocol.peer.RunLoan
import dandelionpoint.protocol.peer.VmIdentity
import kotlinx.coroutines.CompletableDeferred

/** Lent runs. [keeper] finds the keeper of a cell on this VM. */
internal class LentRuns(private val keeper: (String) -> CellKeeper?) {
    private val lock = Any()
    private val open = HashMap<Pair<String, TaskRun>, CompletableDeferred<RunEnd>>()
    private val ends = object : LinkedHashMap<Pair<String, TaskRun>, RunEnd>() {
        override fun removeEldestEntry(eldest: Map.Entry<Pair<String, TaskRun>, RunEnd>) = size > REMEMBERED_ENDS
    }

    /** Starts the run of [loan] for [from] and waits for its end. */
    suspend fun run(from: VmIdentity, loan: RunLoan): RunAnswer {
        val key = from.incarnation to loan.run
        val mine = CompletableDeferred<RunEnd>()
        val earlier = synchronized(lock) {
            ends[key]?.let { return RunAnswer(it) }
            open.putIfAbsent(key, mine)
        }
        if (earlier != null) return RunAnswer(earlier.await())
        val isPlaced = keeper(loan.cell)?.place(order(from, loan)) ?: false
        if (!isPlaced) ended(key.first, loan.run, RunEnd.NOT_STARTED)
        return RunAnswer(mine.await())
    }

    private fun order(from: VmIdentity, loan: RunLoan) = with(loan) {
        RunOrder(run, from.incarnation, pool, payload, demand, estimateMs, requiredLabel, rack, maxPerWorker)
    }

    /** A run for the VM with the incarnation [origin] has ended. */
    fun ended(origin: String, run: TaskRun, end: RunEnd) {
        val waiter = synchronized(lock) {
            ends[origin to run] = end
            open.remove(origin to run)
        }
        waiter?.complete(end)
    }

    private companion object {
        const val REMEMBERED_ENDS = 2_000
    }
}
