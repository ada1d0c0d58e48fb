/* Settings, worker properties and fault switches of the upstream stand-in. */
package dandelionpoint.standin.upstream

import kotlinx.serialization.Serializable
import java.nio.file.Path
import kotlin.random.Random

/**
 * Settings of [UpstreamStandIn]. Port 0 means any free port; otherwise the workers' ports are numbered upwards from [firstWorkerPort].
 * [connections] limits the running and queued tasks of one worker. Workers are assigned to [dataCentres] in contiguous blocks, and within
 * a data centre to racks of [rackSize]. Speeds are drawn evenly from [slowestSpeed] to [fastestSpeed]; at speed 1 a task takes its nominal
 * time. A share [stragglerShare] of the workers is slower by [stragglerFactor]. [hopDelayMs] is the network delay that is added in each
 * direction for callers from another data centre. If [platformUrl] is not null, workers are registered there and report their
 * usage every [usageReportMs]. [startLogFile] receives a line with key and worker for each start.
 */
data class UpstreamStandInSettings(
    val host: String = "127.0.0.1",
    val firstWorkerPort: Int = 0,
    val controlPort: Int = 0,
    val workers: Int = 32,
    val slots: Int = 8,
    val connections: Int = 64,
    val region: String = "aotearoa-north",
    val dataCentres: List<String> = listOf("akl-a", "akl-b", "ham-a", "tga-a"),
    val rackSize: Int = 6,
    val memoryMb: Int = 32_768,
    val accelerators: Int = 0,
    val slowestSpeed: Double = 0.5,
    val fastestSpeed: Double = 2.0,
    val stragglerShare: Double = 0.0,
    val stragglerFactor: Double = 4.0,
    val hopDelayMs: Double = 0.0,
    val platformUrl: String? = null,
    val usageReportMs: Long = 250,
    val startLogFile: Path? = null,
    val seed: Long = 1,
)

/** Fixed properties of one worker. [speed] is already reduced for a straggler. */
@Serializable
data class WorkerProfile(
    val id: String,
    val region: String,
    val dataCentre: String,
    val rack: String,
    val slots: Int,
    val connections: Int,
    val memoryMb: Int,
    val accelerators: Int,
    val speed: Double,
)

/**
 * Fault switches of one worker, the body of `POST /workers/{id}/faults`. An absent field has its default, so `{}` ends all faults.
 * A [failing] worker fails every task shortly after its start. A [killed] one refuses connections and loses its running and queued tasks.
 * A [frozen] one accepts requests, but starts and answers none until the fault ends. [slowFactor] multiplies run times. For a share
 * [lostAnswerShare] (0 to 1) of the tasks, the connection is closed after the run instead of an answer.
 */
@Serializable
data class WorkerFaults(
    val failing: Boolean = false,
    val killed: Boolean = false,
    val frozen: Boolean = false,
    val slowFactor: Double = 1.0,
    val lostAnswerShare: Double = 0.0,
)

/** A worker in the response of `GET /workers`. */
@Serializable
data class WorkerStatus(
    val profile: WorkerProfile,
    val host: String,
    val port: Int,
    val busySlots: Int,
    val queued: Int,
    val faults: WorkerFaults,
)

/** Generates the properties of all workers; equal settings give equal results. */
internal fun UpstreamStandInSettings.profiles(): List<WorkerProfile> {
    val random = Random(seed)
    val stragglers = (0 until workers).shuffled(Random(seed)).take((workers * stragglerShare).toInt()).toSet()
    return (0 until workers).map { index ->
        val dataCentre = dataCentres[index * dataCentres.size / workers]
        val indexInDataCentre = index - (0 until index).count { dataCentres[it * dataCentres.size / workers] != dataCentre }
        val speed = slowestSpeed + random.nextDouble() * (fastestSpeed - slowestSpeed)
        WorkerProfile(
            id = "worker-%04d".format(index),
            region = region,
            dataCentre = dataCentre,
            rack = "$dataCentre-r${indexInDataCentre / rackSize}",
            slots = slots,
            connections = connections,
            memoryMb = memoryMb,
            accelerators = accelerators,
            speed = if (index in stragglers) speed / stragglerFactor else speed,
        )
    }
}
