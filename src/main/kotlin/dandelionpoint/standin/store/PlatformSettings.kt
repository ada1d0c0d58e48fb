/* Settings and fault switches of the platform stand-in. */
package dandelionpoint.standin.store

import kotlinx.serialization.Serializable

/**
 * Settings of [PlatformStandIn]. [port] 0 means any free port. [writesPerSecond] and [readsPerSecond] apply to the table and to the
 * object store separately. Latencies are those of one call without faults. [listLagMs] is the delay until a change appears in the list
 * of VMs, [usageLagMs] in that of workers. [seed] determines which answers are lost.
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

/** State of a part of the platform. */
@Serializable
enum class Outage {
    /** No outage. */
    NONE,

    /** Calls have no effect and get status 503. */
    REFUSE,

    /** Calls have no effect and get no answer. */
    SILENT,
}

/**
 * Fault switches, the body of `GET` and `POST /faults`. An absent field has its default, so `{}` ends all faults. [addedLatencyMs]
 * delays each call before its effect. A share [lostAnswerShare] (0 to 1) of the writes takes effect but gets no answer. Calls from
 * [cutDataCentres] have no effect and get no answer. [listLagMs] replaces the lags of both lists in the settings.
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
