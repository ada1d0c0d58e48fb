/* The load generator. */
package dandelionpoint.cli

import dandelionpoint.load.Trace
import dandelionpoint.load.generateTrace
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Files
import java.nio.file.Path

/** `load`: replays traces against running processes. */
@Command(
    name = "load",
    description = ["Replays traces against running processes and reports."],
    mixinStandardHelpOptions = true,
    subcommands = [LoadTraceCommand::class, LoadRunCommand::class, LoadCompareCommand::class, LoadFaultsCommand::class],
)
class LoadCommand : Runnable {
    @CommandLine.Spec
    private lateinit var spec: CommandLine.Model.CommandSpec

    override fun run(): Unit = throw CommandLine.ParameterException(spec.commandLine(), "Name a subcommand.")
}

/** `load trace`: generates the trace of a deployment. */
@Command(name = "trace", description = ["Generates the trace of a deployment from a seed."], mixinStandardHelpOptions = true)
class LoadTraceCommand : Runnable {
    @Option(names = ["--name"], required = true, description = ["crema-quarter-end or corallo-thursday."])
    private lateinit var name: String

    @Option(names = ["--seed"], description = ["Seed; default \${DEFAULT-VALUE}."])
    private var seed = 1L

    @Option(names = ["--out"], required = true, description = ["File to write."])
    private lateinit var out: Path

    override fun run() {
        val trace = generateTrace(name, seed)
        val text = Trace.encode(trace)
        Files.writeString(out, text)
        println("$out: ${trace.lines.size} lines, ${text.length} bytes, ${(trace.workMs() / 1_000).toLong()} s of work at speed 1")
    }
}
