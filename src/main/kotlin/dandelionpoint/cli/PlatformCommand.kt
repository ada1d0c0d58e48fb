/* Runs the platform stand-in. */
package dandelionpoint.cli

import dandelionpoint.standin.store.PlatformStandIn
import dandelionpoint.standin.store.PlatformStandInSettings
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import picocli.CommandLine.Command
import picocli.CommandLine.Option

/** `platform`: the platform stand-in as a process. Prints `{"role":"platform","host":...,"port":...}` when it is ready. */
@Command(name = "platform", description = ["Runs the platform stand-in."], mixinStandardHelpOptions = true)
class PlatformCommand : Runnable {
    @Option(names = ["--host"], description = ["Address to listen on; default \${DEFAULT-VALUE}."])
    private var host = DEFAULTS.host

    @Option(names = ["--port"], description = ["Port, 0 for any free one; default \${DEFAULT-VALUE}."])
    private var port = DEFAULTS.port

    @Option(names = ["--writes-per-second"], description = ["Limit of each store; default \${DEFAULT-VALUE}."])
    private var writesPerSecond = DEFAULTS.writesPerSecond

    @Option(names = ["--reads-per-second"], description = ["Limit of each store; default \${DEFAULT-VALUE}."])
    private var readsPerSecond = DEFAULTS.readsPerSecond

    @Option(names = ["--write-latency-ms"], description = ["Latency of a write; default \${DEFAULT-VALUE}."])
    private var writeLatencyMs = DEFAULTS.writeLatencyMs

    @Option(names = ["--read-latency-ms"], description = ["Latency of a read; default \${DEFAULT-VALUE}."])
    private var readLatencyMs = DEFAULTS.readLatencyMs

    @Option(names = ["--list-lag-ms"], description = ["Age of the list of VMs; default \${DEFAULT-VALUE}."])
    private var listLagMs = DEFAULTS.listLagMs

    @Option(names = ["--usage-lag-ms"], description = ["Age of the workers' usage; default \${DEFAULT-VALUE}."])
    private var usageLagMs = DEFAULTS.usageLagMs

    @Option(names = ["--seed"], description = ["Seed of the lost answers; default \${DEFAULT-VALUE}."])
    private var seed = DEFAULTS.seed

    override fun run() {
        val standIn = PlatformStandIn(settings()).start()
        val ready =
            buildJsonObject {
                put("role", "platform")
                put("host", host)
                put("port", standIn.port)
            }
        runUntilStopped(standIn, ready)
    }

    private fun settings() = PlatformStandInSettings(
        host = host,
        port = port,
        writesPerSecond = writesPerSecond,
        readsPerSecond = readsPerSecond,
        writeLatencyMs = writeLatencyMs,
        readLatencyMs = readLatencyMs,
        listLagMs = listLagMs,
        usageLagMs = usageLagMs,
        seed = seed,
    )

    private companion object {
        val DEFAULTS = PlatformStandInSettings()
    }
}
