/* Schema of the settings of an entry VM: the range of each value, and the constraints between values. */
package dandelionpoint.settings

import java.net.URI

private const val MS = "milliseconds"
private const val BYTES = "bytes"
private const val MAX_SEED_PEERS = 256
private val PORTS = 0..65_535
private val HOST = Regex("[A-Za-z0-9.:_-]{1,253}")

internal fun Fields.entrySettings(): EntrySettings {
    val settings =
        EntrySettings(
            name = name("name"),
            cluster = name("cluster"),
            region = name("region"),
            dataCentre = name("dataCentre"),
            rack = name("rack", default = ""),
            http = section("http") { it.address(Address("127.0.0.1", 8080)) },
            peer = section("peer") { it.address(Address("127.0.0.1", 7400)) },
            seedPeers = list("seedPeers", MAX_SEED_PEERS) { it.address(default = null) },
            platform = text("platform", BASE_ADDRESS) { it.isBaseAddress() },
            tokenFile = text("tokenFile", "the path of a file with lines 'token role-or-team'") { it.isNotBlank() },
            limits = section("limits") { it.limits() },
            ownership = section("ownership") { it.ownership() },
            heartbeat = section("heartbeat") { it.heartbeat() },
            placement = choice("placement", PlacementPolicy.entries, PlacementPolicy.LEAST_FINISH),
            traceAddress = optionalText("traceAddress", BASE_ADDRESS) { it.isBaseAddress() },
        )
    checkAddresses(settings)
    return settings
}

private const val BASE_ADDRESS = "an address such as http://127.0.0.1:9000, without a path"

private fun String.isBaseAddress(): Boolean {
    val uri = runCatching { URI(this) }.getOrNull() ?: return false
    return uri.scheme in setOf("http", "https") && uri.host != null && uri.path.orEmpty() in setOf("", "/") && uri.query == null
}

private fun Fields.address(default: Address?): Address = Address(
    host = text("host", "a host name or IP address", default?.host) { HOST.matches(it) },
    port = integer("port", PORTS, "a TCP port", default?.port),
)

private fun Fields.limits(): Limits {
    val defaults = Limits()
    val limits =
        Limits(
            bodyBytes = integer("bodyBytes", 1_024..16_777_216, BYTES, defaults.bodyBytes),
            headerBytes = integer("headerBytes", 1_024..65_536, BYTES, defaults.headerBytes),
            payloadBytes = integer("payloadBytes", 1..1_048_576, BYTES, defaults.payloadBytes),
            tasksPerJob = integer("tasksPerJob", 1..1_200, "tasks", defaults.tasksPerJob),
            requestReadMs = integer("requestReadMs", 100..60_000, MS, defaults.requestReadMs),
            waitMs = integer("waitMs", 0..60_000, MS, defaults.waitMs),
            drainMs = integer("drainMs", 0..300_000, MS, defaults.drainMs),
            httpConnections = integer("httpConnections", 1..65_536, "connections", defaults.httpConnections),
        )
    if (limits.payloadBytes > limits.bodyBytes) {
        fault("payloadBytes", "${limits.payloadBytes} is above bodyBytes", "at most bodyBytes, ${limits.bodyBytes}")
    }
    return limits
}

private fun Fields.ownership(): OwnershipSettings {
    val defaults = OwnershipSettings()
    val ownership =
        OwnershipSettings(
            mode = choice("mode", OwnershipMode.entries, defaults.mode),
            shards = integer("shards", 1..1_024, "shards", defaults.shards),
            leaseMs = integer("leaseMs", 1_000..60_000, MS, defaults.leaseMs),
            renewMs = integer("renewMs", 100..30_000, MS, defaults.renewMs),
            takeoverMarginMs = integer("takeoverMarginMs", 100..30_000, MS, defaults.takeoverMarginMs),
        )
    // The lease must survive the loss of one renewal.
    if (ownership.renewMs * 2 > ownership.leaseMs) {
        fault("renewMs", "${ownership.renewMs} is above half of leaseMs", "at most ${ownership.leaseMs / 2}, half of leaseMs")
    }
    return ownership
}

private fun Fields.heartbeat(): HeartbeatSettings {
    val defaults = HeartbeatSettings()
    val heartbeat =
        HeartbeatSettings(
            intervalMs = integer("intervalMs", 10..10_000, MS, defaults.intervalMs),
            suspectMs = integer("suspectMs", 50..60_000, MS, defaults.suspectMs),
            deadMs = integer("deadMs", 100..120_000, MS, defaults.deadMs),
        )
    if (heartbeat.suspectMs < heartbeat.intervalMs * 2) {
        val least = heartbeat.intervalMs * 2
        fault("suspectMs", "${heartbeat.suspectMs} is below two heartbeats", "at least $least, twice intervalMs")
    }
    if (heartbeat.deadMs <= heartbeat.suspectMs) {
        fault("deadMs", "${heartbeat.deadMs} is not above suspectMs", "more than ${heartbeat.suspectMs}, which is suspectMs")
    }
    return heartbeat
}

private fun Fields.checkAddresses(settings: EntrySettings) {
    if (settings.http == settings.peer && settings.http.port != 0) {
        fault("peer.port", "${settings.peer} is also the HTTP address", "an address that differs from http")
    }
    settings.seedPeers.groupBy { it }.filterValues { it.size > 1 }.keys.forEach {
        fault("seedPeers", "$it is listed more than once", "each peer once")
    }
}
