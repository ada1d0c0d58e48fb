/* Settings of an entry VM that dispatches to leased workers, and their schema. */
package dandelionpoint.settings

/** A listener's or a service's address. */
internal data class HostAndPort(val host: String, val port: Int) {
    override fun toString() = "$host:$port"
}

/**
 * @property clients listener for clients
 * @property readiness listener for the readiness check, null if it shares that of the clients
 * @property peers listener for other entry VMs
 * @property seedPeers peers to begin with; they may be stale
 * @property store address of the shared store
 * @property leaseMs longest lease that workers grant, in ms
 * @property graceSeconds time from the order to stop until the process is ended from outside
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
) {
    companion object {
        const val DEFAULT_LEASE_MS = 1_000
        const val DEFAULT_GRACE_SECONDS = 6.0
    }
}

private const val ADDRESS = "an address such as 127.0.0.1:8080"
private const val MAX_LEASE_MS = 60_000
private const val MAX_GRACE_SECONDS = 600.0
private const val NAME = "1 to 64 letters, digits, dots, hyphens or underscores"
private val NAME_FORM = Regex("[A-Za-z0-9._-]{1,64}")

internal fun Fields.fleetSettings(): FleetSettings = FleetSettings(
    name = text("name", NAME) { NAME_FORM.matches(it) },
    region = text("region", NAME) { NAME_FORM.matches(it) },
    dataCentre = text("dataCentre", NAME) { NAME_FORM.matches(it) },
    clients = hostAndPort("clients"),
    readiness = optionalText("readiness", ADDRESS) { it.isEmpty() || parseHostAndPort(it) != null }?.let { parseHostAndPort(it) },
    peers = hostAndPort("peers"),
    seedPeers = text("seedPeers", "addresses joined by commas", default = "") { list -> list.addresses().none { it.second == null } }
        .addresses().mapNotNull { it.second },
    store = hostAndPort("store"),
    leaseMs = integer("leaseMs", 100..MAX_LEASE_MS, "milliseconds", FleetSettings.DEFAULT_LEASE_MS),
    graceSeconds = decimal("graceSeconds", 1.0..MAX_GRACE_SECONDS, "number of seconds", FleetSettings.DEFAULT_GRACE_SECONDS),
)

private fun Fields.hostAndPort(key: String): HostAndPort =
    parseHostAndPort(text(key, ADDRESS) { parseHostAndPort(it) != null }) ?: HostAndPort("0.0.0.0", 0)

private fun String.addresses() = split(',').filter { it.isNotBlank() }.map { it to parseHostAndPort(it.trim()) }

private fun parseHostAndPort(text: String): HostAndPort? {
    val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 0..65_535 } ?: return null
    val host = text.substringBeforeLast(':')
    return if (host.isEmpty()) null else HostAndPort(host, port)
}
