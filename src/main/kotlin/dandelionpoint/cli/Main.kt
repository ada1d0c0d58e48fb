/* Entry point of the binary. */
package dandelionpoint.cli

import io.github.oshai.kotlinlogging.KotlinLoggingConfiguration
import kotlin.system.exitProcess

fun main(vararg arguments: String) {
    // The library would print the message to stdout, where callers expect only the JSON output of the commands.
    KotlinLoggingConfiguration.logStartupMessage = false
    exitProcess(commandLine(arguments.firstOrNull()).execute(*arguments))
}
