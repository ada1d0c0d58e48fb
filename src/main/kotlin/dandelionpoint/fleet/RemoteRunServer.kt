/*
 * Serves remote runs: runs in this VM's cells that belong to jobs which other VMs dispatch. A repeated request for the same run waits for
 * the same end; the most recent ends are stored, so that a request which is repeated after the end gets the same reply.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.RunAnswer
import dandelionpoint.protocol.peer.VmIdentity
import kotlinx.coroutines.CompletableDeferred

/** Serves remote runs. [controllerOf] returns the controller of a cell that this VM owns, otherwise null. */
internal class RemoteRunServer(private val controllerOf: (String) -> CellController?) {
    private val lock = Any()
    private val open = HashMap<Pair<String, TaskRun>, CompletableDeferred<RunEnd>>()
    private val recentEnds = object : LinkedHashMap<Pair<String, TaskRun>, RunEnd>() {
        override fun removeEldestEntry(eldest: Map.Entry<Pair<String, TaskRun>, RunEnd>) = size > MAX_RECENT_ENDS
    }

    /** Starts the requested run for [from] and waits for its end. */
    suspend fun run(from: VmIdentity, request: RemoteRunRequest): RunAnswer {
        val key = from.incarnation to request.run
        val own = CompletableDeferred<RunEnd>()
        val earlier = synchronized(lock) {
            recentEnds[key]?.let { return RunAnswer(it) }
            open.putIfAbsent(key, own)
        }
        if (earlier != null) return RunAnswer(earlier.await())
        val isPlaced = controllerOf(request.cell)?.place(order(from, request)) ?: false
        if (!isPlaced) ended(key.first, request.run, RunEnd.NOT_STARTED)
        return RunAnswer(own.await())
    }

    private fun order(from: VmIdentity, request: RemoteRunRequest) = with(request) {
        RunOrder(run, from.incarnation, pool, payload, demand, estimateMs, requiredLabel, rack, maxPerWorker)
    }

    /** [run], which the VM with the incarnation [origin] dispatched, has ended. */
    fun ended(origin: String, run: TaskRun, end: RunEnd) {
        val waiter = synchronized(lock) {
            recentEnds[origin to run] = end
            open.remove(origin to run)
        }
        waiter?.complete(end)
    }

    private companion object {
        const val MAX_RECENT_ENDS = 2_000
    }
}
