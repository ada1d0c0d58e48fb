package dandelionpoint.cli

import arrow.core.Either
import arrow.core.NonEmptyList
import dandelionpoint.settings.Checked
import dandelionpoint.settings.PresetDocument
import dandelionpoint.settings.SettingsFault
import dandelionpoint.settings.SettingsReader
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.put
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import java.nio.file.Path
import java.util.concurrent.Callable

/** Writes default values too, so that presets and teams in a file can be compared with those of a server value by value. */
internal val jsonWithDefaults = Json { encodeDefaults = true }

@Command(
    name = "config",
    description = ["Checks settings files and shows the configuration in force."],
    mixinStandardHelpOptions = true,
    subcommands = [ConfigCheckCommand::class, ConfigShowCommand::class, ConfigDiffCommand::class, ConfigHistoryCommand::class],
    synopsisSubcommandLabel = "COMMAND",
)
internal class ConfigCommand

@Command(
    name = "check",
    description = ["Checks a file without a server and lists every fault with its path and the accepted values."],
    mixinStandardHelpOptions = true,
    footer = [
        "%nExamples:",
        "  config check samples/crema-entry.json",
        "  config check samples/crema-presets.json --presets",
        "  config check samples/crema-fleet.json --fleet",
    ],
)
internal class ConfigCheckCommand : Callable<Int> {
    @Spec
    lateinit var spec: CommandSpec

    @Parameters(paramLabel = "FILE", description = ["A file of entry settings, or of presets and teams."])
    lateinit var file: Path

    @Option(names = ["--presets"], description = ["The file has presets and teams (default: if its name ends in presets.json)."])
    var hasPresets: Boolean = false

    @Option(names = ["--fleet"], description = ["The file is for the command 'fleet' (default: if its name ends in fleet.json)."])
    var isFleet: Boolean = false

    @Mixin
    var output = OutputOption()

    override fun call(): Int {
        val name = file.fileName.toString()
        val checked: Checked<Any> = when {
            isFleet || name.endsWith("fleet.json") -> SettingsReader.readFleet(file)
            hasPresets || name.endsWith("presets.json") -> SettingsReader.readPresets(file)
            else -> SettingsReader.readEntry(file)
        }
        return when (checked) {
            is Either.Left -> report(checked.value)
            is Either.Right -> report(emptyList())
        }
    }

    private fun report(faults: List<SettingsFault>): Int {
        val out = spec.commandLine().out
        when {
            output.isJson -> out.println(faultsJson(faults))
            faults.isEmpty() -> out.println("$file: no faults")
            else -> faults.forEach { spec.commandLine().err.println(it) }
        }
        return if (faults.isEmpty()) ExitCode.OK else ExitCode.REFUSED
    }

    private fun faultsJson(faults: List<SettingsFault>) = buildJsonArray {
        faults.forEach {
            add(
                buildJsonObject {
                    put("file", it.file)
                    put("path", it.path)
                    put("problem", it.problem)
                    put("accepted", it.accepted)
                },
            )
        }
    }
}

@Command(
    name = "show",
    description = ["Shows the version and the preset in force, and the VMs that have confirmed it."],
    mixinStandardHelpOptions = true,
    footer = ["%nExample:  config show --output json"],
)
internal class ConfigShowCommand : ClientCommand() {
    override fun call(): Int = run(ApiCall("GET", listOf("v1", "config")))
}

@Command(
    name = "history",
    description = ["Lists past changes, newest first."],
    mixinStandardHelpOptions = true,
    footer = ["%nExample:  config history --limit 20"],
)
internal class ConfigHistoryCommand : ClientCommand() {
    @Option(
        names = ["--limit"],
        paramLabel = "COUNT",
        defaultValue = "100",
        description = ["Most changes to list (default: \${DEFAULT-VALUE})."],
    )
    var limit: Int = 0

    override fun call(): Int = run(ApiCall("GET", listOf("v1", "config", "history"), mapOf("limit" to limit.toString())))
}

@Command(
    name = "diff",
    description = ["Compares a file of presets and teams with a server, value by value. What only the server has is not compared."],
    mixinStandardHelpOptions = true,
    footer = ["%nExample:  config diff samples/crema-presets.json"],
)
internal class ConfigDiffCommand : ClientCommand() {
    @Parameters(paramLabel = "FILE", description = ["A file of presets and teams."])
    lateinit var file: Path

    override fun call(): Int {
        val document =
            when (val checked = SettingsReader.readPresets(file)) {
                is Either.Left -> throw ParameterException(spec.commandLine(), describe(checked.value))
                is Either.Right -> checked.value
            }
        val presets = send(ApiCall("GET", listOf("v1", "presets")))
        if (presets !is ApiOutcome.Answered || !presets.isOk()) return printOutcome(presets)
        val teams = send(ApiCall("GET", listOf("v1", "teams")))
        if (teams !is ApiOutcome.Answered || !teams.isOk()) return printOutcome(teams)
        val differences = fileValues(document) differingFrom serverValues(parseJson(presets.body), parseJson(teams.body))
        if (differences.isEmpty() && !options.output.isJson) print("no differences") else print(rows(differences))
        return ExitCode.OK
    }

    private fun describe(faults: NonEmptyList<SettingsFault>) = faults.joinToString("\n")

    private fun fileValues(document: PresetDocument): Map<String, String> =
        listOfNotNull(document.activePreset?.let { "activePreset" to it }).toMap() +
            document.presets.values.flatMap { flattenToPaths("presets.${it.name}", jsonWithDefaults.encodeToJsonElement(it)) } +
            document.teams.values.flatMap { flattenToPaths("teams.${it.name}", jsonWithDefaults.encodeToJsonElement(it)) }

    private fun serverValues(presets: JsonElement?, teams: JsonElement?): Map<String, String> =
        mapOf("activePreset" to presets.member("activePreset").text().orEmpty()) +
            objectsIn(presets, "presets").flatMap { flattenToPaths("presets.${it.member("name").text()}", it) } +
            objectsIn(teams, "teams").flatMap { flattenToPaths("teams.${it.member("name").text()}", it) }

    private fun objectsIn(body: JsonElement?, key: String): List<JsonElement> =
        (body.member(key) as? List<*>)?.filterIsInstance<JsonObject>().orEmpty()

    private fun flattenToPaths(path: String, value: JsonElement): List<Pair<String, String>> =
        (value as JsonObject).filterKeys { it != "name" }.map { (key, member) -> "$path.$key" to member.text().orEmpty() }

    private infix fun Map<String, String>.differingFrom(server: Map<String, String>): List<Triple<String, String, String>> =
        filter { (path, value) -> server[path] != value }.map { (path, value) -> Triple(path, value, server[path] ?: "(none)") }

    private fun rows(differences: List<Triple<String, String, String>>) = buildJsonArray {
        differences.forEach { (path, inFile, onServer) ->
            add(JsonObject(mapOf("path" to JsonPrimitive(path), "file" to JsonPrimitive(inFile), "server" to JsonPrimitive(onServer))))
        }
    }
}
