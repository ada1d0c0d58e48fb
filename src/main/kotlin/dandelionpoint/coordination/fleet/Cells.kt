/*
 * Cells: the parts of a data centre. Each worker and each job id belongs to one part of its data centre, by a hash. The owner of a part
 * starts runs on its workers and dispatches its jobs, so that both kinds of work spread over the VMs of the data centre.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.WorkerEntry
import java.util.concurrent.ConcurrentHashMap

/** Names of cells: the data centre and the number of the part. */
internal object Cells {
    /** Number of parts of each data centre. It is the same on all VMs and must not change while any VM runs. */
    const val PARTS = 64

    private const val SEPARATOR = '/'

    /** Limit of [names], since the names of data centres come from the workers' entries. */
    private const val MAX_DATA_CENTRES = 256

    /** The names of the cells by data centre. */
    private val names = ConcurrentHashMap<String, List<String>>()

    /** All cells of [dataCentre], in the order of their names. */
    fun of(dataCentre: String): List<String> = names[dataCentre]
        ?: List(PARTS) { name(dataCentre, it) }.also { if (names.size < MAX_DATA_CENTRES) names[dataCentre] = it }

    /** The cell of [worker]. */
    fun ofWorker(worker: WorkerEntry): String = of(worker.dataCentre)[part(worker.id)]

    /** The cell whose owner dispatches the job [jobId] of a client in [dataCentre]. */
    fun ofJob(dataCentre: String, jobId: String): String = of(dataCentre)[part(jobId)]

    fun dataCentreOf(cell: String): String = cell.substringBeforeLast(SEPARATOR)

    private fun name(dataCentre: String, part: Int) = "$dataCentre$SEPARATOR${part.toString().padStart(2, '0')}"

    private fun part(id: String): Int = Math.floorMod(mix(id.hashCode()), PARTS)

    /** Spreads similar hash codes over all values; the finalizer of MurmurHash3. */
    fun mix(code: Int): Int {
        var hash = code
        hash = (hash xor (hash ushr 16)) * -0x7a143595
        hash = (hash xor (hash ushr 13)) * -0x3d4d51cb
        return hash xor (hash ushr 16)
    }
}
