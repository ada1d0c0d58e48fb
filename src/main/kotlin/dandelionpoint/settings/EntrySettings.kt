/* Settings of an entry VM, read once when it starts. The names have the unit: ms for milliseconds, bytes for sizes. */
package dandelionpoint.settings

/** Address to listen on or to connect to. Port 0 lets the system choose a free port when listening. */
internal data class Address(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}

/**
 * Limits on what callers and peers may send and on how long a call may take.
 *
 * @property bodyBytes largest body of an HTTP request
 * @property headerBytes largest header of an HTTP request
 * @property payloadBytes largest payload of a task
 * @property tasksPerJob largest number of tasks in a job
 * @property requestReadMs longest time to receive a request
 * @property waitMs longest time that a call may wait for a job to end
 * @property drainMs longest time that a VM waits for work in progress when it shuts down
 * @property httpConnections largest number of HTTP connections
 */
internal data class Limits(
    val bodyBytes: Int = 4 * 1024 * 1024,
    val headerBytes: Int = 16 * 1024,
    val payloadBytes: Int = 64 * 1024,
    val tasksPerJob: Int = 1_200,
    val requestReadMs: Int = 10_000,
    val waitMs: Int = 60_000,
    val drainMs: Int = 30_000,
    val httpConnections: Int = 4_096,
)

/**
 * How the VM that owns a shard makes sure that a submission is started only once. [HORIZON]: it may start ids that were created before
 * a time, the horizon, which it keeps extending in the shard's row like a lease. [COMMIT]: it writes the ids that it is about to start
 * to the table in groups before it starts them.
 */
internal enum class OwnershipMode { HORIZON, COMMIT }

/**
 * Shard ownership. An owner extends the lease of a shard, of length [leaseMs], every [renewMs]. Another VM takes a shard over once it
 * has seen the shard's row unchanged for [leaseMs] + [takeoverMarginMs] by its own clock.
 */
internal data class OwnershipSettings(
    val mode: OwnershipMode = OwnershipMode.HORIZON,
    val shards: Int = 16,
    val leaseMs: Int = 6_000,
    val renewMs: Int = 2_000,
    val takeoverMarginMs: Int = 1_000,
)

/**
 * Heartbeats between entry VMs, sent every [intervalMs]. A peer without a heartbeat for [suspectMs] is treated as suspect, and for
 * [deadMs] as dead, when work is routed.
 */
internal data class HeartbeatSettings(val intervalMs: Int = 250, val suspectMs: Int = 1_000, val deadMs: Int = 3_000)

/** How a worker is chosen for a task. All policies but [LEAST_FINISH] are baselines for comparison. */
internal enum class PlacementPolicy { LEAST_FINISH, RANDOM, ROUND_ROBIN, TWO_CHOICES, FIXED_SHARES, SINGLE_OWNER }

/**
 * Settings of one entry VM.
 *
 * @property http address on which the HTTP interface listens
 * @property peer address on which the connections of other entry VMs are accepted
 * @property seedPeers peers to connect to at the start
 * @property platform base address of the platform
 * @property tokenFile path of the file with the callers' tokens
 * @property traceAddress address to which spans are sent by OTLP over HTTP, null to send none
 */
internal data class EntrySettings(
    val name: String,
    val cluster: String,
    val region: String,
    val dataCentre: String,
    val rack: String = "",
    val http: Address = Address("127.0.0.1", 8080),
    val peer: Address = Address("127.0.0.1", 7400),
    val seedPeers: List<Address> = emptyList(),
    val platform: String,
    val tokenFile: String,
    val limits: Limits = Limits(),
    val ownership: OwnershipSettings = OwnershipSettings(),
    val heartbeat: HeartbeatSettings = HeartbeatSettings(),
    val placement: PlacementPolicy = PlacementPolicy.LEAST_FINISH,
    val traceAddress: String? = null,
)
