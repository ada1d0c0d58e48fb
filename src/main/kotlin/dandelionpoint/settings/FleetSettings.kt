/* Settings of an entry VM that dispatches to leased workers (command `fleet`), and their schema. */
package dandelionpoint.settings

import io.github.oshai.kotlinlogging.KotlinLogging

private val log = KotlinLogging.logger {}

/** Address to listen on or to connect to. */
internal data class HostAndPort(val host: String, val port: Int) {
    override fun toString() = "$host:$port"
}

/**
 * Settings of one entry VM that dispatches to leased workers.
 *
 * @property clients address on which clients' calls are accepted
 * @property readiness address on which the readiness check is served, null to serve it on [clients]
 * @property peers address on which the connections of other entry VMs are accepted
 * @property seedPeers peers to connect to at the start; some of them may no longer exist
 * @property store address of the shared store
 * @property leaseMs longest lease that workers grant, in ms
 * @property cpuShare share of each processor core that this VM has, above 0 and at most 1
 * @property cores number of processor cores of this VM
 * @property remotePenalty factor on the run time of a task on a worker outside the rack that the task names
 * @property memoryMb memory that this VM's process may use, in MB
 * @property maxDescriptors number of file descriptors that this VM's process may have open
 * @property graceSeconds time from the signal to stop until the process is killed from outside, in seconds
 */
internal data class FleetSettings(
    val name: String,
    val region: String,
    val dataCentre: String,
    val clients: HostAndPort,
    val readiness: HostAndPort?,
    val peers: HostAndPort,
    val seedPeers: List<HostAndPort>,
    val store: HostAndPort,
    val leaseMs: Int = DEFAULT_LEASE_MS,
    val graceSeconds: Double = DEFAULT_GRACE_SECONDS,
    val cpuShare: Double = DEFAULT_CPU_SHARE,
    val cores: Int = DEFAULT_CORES,
    val remotePenalty: Double = DEFAULT_REMOTE_PENALTY,
    val memoryMb: Int = DEFAULT_MEMORY_MB,
    val maxDescriptors: Int = DEFAULT_MAX_DESCRIPTORS,
) {
    /** Processor share of this VM in thousandths of a core: work is spread over the VMs in proportion to it. */
    val cpuMilli: Int get() = (cpuShare * cores * MILLI).toInt().coerceAtLeast(1)

    /** Descriptors that are left for sockets. */
    val sockets: Int get() = maxDescriptors - FILE_DESCRIPTORS

    /** Connections that other VMs may have opened: a quarter of the sockets, at most 512. */
    val maxPeerConnections: Int get() = minOf(MAX_PEER_CONNECTIONS, sockets / PEER_SHARE)

    /** Names of the settings that differ in [changed] and are only read at the start of a VM. */
    fun fixedSettingsChangedIn(changed: FleetSettings): List<String> = listOf(
        "name" to (changed.name != name),
        "dataCentre" to (changed.dataCentre != dataCentre),
        "clients" to (changed.clients != clients),
        "peers" to (changed.peers != peers),
        "store" to (changed.store != store),
        "leaseMs" to (changed.leaseMs != leaseMs),
        "cpuShare" to (changed.cpuShare != cpuShare),
        "cores" to (changed.cores != cores),
        "remotePenalty" to (changed.remotePenalty != remotePenalty),
        "memoryMb" to (changed.memoryMb != memoryMb),
        "maxDescriptors" to (changed.maxDescriptors != maxDescriptors),
    ).filter { (_, differs) -> differs }.map { (name, _) -> name }

    companion object {
        const val DEFAULT_CPU_SHARE = 1.0
        const val DEFAULT_CORES = 1

        /** Least memory that the platform gives to an entry VM, in MB. */
        const val DEFAULT_MEMORY_MB = 160

        /** Least number of descriptors that the platform gives to an entry VM. */
        const val DEFAULT_MAX_DESCRIPTORS = 2_212
        private const val MILLI = 1_000
        private const val MAX_PEER_CONNECTIONS = 512
        private const val PEER_SHARE = 4

        /** Descriptors for files, class files and the store. */
        private const val FILE_DESCRIPTORS = 200
        const val DEFAULT_LEASE_MS = 1_000
        const val DEFAULT_GRACE_SECONDS = 6.0
        const val DEFAULT_REMOTE_PENALTY = 2.0
    }
}

