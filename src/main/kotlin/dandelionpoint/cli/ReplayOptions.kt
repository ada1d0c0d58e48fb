/* Options that the load subcommands share. */
package dandelionpoint.cli

import dandelionpoint.load.IdealOrder
import dandelionpoint.load.LoadCluster
import dandelionpoint.load.LoadPlan
import dandelionpoint.load.Trace
import picocli.CommandLine.Option
import java.nio.file.Path

/** Options of a replay. */
class ReplayOptions {
    @Option(names = ["--trace"], required = true, description = ["Trace file."])
    private lateinit var trace: Path

    @Option(names = ["--load"], description = ["Offered work over capacity; default \${DEFAULT-VALUE}."])
    private var load = 0.8

    @Option(names = ["--time-scale"], description = ["Factor on run times, deadlines and arrivals; default \${DEFAULT-VALUE}."])
    private var timeScale = 1.0

    @Option(names = ["--seconds"], description = ["Length of the arrivals; the trace is thinned or repeated. Default: the trace once."])
    private var seconds: Double? = null

    @Option(names = ["--seed"], description = ["Seed of the replay; default \${DEFAULT-VALUE}."])
    private var seed = 1L

    @Option(names = ["--ideal"], description = ["Order of the ideal schedule, \${COMPLETION-CANDIDATES}; default \${DEFAULT-VALUE}."])
    private var ideal = Order.SHORTEST

    @Option(names = ["--out"], description = ["Directory for the reports; default \${DEFAULT-VALUE}."])
    internal var out: Path = Path.of("target", "load")

    /** Values of `--ideal`. */
    enum class Order { SHORTEST, ARRIVAL }

    /** The plan of round [round], which adds the round to the seed so that each round has a different one. */
    internal fun plan(round: Int = 0): LoadPlan =
        LoadPlan(Trace.read(trace), load, timeScale, seconds, seed + round, IdealOrder.valueOf(ideal.name))
}

/** Options that give a cluster by its file, by its addresses, or by both. */
class ClusterOptions {
    @Option(names = ["--cluster"], description = ["File with the cluster's addresses, as scripts/cluster.sh writes it."])
    private var file: Path? = null

    @Option(names = ["--entry"], description = ["host:port of an entry VM; repeated."])
    private var entries: List<String> = emptyList()

    @Option(names = ["--upstream"], description = ["Base address of the upstream stand-in's control port."])
    private var upstream: String? = null

    @Option(names = ["--platform"], description = ["Base address of the platform stand-in."])
    private var platform: String? = null

    @Option(names = ["--tokens"], description = ["File with lines 'token role-or-team'."])
    private var tokens: Path? = null

    @Option(names = ["--quota"], description = ["team=weight; repeated."])
    private var quotas: Map<String, Int> = emptyMap()

    /** The cluster of `--cluster`, overridden by the other options. Throws [IllegalArgumentException] if an address is missing. */
    internal fun cluster(): LoadCluster {
        val base = file?.let { LoadCluster.read(it) }
        val addresses = entries.ifEmpty { base?.entries.orEmpty() }
        require(addresses.isNotEmpty()) { "no entry VM given; use --cluster or --entry" }
        return LoadCluster(
            name = base?.name ?: "cluster",
            entries = addresses,
            upstream = requireNotNull(upstream ?: base?.upstream) { "no upstream given; use --cluster or --upstream" },
            platform = platform ?: base?.platform,
            tokenFile = tokens?.toString() ?: base?.tokenFile,
            quotas = quotas.ifEmpty { base?.quotas.orEmpty() },
        )
    }
}
