/*
 * The data centres that have workers but no live VM, whose cells the VMs of other data centres take over. A worker's registration may name
 * any data centre, so that the cost is limited: a VM takes over the cells of few of them, and tries to reach their workers at intervals,
 * beside its other work.
 */
package dandelionpoint.fleet

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.millis
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/** Limits what this VM does for data centres without VMs. [workers] returns the workers in the list; times are in ms. */
internal class UnservedDataCentres(
    private val scope: CoroutineScope,
    private val workers: () -> List<WorkerEntry>,
    private val canConnect: suspend (WorkerEntry) -> Boolean,
    private val clock: Clock = Clock.System,
) {
    /** The last trial connections to the workers of a data centre, [result] once they have been made. */
    private class Trial(val begunAt: Long) {
        @Volatile
        var result: Result? = null
    }

    private class Result(val hasReached: Boolean, val at: Long)

    private val guard = LoopGuard("reachability")
    private val trials = ConcurrentHashMap<String, Trial>()

    /**
     * The data centres whose cells this VM may claim, out of those without VMs. [workerCounts] has the number of workers of each. Those
     * with cells that this VM owns, [owned], come first, then those with the most workers, so that all VMs choose alike.
     */
    fun claimable(workerCounts: Map<String, Int>, owned: Set<String>): Set<String> {
        val chosen = workerCounts.entries
            .sortedWith(compareBy({ it.key !in owned }, { -it.value }, { it.key }))
            .take(MAX_DATA_CENTRES)
            .mapTo(HashSet()) { it.key }
        trials.keys.retainAll(chosen)
        return chosen
    }

    /** True once after each trial in which a worker of [dataCentre] was reached. Begins the next trial when it is due. */
    fun hasJustReached(dataCentre: String): Boolean {
        val now = clock.millis()
        val last = trials[dataCentre] ?: return begin(dataCentre, now)
        val result = last.result ?: return false
        last.result = Result(hasReached = false, result.at)
        if (now - last.begunAt >= TRIAL_INTERVAL_MS) begin(dataCentre, now)
        return result.hasReached && now - result.at <= RESULT_KEPT_MS
    }

    /** Begins a trial, of which there is no result yet: returns false. */
    private fun begin(dataCentre: String, now: Long): Boolean {
        val trial = Trial(now)
        trials[dataCentre] = trial
        val samples = workers().filter { it.dataCentre == dataCentre }.take(SAMPLES)
        scope.launch {
            val hasReached = guard.attempt("connect") { samples.any { canConnect(it) } } ?: false
            trial.result = Result(hasReached, clock.millis())
        }
        return false
    }

    companion object {
        /** A VM claims cells of at most so many data centres without VMs. */
        const val MAX_DATA_CENTRES = 4

        /** Shortest time between the begin of two trials for one data centre, in ms. */
        const val TRIAL_INTERVAL_MS = 2_000L

        /** How long the result of a trial counts, in ms. */
        private const val RESULT_KEPT_MS = 1_000L

        /** Number of workers to which a connection is tried. */
        const val SAMPLES = 3
    }
}
