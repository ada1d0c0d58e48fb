/* The root of the command line. Each process kind and each operator command is a subcommand. */
package dandelionpoint.cli

import picocli.AutoComplete
import picocli.CommandLine
import picocli.CommandLine.Command

/** Root command. */
@Command(
    name = "dandelionpoint",
    description = ["Dispatcher for sub-second tasks."],
    mixinStandardHelpOptions = true,
    version = ["dandelionpoint 0.1.0"],
)
internal class RootCommand : Runnable {
    @CommandLine.Spec
    private lateinit var spec: CommandLine.Model.CommandSpec

    override fun run(): Unit = throw CommandLine.ParameterException(spec.commandLine(), "Name a subcommand.")
}

/** A subcommand with the [name] that its annotation gives it. */
internal class Subcommand(val name: String, val create: () -> Any)

/** Processes, stand-ins and tools. */
internal val processCommands = listOf(
    Subcommand("platform", ::PlatformCommand),
    Subcommand("upstream", ::UpstreamCommand),
    Subcommand("entry", ::EntryCommand),
    Subcommand("fleet", ::FleetCommand),
    Subcommand("fleet-demo", ::FleetDemoCommand),
    Subcommand("demo", ::DemoCommand),
    Subcommand("load", ::LoadCommand),
)

/** Commands of operators and callers, and the command that prints a completion script for bash and zsh. */
internal val clientCommands = listOf(
    Subcommand("submit", ::SubmitCommand),
    Subcommand("status", ::StatusCommand),
    Subcommand("wait", ::WaitCommand),
    Subcommand("cancel", ::CancelCommand),
    Subcommand("drain", ::DrainCommand),
    Subcommand("preset", ::PresetCommand),
    Subcommand("teams", ::TeamsCommand),
    Subcommand("workers", ::WorkersCommand),
    Subcommand("config", ::ConfigCommand),
    Subcommand("generate-completion") { AutoComplete.GenerateCompletion() },
)

/**
 * The command line for a call of [called]. If that names a process, the others are left out, since to read the annotations of all
 * commands takes a large part of the start of a small VM; otherwise the whole command line.
 */
internal fun commandLine(called: String? = null): CommandLine {
    val process = processCommands.find { it.name == called }
    val line = CommandLine(RootCommand())
    (process?.let { listOf(it) } ?: processCommands).forEach { line.addSubcommand(it.create()) }
    line.setCaseInsensitiveEnumValuesAllowed(true)
    line.setExecutionExceptionHandler { failure, command, _ ->
        command.err.println("${command.commandName}: ${failure.message}")
        ExitCode.REFUSED
    }
    if (process == null) clientCommands.forEach { line.addSubcommand(it.create()) }
    return line
}
