/* Connects an entry VM to the platform's store and workers. */
package dandelionpoint.platform

import dandelionpoint.fleet.DocumentReader
import dandelionpoint.fleet.FleetPorts
import dandelionpoint.fleet.SharedTables
import dandelionpoint.protocol.fleet.FleetConfiguration
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.transport.http.CallThreads
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

private const val MAX_CALLS = 256
private const val CONNECT_TIMEOUT_MS = 200

private object PlatformDocuments : DocumentReader {
    override fun worker(id: String, bytes: ByteArray): WorkerEntry? = decodeWorker(id, bytes)

    override fun isSameWorker(earlier: ByteArray, later: ByteArray): Boolean = areEqualButForCounter(earlier, later)

    override fun configuration(bytes: ByteArray): FleetConfiguration? = decodeConfiguration(bytes)
}

/** The ports of an entry VM whose store is at [storeAddress] (host:port). */
internal fun platformPorts(storeAddress: String): FleetPorts {
    val threads = CallThreads(MAX_CALLS)
    return FleetPorts(
        store = PlatformRows(storeAddress, threads),
        tables = SharedTables(workers = "servers", operator = "op", configurationKey = "config", evacuationKeyPrefix = "evacuate/"),
        documents = PlatformDocuments,
        workers = PlatformWorkers(threads),
        canConnect = ::canConnect,
    )
}

/** Threads for trial connections, which block. They are not taken from those of the peer connections, whose number may be small. */
private val CONNECTION_TRIALS = Dispatchers.IO.limitedParallelism(1)

private suspend fun canConnect(worker: WorkerEntry): Boolean = withContext(CONNECTION_TRIALS) {
    try {
        Socket().use { it.connect(InetSocketAddress(worker.host, worker.port), CONNECT_TIMEOUT_MS) }
        true
    } catch (_: IOException) {
        false
    }
}
