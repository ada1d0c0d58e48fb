/* Runs the upstream stand-in. */
package dandelionpoint.cli

import dandelionpoint.standin.upstream.UpstreamStandIn
import dandelionpoint.standin.upstream.UpstreamStandInSettings
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path

/**
 * `upstream`: the upstream stand-in as a process. Prints `{"role":"upstream","host":...,"controlPort":...,"workerPorts":[...]}` when it
 * is ready.
 */
@Command(name = "upstream", description = ["Runs the upstream stand-in."], mixinStandardHelpOptions = true)
class UpstreamCommand : Runnable {
    @Option(names = ["--host"], description = ["Address to listen on; default \${DEFAULT-VALUE}."])
    private var host = DEFAULTS.host

    @Option(names = ["--control-port"], description = ["Port of the control interface, 0 for any free one; default \${DEFAULT-VALUE}."])
    private var controlPort = DEFAULTS.controlPort

    @Option(names = ["--first-worker-port"], description = ["First of the workers' ports, 0 for any free ones; default \${DEFAULT-VALUE}."])
    private var firstWorkerPort = DEFAULTS.firstWorkerPort

    @Option(names = ["--workers"], description = ["Number of workers; default \${DEFAULT-VALUE}."])
    private var workers = DEFAULTS.workers

    @Option(names = ["--slots"], description = ["Slots of a worker; default \${DEFAULT-VALUE}."])
    private var slots = DEFAULTS.slots

    @Option(names = ["--connections"], description = ["Tasks that may run or wait on a worker at once; default \${DEFAULT-VALUE}."])
    private var connections = DEFAULTS.connections

    @Option(names = ["--region"], description = ["Region; default \${DEFAULT-VALUE}."])
    private var region = DEFAULTS.region

    @Option(names = ["--data-centres"], split = ",", description = ["Data centres, separated by commas; default \${DEFAULT-VALUE}."])
    private var dataCentres: List<String> = DEFAULTS.dataCentres

    @Option(names = ["--rack-size"], description = ["Number of workers in a rack; default \${DEFAULT-VALUE}."])
    private var rackSize = DEFAULTS.rackSize

    @Option(names = ["--memory-mb"], description = ["Memory of a worker in MB; default \${DEFAULT-VALUE}."])
    private var memoryMb = DEFAULTS.memoryMb

    @Option(names = ["--accelerators"], description = ["Accelerators of a worker; default \${DEFAULT-VALUE}."])
    private var accelerators = DEFAULTS.accelerators

    @Option(names = ["--slowest-speed"], description = ["Lower bound of the speeds; default \${DEFAULT-VALUE}."])
    private var slowestSpeed = DEFAULTS.slowestSpeed

    @Option(names = ["--fastest-speed"], description = ["Upper bound of the speeds; default \${DEFAULT-VALUE}."])
    private var fastestSpeed = DEFAULTS.fastestSpeed

    @Option(names = ["--straggler-share"], description = ["Share of workers that are stragglers; default \${DEFAULT-VALUE}."])
    private var stragglerShare = DEFAULTS.stragglerShare

    @Option(names = ["--straggler-factor"], description = ["How much slower stragglers are; default \${DEFAULT-VALUE}."])
    private var stragglerFactor = DEFAULTS.stragglerFactor

    @Option(names = ["--hop-delay-ms"], description = ["One-way delay between data centres in ms; default \${DEFAULT-VALUE}."])
    private var hopDelayMs = DEFAULTS.hopDelayMs

    @Option(names = ["--platform"], description = ["URL of the platform stand-in to register with."])
    private var platformUrl: String? = null

    @Option(names = ["--start-log"], description = ["File that gets a line with key and worker for each start."])
    private var startLogFile: Path? = null

    @Option(names = ["--seed"], description = ["Seed of speeds, stragglers and lost answers; default \${DEFAULT-VALUE}."])
    private var seed = DEFAULTS.seed

    override fun run() {
        val standIn = UpstreamStandIn(settings()).start()
        val ready =
            buildJsonObject {
                put("role", "upstream")
                put("host", host)
                put("controlPort", standIn.controlPort)
                putJsonArray("workerPorts") { standIn.workers().forEach { add(JsonPrimitive(it.port)) } }
            }
        runUntilStopped(standIn, ready)
    }

    private fun settings() = UpstreamStandInSettings(
        host = host,
        controlPort = controlPort,
        firstWorkerPort = firstWorkerPort,
        workers = workers,
        slots = slots,
        connections = connections,
        region = region,
        dataCentres = dataCentres,
        rackSize = rackSize,
        memoryMb = memoryMb,
        accelerators = accelerators,
        slowestSpeed = slowestSpeed,
        fastestSpeed = fastestSpeed,
        stragglerShare = stragglerShare,
        stragglerFactor = stragglerFactor,
        hopDelayMs = hopDelayMs,
        platformUrl = platformUrl,
        startLogFile = startLogFile,
        seed = seed,
    )

    private companion object {
        val DEFAULTS = UpstreamStandInSettings()
    }
}
