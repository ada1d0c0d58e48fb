/* The root of the command line. Each kind of process and each client command is a subcommand. */
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

/** A subcommand. [name] must be the one in its annotation; [create] instantiates it. */
internal class Subcommand(val name: String, val create: () -> Any)

/** Subcommands that run a process: entry VMs, stand-ins, demonstrations and the load generator. */
internal val processCommands = listOf(
    Subcommand("platform", ::PlatformCommand),
    Subcommand("upstream", ::UpstreamCommand),
    Subcommand("entry", ::EntryCommand),
    Subcommand("fleet", ::FleetCommand),
    Subcommand("fleet-demo", ::FleetDemoCommand),
    Subcommand("demo", ::DemoCommand),
    Subcommand("load", ::LoadCommand),
)

/** Subcommands for operators and callers, and the one that prints a completion script for bash and zsh. */
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
 * Builds the command line for an invocation of [subcommandName]. If that names a process, the command line has no other subcommand, since
 * reading the annotations of all commands takes a large part of the start-up time of a small VM. Otherwise it has all subcommands.
 */
internal fun commandLine(subcommandName: String? = null): CommandLine {
    val process = processCommands.find { it.name == subcommandName }
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