private const val ADDRESS = "an address such as 127.0.0.1:8080"
private const val MAX_LEASE_MS = 60_000
private const val MAX_GRACE_SECONDS = 600.0
private const val MIN_CPU_SHARE = 0.001
private const val MAX_CORES = 1_024
private const val MIN_MEMORY_MB = 128
private const val MAX_MEMORY_MB = 1_048_576
private const val MIN_DESCRIPTORS = 300
private const val MAX_DESCRIPTORS = 1_048_576
private val REMOTE_PENALTIES = 1.0..10.0
private const val NAME_RULE = "1 to 64 letters, digits, dots, hyphens or underscores"
private val NAME_PATTERN = Regex("[A-Za-z0-9._-]{1,64}")

internal fun Fields.fleetSettings(): FleetSettings = FleetSettings(
    name = text("name", NAME_RULE) { NAME_PATTERN.matches(it) },
    region = text("region", NAME_RULE) { NAME_PATTERN.matches(it) },
    dataCentre = text("dataCentre", NAME_RULE) { NAME_PATTERN.matches(it) },
    clients = hostAndPort("clients"),
    readiness = optionalText("readiness", ADDRESS) { it.isEmpty() || parseHostAndPort(it) != null }?.let { parseHostAndPort(it) },
    peers = hostAndPort("peers"),
    seedPeers = text("seedPeers", "addresses joined by commas", default = "") { list -> list.parseAddresses().none { it.second == null } }
        .parseAddresses().mapNotNull { it.second },
    store = hostAndPort("store"),
    leaseMs = integer("leaseMs", 100..MAX_LEASE_MS, "milliseconds", FleetSettings.DEFAULT_LEASE_MS),
    graceSeconds = decimal("graceSeconds", 1.0..MAX_GRACE_SECONDS, "number of seconds", FleetSettings.DEFAULT_GRACE_SECONDS),
    cpuShare = decimal("cpuShare", MIN_CPU_SHARE..1.0, "share of a core, above 0 and at most 1", FleetSettings.DEFAULT_CPU_SHARE),
    cores = integer("cores", 1..MAX_CORES, "number of cores", FleetSettings.DEFAULT_CORES),
    remotePenalty = decimal("remotePenalty", REMOTE_PENALTIES, "factor", FleetSettings.DEFAULT_REMOTE_PENALTY),
    memoryMb = amount("memoryMb", MIN_MEMORY_MB..MAX_MEMORY_MB, "number of MB", FleetSettings.DEFAULT_MEMORY_MB),
    maxDescriptors = amount(
        "maxDescriptors",
        MIN_DESCRIPTORS..MAX_DESCRIPTORS,
        "number of descriptors",
        FleetSettings.DEFAULT_MAX_DESCRIPTORS,
    ),
)

/**
 * These settings with the rack penalty [text], as the platform passes it in the environment. Unchanged if it passes none, or no number in
 * range, since a VM with another penalty still serves.
 */
internal fun FleetSettings.withRemotePenalty(text: String?): FleetSettings {
    if (text.isNullOrBlank()) return this
    val penalty = text.toDoubleOrNull()?.takeIf { it in REMOTE_PENALTIES }
    if (penalty == null) log.warn { "event=settings_refused faults=\"remote penalty $text is no number from $REMOTE_PENALTIES\"" }
    return if (penalty == null) this else copy(remotePenalty = penalty)
}

/** Reads a number that the platform may write with a fraction, such as 512.0. */
private fun Fields.amount(key: String, range: IntRange, unit: String, default: Int): Int =
    decimal(key, range.first.toDouble()..range.last.toDouble(), unit, default.toDouble()).toInt()

private fun Fields.hostAndPort(key: String): HostAndPort =
    parseHostAndPort(text(key, ADDRESS) { parseHostAndPort(it) != null }) ?: HostAndPort("0.0.0.0", 0)

private fun String.parseAddresses() = split(',').filter { it.isNotBlank() }.map { it to parseHostAndPort(it.trim()) }

private fun parseHostAndPort(text: String): HostAndPort? {
    val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 0..65_535 } ?: return null
    val host = text.substringBeforeLast(':')
    return if (host.isEmpty()) null else HostAndPort(host, port)
}
