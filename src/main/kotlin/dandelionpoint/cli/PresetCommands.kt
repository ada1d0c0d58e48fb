package dandelionpoint.cli

import arrow.core.Either
import dandelionpoint.settings.SettingsReader
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.encodeToJsonElement
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Parameters
import java.nio.file.Path

@Command(
    name = "preset",
    description = ["Creates, lists, shows and activates presets."],
    mixinStandardHelpOptions = true,
    subcommands = [PresetCreateCommand::class, PresetListCommand::class, PresetShowCommand::class, PresetActivateCommand::class],
    synopsisSubcommandLabel = "COMMAND",
)
internal class PresetCommand

/**
 * A command that changes the configuration. The server refuses the change unless the expected version is its newest one. Without
 * `--expected-version`, the command asks the server for its newest version first.
 */
internal abstract class VersionedCommand : ClientCommand() {
    @Option(
        names = ["--expected-version"],
        paramLabel = "VERSION",
        description = ["Refuse the change unless this is the version it is made on (default: the newest that the server has)."],
    )
    var expectedVersion: Long? = null

    @Option(
        names = ["--wait-ms"],
        paramLabel = "MS",
        defaultValue = "0",
        description = ["Wait up to this long until every VM has confirmed the change (default: \${DEFAULT-VALUE})."],
    )
    var waitMs: Int = 0

    /** Sends [body] with the expected version added, prints the answer and returns the exit code. */
    protected fun sendChange(method: String, path: List<String>, body: Map<String, JsonElement> = emptyMap()): Int {
        var exitCode = ExitCode.OK
        val version = expectedVersion ?: fetchCurrentVersion { exitCode = it } ?: return exitCode
        val content = JsonObject(body + ("expectedVersion" to JsonPrimitive(version)))
        return run(ApiCall(method, path, mapOf("waitMs" to waitMs.toString()), content.toString()))
    }
}

@Command(
    name = "create",
    description = ["Creates a preset or replaces the one of the same name. Values that are not given take their defaults."],
    mixinStandardHelpOptions = true,
    footer = [
        "%nExamples:",
        "  preset create peak --set admissionSafety=1.2 --set retryBudget=0.01",
        "  preset create peak --file samples/crema-presets.json --expected-version 12",
    ],
)
internal class PresetCreateCommand : VersionedCommand() {
    @Parameters(paramLabel = "NAME", description = ["Name of the preset."])
    var name: String = ""

    @Option(names = ["--file"], paramLabel = "FILE", description = ["Take the values of this preset from a file of presets."])
    var file: Path? = null

    @Option(names = ["--set"], paramLabel = "KEY=VALUE", description = ["Set a value; may be repeated."])
    var values: Map<String, String> = emptyMap()

    override fun call(): Int {
        val base = file?.let { fromFile(it) } ?: emptyMap()
        return sendChange("PUT", listOf("v1", "presets", name), base + values.mapValues { (_, text) -> parseValue(text) })
    }

    private fun fromFile(file: Path): Map<String, JsonElement> {
        val preset =
            when (val document = SettingsReader.readPresets(file)) {
                is Either.Left -> throw ParameterException(spec.commandLine(), document.value.joinToString("\n"))
                is Either.Right -> document.value.presets[name]
            } ?: throw ParameterException(spec.commandLine(), "--file: $file has no preset '$name'")
        return (jsonWithDefaults.encodeToJsonElement(preset) as JsonObject) - "name"
    }

    /** Parses numbers and booleans. Any other text stays a string, which the server validates. */
    private fun parseValue(text: String): JsonElement = text.toLongOrNull()?.let { JsonPrimitive(it) }
        ?: text.toDoubleOrNull()?.let { JsonPrimitive(it) }
        ?: text.toBooleanStrictOrNull()?.let { JsonPrimitive(it) }
        ?: JsonPrimitive(text)
}

@Command(
    name = "list",
    description = ["Lists all presets."],
    mixinStandardHelpOptions = true,
    footer = ["%nExample:  preset list --output json"],
)
internal class PresetListCommand : ClientCommand() {
    override fun call(): Int = run(ApiCall("GET", listOf("v1", "presets")))
}

@Command(name = "show", description = ["Shows one preset."], mixinStandardHelpOptions = true, footer = ["%nExample:  preset show peak"])
internal class PresetShowCommand : ClientCommand() {
    @Parameters(paramLabel = "NAME", description = ["Name of the preset."])
    var name: String = ""

    override fun call(): Int = run(ApiCall("GET", listOf("v1", "presets", name)))
}

@Command(
    name = "activate",
    description = ["Puts a preset in force and lists the VMs that have confirmed it and those that have not."],
    mixinStandardHelpOptions = true,
    footer = ["%nExample:  preset activate peak --wait-ms 13000"],
)
internal class PresetActivateCommand : VersionedCommand() {
    @Parameters(paramLabel = "NAME", description = ["Name of the preset."])
    var name: String = ""

    override fun call(): Int = sendChange("POST", listOf("v1", "presets", name, "activate"))
}
