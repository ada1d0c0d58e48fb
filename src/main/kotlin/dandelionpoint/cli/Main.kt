/* Entry point of the binary. */
package dandelionpoint.cli

import io.github.oshai.kotlinlogging.KotlinLoggingConfiguration
import kotlin.system.exitProcess

fun main(vararg arguments: String) {
    // The library prints it on stdout, where callers expect the JSON of the commands.
    KotlinLoggingConfiguration.logStartupMessage = false
    exitProcess(commandLine(arguments.firstOrNull()).execute(*arguments))
}
