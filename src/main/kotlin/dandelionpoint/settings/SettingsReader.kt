/* Reads settings documents: JSON with comments and trailing commas. A document is checked completely before any value is used. */
package dandelionpoint.settings

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import dandelionpoint.coordination.configuration.ConfigurationLimits
import dandelionpoint.protocol.MAX_JSON_NESTING
import dandelionpoint.protocol.isNestedTooDeeply
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** A valid value, or every fault that was found. */
internal typealias Checked<T> = Either<NonEmptyList<SettingsFault>, T>

private const val WHOLE_DOCUMENT = "$"

/** Reads and checks settings documents. */
internal object SettingsReader {
    private const val MAX_FILE_BYTES = 1_048_576L

    @OptIn(ExperimentalSerializationApi::class)
    private val json =
        Json {
            allowComments = true
            allowTrailingComma = true
        }

    /** Reads the settings of an entry VM from [file]. */
    fun readEntry(file: Path): Checked<EntrySettings> = readFile(file, ::readEntry)

    /** Reads the settings of an entry VM from [text]; [file] is the file name in messages. */
    fun readEntry(file: String, text: String): Checked<EntrySettings> = read(file, text) { it.entrySettings() }

    /** Reads the settings of an entry VM for leased workers from [file]. */
    fun readFleet(file: Path): Checked<FleetSettings> = readFile(file, ::readFleet)

    /** Reads the settings of an entry VM for leased workers from [text]; [file] is the file name in messages. */
    fun readFleet(file: String, text: String): Checked<FleetSettings> = read(file, text) { it.fleetSettings() }

    /** Reads presets and team quotas from [file]. */
    fun readPresets(file: Path): Checked<PresetDocument> = readFile(file, ::readPresets)

    /** Reads presets and team quotas from [text]; [file] is the file name in messages. */
    fun readPresets(file: String, text: String): Checked<PresetDocument> = read(file, text) { it.presetDocument() }

    /** Reads [text] as one JSON object with [read]; unknown and repeated keys are faults too. */
    fun <T> read(file: String, text: String, read: (Fields) -> T): Checked<T> {
        val members =
            when (val parsed = parse(file, text)) {
                is Either.Left -> return parsed
                is Either.Right -> parsed.value
            }
        val faults = FaultList(file)
        duplicateKeys(text).forEach { faults.add(it, "the key appears more than once", "each key once") }
        val fields = Fields(members, path = "", faults)
        val value = read(fields)
        fields.finish()
        return faults.all().toNonEmptyListOrNull()?.left() ?: value.right()
    }

    private fun <T> readFile(file: Path, read: (String, String) -> Checked<T>): Checked<T> {
        val name = file.fileName.toString()
        val text =
            try {
                if (Files.size(file) > MAX_FILE_BYTES) return unreadable(name, "the file is too large")
                Files.readString(file)
            } catch (failure: IOException) {
                return unreadable(name, "cannot be read (${failure.javaClass.simpleName})")
            }
        return read(name, text)
    }

    private fun unreadable(name: String, problem: String) =
        nonEmptyListOf(SettingsFault(name, WHOLE_DOCUMENT, problem, "a readable UTF-8 file of at most $MAX_FILE_BYTES bytes")).left()

    private fun parse(file: String, text: String): Checked<JsonObject> {
        if (isNestedTooDeeply(text, allowsComments = true)) return fault(file, "nested too deeply", "at most $MAX_JSON_NESTING levels")
        val element: JsonElement =
            try {
                json.parseToJsonElement(text)
            } catch (failure: SerializationException) {
                return fault(file, failure.message.orEmpty().lineSequence().first(), "JSON with comments and trailing commas")
            }
        return (element as? JsonObject)?.right() ?: fault(file, "not an object", "one JSON object")
    }
}

private fun fault(file: String, problem: String, accepted: String) =
    nonEmptyListOf(SettingsFault(file, WHOLE_DOCUMENT, problem, accepted)).left()

/** Reads the name of a VM, cluster, region, data centre, preset or team. Only with the [default] "" may it be empty. */
internal fun Fields.name(key: String, default: String? = null): String =
    text(key, ConfigurationLimits.NAME_RULE, default) { (it.isEmpty() && default == "") || ConfigurationLimits.isName(it) }
