/* Settings and fault switches of the platform stand-in. */
package dandelionpoint.standin.store

import kotlinx.serialization.Serializable

/**
 * Settings of [PlatformStandIn]. [port] 0 means any free port. [writesPerSecond] and [readsPerSecond] hold for the table and for the
 * object store each. Latencies are of one call without faults. [listLagMs] and [usageLagMs] are the age of what the lists show.
 * [seed] decides which answers are lost.
 */
data class PlatformStandInSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val writesPerSecond: Int = 400,
    val readsPerSecond: Int = 2_000,
    val writeLatencyMs: Double = 4.0,
    val readLatencyMs: Double = 0.7,
    val listLagMs: Long = 1_000,
    val usageLagMs: Long = 1_000,
    val seed: Long = 1,
)

/** How a part of the platform behaves in an outage. */
@Serializable
enum class Outage {
    /** Works. */
    NONE,

    /** Answers 503, without effect. */
    REFUSE,

    /** Gives no answer, without effect. */
    SILENT,
}

/**
 * Fault switches, the body of `GET` and `POST /faults`; a field that is left out has its default, so `{}` ends all faults.
 * [addedLatencyMs] delays each call before its effect. [lostAnswerShare] (0 to 1) of the writes take effect and get no answer.
 * Callers in [cutDataCentres] get no answer and have no effect. [listLagMs] replaces the lag of the settings.
 */
@Serializable
data class PlatformFaults(
    val table: Outage = Outage.NONE,
    val objects: Outage = Outage.NONE,
    val lists: Outage = Outage.NONE,
    val addedLatencyMs: Double = 0.0,
    val lostAnswerShare: Double = 0.0,
    val cutDataCentres: Set<String> = emptySet(),
    val listLagMs: Long? = null,
)
