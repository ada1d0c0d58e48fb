/* The external systems of an entry VM: the shared store, the documents in it, and the workers. */
package dandelionpoint.fleet

import dandelionpoint.protocol.fleet.FleetConfiguration
import dandelionpoint.protocol.fleet.SharedRows
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.fleet.WorkerPort

/** Decodes the documents in the shared store; null for a document that cannot be decoded. */
internal interface DocumentReader {
    fun worker(id: String, bytes: ByteArray): WorkerEntry?

    /** True if two documents of one worker are alike but for a counter of its heartbeats. */
    fun isSameWorker(earlier: ByteArray, later: ByteArray): Boolean = earlier.contentEquals(later)

    fun configuration(bytes: ByteArray): FleetConfiguration?
}

/**
 * Tables of the shared store that this VM only reads: the [workers]' entries and the [operator]'s table, with the configuration's key. A
 * row of the operator's table whose key is [evacuationKeyPrefix] and the name of a data centre evacuates that data centre; without a prefix
 * there are no such rows.
 */
internal data class SharedTables(
    val workers: String,
    val operator: String,
    val configurationKey: String,
    val evacuationKeyPrefix: String? = null,
)

/** Access to the external systems of a VM. [canConnect] returns true if a worker accepts connections from this VM. */
internal class FleetPorts(
    val store: SharedRows,
    val tables: SharedTables,
    val documents: DocumentReader,
    val workers: WorkerPort,
    val canConnect: suspend (WorkerEntry) -> Boolean,
)
