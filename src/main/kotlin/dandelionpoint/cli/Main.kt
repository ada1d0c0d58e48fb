/* Entry point of the binary. */
package dandelionpoint.cli

import io.github.oshai.kotlinlogging.KotlinLoggingConfiguration
import java.nio.file.Path
import kotlin.system.exitProcess

fun main(vararg arguments: String) {
    if (arguments.firstOrNull() == FleetCommand.NAME) ReloadSignal.install()
    // The library would print the message to stdout, where callers expect only the JSON output of the commands.
    KotlinLoggingConfiguration.logStartupMessage = false
    val fleet = plainFleetCommand(arguments)
    exitProcess(if (fleet != null) run(fleet) else commandLine(arguments.firstOrNull()).execute(*arguments))
}

/**
 * The command of an entry VM if [arguments] are its name and at most the settings file, null if they have to be parsed. This is how a
 * platform starts entry VMs. The option parser would take a quarter of their start-up time: a class data sharing archive cannot hold its
 * classes, whose format is too old.
 */
internal fun plainFleetCommand(arguments: Array<out String>): FleetCommand? {
    val file = arguments.getOrNull(1)
    val isPlain = arguments.firstOrNull() == FleetCommand.NAME && arguments.size <= 2 && file?.firstOrNull() !in PARSED_PREFIXES
    return if (isPlain) FleetCommand(file?.let { Path.of(it) }) else null
}

/** First characters of arguments that name an option or a file of arguments. */
private val PARSED_PREFIXES = setOf('-', '@')

private fun run(command: FleetCommand): Int = try {
    command.call()
} catch (failure: Exception) {
    System.err.println("${FleetCommand.NAME}: ${failure.message}")
    ExitCode.REFUSED
}
