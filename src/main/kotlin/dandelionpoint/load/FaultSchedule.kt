/* Schedules faults during a replay. */
package dandelionpoint.load

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

private val log = KotlinLogging.logger {}

/**
 * One fault, applied [atSeconds] seconds after the start of the schedule. Exactly one of these is set: [kill], the name of a process to
 * end forcibly; [terminate], the name of a process to end by SIGTERM; [worker], the id of a worker whose fault switches are set to
 * [faults]; [platform], the fault switches of the platform stand-in.
 */
@Serializable
internal data class ScheduledFault(
    val atSeconds: Double,
    val kill: String? = null,
    val terminate: String? = null,
    val worker: String? = null,
    val faults: JsonObject = JsonObject(emptyMap()),
    val platform: JsonObject? = null,
)

/** Applies faults to a cluster. Each function throws [IOException] if the fault cannot be applied. */
internal interface FaultTarget {
    /** Ends the process called [name]: forcibly if [isForced], otherwise by SIGTERM so that it can shut down in order. */
    fun endProcess(name: String, isForced: Boolean)

    fun setWorkerFaults(id: String, faults: JsonObject)

    fun setPlatformFaults(faults: JsonObject)
}

/** The faults of a replay, sorted by time. */
internal class FaultSchedule(faults: List<ScheduledFault>) {
    val faults: List<ScheduledFault> = faults.sortedBy { it.atSeconds }

    init {
        faults.forEach { fault ->
            val kinds = listOfNotNull(fault.kill, fault.terminate, fault.worker, fault.platform)
            require(kinds.size == 1) { "the fault at ${fault.atSeconds} s must have exactly one of kill, terminate, worker and platform" }
        }
    }

    /** Names of the processes that the schedule ends. */
    val processes: Set<String> = faults.flatMapTo(sortedSetOf()) { listOfNotNull(it.kill, it.terminate) }

    /** Applies each fault at its time, waiting with [pause] (ms). A fault that cannot be applied is logged, and the schedule continues. */
    suspend fun run(target: FaultTarget, pause: suspend (Long) -> Unit = { delay(it) }) {
        var elapsedSeconds = 0.0
        faults.forEach { fault ->
            pause(((fault.atSeconds - elapsedSeconds) * MS_PER_SECOND).toLong().coerceAtLeast(0))
            elapsedSeconds = maxOf(elapsedSeconds, fault.atSeconds)
            apply(fault, target)
        }
    }

    private fun apply(fault: ScheduledFault, target: FaultTarget) = try {
        fault.kill?.let { target.endProcess(it, isForced = true) }
        fault.terminate?.let { target.endProcess(it, isForced = false) }
        fault.worker?.let { target.setWorkerFaults(it, fault.faults) }
        fault.platform?.let { target.setPlatformFaults(it) }
        log.info { "event=fault_applied fault=$fault" }
    } catch (e: IOException) {
        log.warn { "event=fault_failed fault=$fault reason=\"${e.message}\"" }
    }

    companion object {
        private const val MS_PER_SECOND = 1_000

        /** Reads a JSON list of faults. */
        fun read(file: Path): FaultSchedule = FaultSchedule(Json.decodeFromString(Files.readString(file)))
    }
}

/** Applies faults to the processes in [pids] (name to process id) and to the stand-ins of [cluster]. */
internal class ClusterFaults(private val cluster: LoadCluster, private val pids: Map<String, Long>, private val client: StandInClient) :
    FaultTarget {
    override fun endProcess(name: String, isForced: Boolean) {
        val process = pids[name]?.let { ProcessHandle.of(it).orElse(null) } ?: throw IOException("there is no running process '$name'")
        if (isForced) process.destroyForcibly() else process.destroy()
    }

    override fun setWorkerFaults(id: String, faults: JsonObject) {
        client.post("${cluster.upstream}/workers/$id/faults", faults.toString())
    }

    override fun setPlatformFaults(faults: JsonObject) {
        val platform = cluster.platform ?: throw IOException("the cluster has no platform address")
        client.post("$platform/faults", faults.toString())
    }
}
