/*
 * Which VM should own each cell of a data centre: rendezvous hashing, weighted by the processor share of each VM, with bounded loads, among
 * the fewest VMs that can carry the data centre's workers. An owner uses its own workers without asking anybody, so that few owners find
 * free workers sooner than many. Every VM computes the same assignment from the same candidates. When a VM comes or goes, few other cells
 * change their owner.
 *
 * Rendezvous hashing with weights: Schindelhauer and Schomaker, Weighted Distributed Hash Tables, SPAA 2005. Bounded loads: Mirrokni,
 * Thorup and Zadimoghaddam, Consistent Hashing with Bounded Loads, SODA 2018.
 */
package dandelionpoint.coordination.fleet

import kotlin.math.ln

/** A VM that may own cells. [cpuMilli] is its processor share in thousandths of a core. */
internal data class Candidate(val name: String, val dataCentre: String, val cpuMilli: Int = DEFAULT_CPU_MILLI) {
    companion object {
        const val DEFAULT_CPU_MILLI = 1_000
    }
}

internal object CellAssignment {
    /** A VM gets at most this many times its share of the load. */
    private const val MAX_SHARE_FACTOR = 1.1

    /** Processor share that the runs of one worker and their jobs need at their peak, in thousandths of a core. */
    const val CPU_MILLI_PER_WORKER = 75

    /** Load of the jobs of one cell, in units of the load of one worker. */
    private const val JOBS_LOAD = 0.5

    private const val HASH_RANGE = 4_294_967_296.0

    /**
     * The owner of each cell of [dataCentre]: one of its own VMs, or one of [candidates] if it has none. [workers] is the number of workers
     * of a cell. Empty without candidates.
     */
    fun owners(dataCentre: String, candidates: Collection<Candidate>, workers: (String) -> Int): Map<String, Candidate> {
        val preferred = candidates.filter { it.dataCentre == dataCentre }.ifEmpty { candidates }
        if (preferred.isEmpty()) return emptyMap()
        val cells = Cells.of(dataCentre)
        val carriers = carriers(dataCentre, preferred, cells.sumOf { workers(it) })
        return assign(cells, carriers, workers)
    }

    /** The VMs with the largest processor shares that together can carry [workers] workers: at least one, and no more than needed. */
    private fun carriers(dataCentre: String, candidates: Collection<Candidate>, workers: Int): List<Candidate> {
        val ranked = candidates.sortedWith(compareBy({ -it.cpuMilli }, { -score(dataCentre, it) }, { it.name }))
        val needed = workers * CPU_MILLI_PER_WORKER
        val sums = ranked.runningFold(0) { sum, vm -> sum + vm.cpuMilli }
        return ranked.filterIndexed { index, _ -> index == 0 || sums[index] < needed }
    }

    private fun assign(cells: List<String>, carriers: List<Candidate>, workers: (String) -> Int): Map<String, Candidate> {
        val loads = cells.associateWith { JOBS_LOAD + workers(it) }
        val capacity = capacities(carriers, loads.values.sum())
        return cells.sortedByDescending { loads.getValue(it) }.associateWith { cell ->
            val load = loads.getValue(cell)
            val ranked = carriers.sortedByDescending { score(cell, it) }
            val owner = ranked.firstOrNull { capacity.getValue(it) >= load } ?: ranked.maxBy { capacity.getValue(it) }
            capacity.merge(owner, -load, Double::plus)
            owner
        }
    }

    private fun capacities(candidates: List<Candidate>, load: Double): HashMap<Candidate, Double> {
        val total = candidates.sumOf { it.cpuMilli.toDouble() }
        return candidates.associateWithTo(HashMap()) { load * it.cpuMilli / total * MAX_SHARE_FACTOR }
    }

    /** The VM with the highest score is the first choice for [cell]. */
    private fun score(cell: String, vm: Candidate): Double {
        val hash = Cells.mix(Cells.mix(cell.hashCode()) xor vm.name.hashCode()).toUInt().toDouble()
        return -vm.cpuMilli / ln((hash + 1) / (HASH_RANGE + 1))
    }
}
