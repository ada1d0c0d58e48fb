/* Sums the entry VMs' counters of calls to workers over a replay. */
package dandelionpoint.load

/** Parses the counts of calls to workers from a Prometheus scrape and sums them by the label `outcome`. */
internal fun parseWorkerCalls(scrape: String): Map<String, Double> = scrape
    .lineSequence()
    .mapNotNull { CALLS_LINE.matchEntire(it.trim()) }
    .groupBy({ it.groupValues[1] }, { it.groupValues[2].toDouble() })
    .mapValues { it.value.sum() }

private val CALLS_LINE = Regex("""dandelionpoint_worker_calls_total\{(?:[^}]*,)?outcome="([^"]*)"[^}]*}\s+(\S+).*""")

/**
 * Sums the increases of each VM's counters since its first sample. The counters of a VM that restarts begin at zero again; the increase up
 * to its last sample before the restart is kept.
 */
internal class WorkerCallCounter {
    private val lastByVm = mutableMapOf<String, Map<String, Double>>()
    private val increases = sortedMapOf<String, Double>()

    /** Records a sample of the counters of [vm]. */
    @Synchronized
    fun record(vm: String, counts: Map<String, Double>) {
        lastByVm.put(vm, counts)?.let { last -> counts.forEach { (outcome, count) -> addIncrease(outcome, last[outcome] ?: 0.0, count) } }
    }

    /** Total increases by outcome. */
    @Synchronized
    fun increases(): Map<String, Long> = increases.mapValues { it.value.toLong() }

    private fun addIncrease(outcome: String, last: Double, now: Double) {
        increases.merge(outcome, if (now >= last) now - last else now, Double::plus)
    }
}
