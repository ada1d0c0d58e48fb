/* Replays traces against one cluster, with or without faults, and against several clusters in turn. */
package dandelionpoint.cli

import dandelionpoint.load.ClusterFaults
import dandelionpoint.load.FaultSchedule
import dandelionpoint.load.LoadCluster
import dandelionpoint.load.LoadReport
import dandelionpoint.load.LoadRun
import dandelionpoint.load.StandInClient
import dandelionpoint.load.compare
import dandelionpoint.load.toText
import dandelionpoint.load.writeReport
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable

/** Exit code of a run in which the audit found a violated guarantee. */
private const val EXIT_GUARANTEE_VIOLATED = 1

private fun exitCode(reports: Collection<LoadReport>): Int = if (reports.all { it.audit.isClean }) 0 else EXIT_GUARANTEE_VIOLATED

/** `load run`: one replay. */
@Command(name = "run", description = ["Replays a trace once."], mixinStandardHelpOptions = true)
class LoadRunCommand : Callable<Int> {
    @Mixin
    private val replay = ReplayOptions()

    @Mixin
    private val target = ClusterOptions()

    @Option(names = ["--name"], description = ["Name of the report's files; default \${DEFAULT-VALUE}."])
    private var name = "run"

    override fun call(): Int = runBlocking {
        val report = writeReport(LoadRun(replay.plan(), target.cluster()).run(), replay.out, name)
        println(report.toText())
        exitCode(listOf(report))
    }
}

/** `load faults`: one replay with a schedule of faults. */
@Command(name = "faults", description = ["Replays a trace and applies faults according to a schedule."], mixinStandardHelpOptions = true)
class LoadFaultsCommand : Callable<Int> {
    @Mixin
    private val replay = ReplayOptions()

    @Mixin
    private val target = ClusterOptions()

    @Option(names = ["--schedule"], required = true, description = ["JSON list of faults with atSeconds."])
    private lateinit var schedule: Path

    @Option(names = ["--pid"], description = ["name=pid of a process that the schedule ends; repeated."])
    private var pids: Map<String, Long> = emptyMap()

    @Option(names = ["--name"], description = ["Name of the report's files; default \${DEFAULT-VALUE}."])
    private var name = "faults"

    override fun call(): Int = runBlocking {
        val faults = FaultSchedule.read(schedule)
        val missing = faults.processes - pids.keys
        require(missing.isEmpty()) { "no --pid for ${missing.joinToString()}" }
        val cluster = target.cluster()
        val report =
            StandInClient().use { client ->
                val run = LoadRun(replay.plan(), cluster) { faults.run(ClusterFaults(cluster, pids, client)) }
                writeReport(run.run(), replay.out, name)
            }
        println(report.toText())
        exitCode(listOf(report))
    }
}

/** `load compare`: several rounds of replays, each against several clusters in turn. */
@Command(name = "compare", description = ["Replays a trace against several clusters in turn."], mixinStandardHelpOptions = true)
class LoadCompareCommand : Callable<Int> {
    @Mixin
    private val replay = ReplayOptions()

    @Option(names = ["--cluster"], required = true, description = ["name=file with the cluster's addresses; repeated."])
    private var clusters: Map<String, Path> = emptyMap()

    @Option(names = ["--rounds"], description = ["Rounds; default \${DEFAULT-VALUE}."])
    private var rounds = 5

    override fun call(): Int = runBlocking {
        val named = clusters.map { (name, file) -> LoadCluster.read(file).copy(name = name) }
        val reports = named.associate { it.name to mutableListOf<LoadReport>() }
        repeat(rounds) { round ->
            // The order rotates from round to round, so that no cluster always runs after the same one.
            named.indices.map { named[(it + round) % named.size] }.forEach { cluster ->
                val result = LoadRun(replay.plan(round), cluster).run()
                val report = writeReport(result, replay.out, "${cluster.name}-$round")
                println(report.toText() + "\n")
                reports.getValue(cluster.name) += report
            }
        }
        val comparison = compare(reports)
        Files.writeString(replay.out.resolve("comparison.json"), comparison.toJson() + "\n")
        Files.writeString(replay.out.resolve("comparison.txt"), comparison.toText())
        println(comparison.toText())
        exitCode(reports.values.flatten())
    }
}
