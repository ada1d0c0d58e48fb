/* Skips the tests that KNOWN-RED.txt lists as known to fail, and prints the file. `-DknownRed=run` runs them. */
package dandelionpoint.testsupport

import io.kotest.core.test.Enabled
import io.kotest.core.test.EnabledOrReasonIf
import java.nio.file.Files
import java.nio.file.Path

private val file = Path.of("KNOWN-RED.txt")

/** Disables a test if KNOWN-RED.txt contains its full name, in quotes and with its parts joined by ` / `. */
internal val unlessKnownRed: EnabledOrReasonIf = { test ->
    val names = generateSequence(test) { it.parent }.map { it.name.name }.toList().asReversed().joinToString(" / ")
    val entries = if (Files.exists(file)) Files.readString(file) else ""
    if ("\"$names\"" in entries && System.getProperty("knownRed") != "run") {
        println("KNOWN-RED.txt:\n$entries")
        Enabled.disabled("listed in KNOWN-RED.txt: $names")
    } else {
        Enabled.enabled
    }
}
