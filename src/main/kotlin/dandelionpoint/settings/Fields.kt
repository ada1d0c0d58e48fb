/*
 * Checked access to the members of a JSON object. A member that is missing or invalid adds a fault and yields a placeholder value, so
 * that one pass finds every fault of a document.
 */
package dandelionpoint.settings

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Collects the faults of the document [file]. */
internal class FaultList(private val file: String) {
    private val found = mutableListOf<SettingsFault>()

    fun add(path: String, problem: String, accepted: String) {
        found += SettingsFault(file, path, problem, accepted)
    }

    fun all(): List<SettingsFault> = found.toList()
}

/** Reads the members of the JSON object [members] at [path]; [finish] reports the members that were never read. */
internal class Fields(private val members: JsonObject, private val path: String, val faults: FaultList) {
    private val known = linkedSetOf<String>()

    val keys: Set<String> get() = members.keys

    fun pathOf(key: String): String = if (path.isEmpty()) key else "$path.$key"

    /** Reads a string that [isValid] accepts; [accepted] describes such strings. Without a [default] the member is required. */
    fun text(key: String, accepted: String, default: String? = null, isValid: (String) -> Boolean): String {
        val element = member(key, accepted, required = default == null) ?: return default.orEmpty()
        val text = (element as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text == null) {
            fault(key, "${element.shortText()} is not a string", accepted)
        } else if (!isValid(text)) {
            fault(key, "${element.shortText()} is not valid", accepted)
        }
        return text ?: default.orEmpty()
    }

    /** As [text], but null for a member that is absent or null. */
    fun optionalText(key: String, accepted: String, isValid: (String) -> Boolean): String? {
        if (isAbsent(key)) return null
        return text(key, accepted, default = "", isValid = isValid)
    }

    /** Reads a whole number in [range]. [unit] says what it counts, such as "milliseconds". Without a [default] the member is required. */
    fun integer(key: String, range: IntRange, unit: String, default: Int? = null): Int {
        val accepted = "a whole number of $unit from ${range.first} to ${range.last}" + default?.let { ", such as $it" }.orEmpty()
        val fallback = default ?: range.first
        val element = member(key, accepted, required = default == null) ?: return fallback
        val number = element.numberText()?.toLongOrNull()
        when {
            number == null -> fault(key, "${element.shortText()} is not a whole number", accepted)
            number < range.first || number > range.last -> fault(key, "$number is out of range", accepted)
            else -> return number.toInt()
        }
        return fallback
    }

    /** As [integer], but null for a member that is absent or null. */
    fun optionalInteger(key: String, range: IntRange, unit: String): Int? = if (isAbsent(key)) null else integer(key, range, unit)

    /** Reads a number in [range]. [unit] says what it measures, such as "factor". */
    fun decimal(key: String, range: ClosedFloatingPointRange<Double>, unit: String, default: Double): Double {
        val accepted = "a $unit from ${range.start} to ${range.endInclusive}, such as $default"
        val element = member(key, accepted, required = false) ?: return default
        val number = element.numberText()?.toDoubleOrNull()
        when {
            number == null -> fault(key, "${element.shortText()} is not a number", accepted)
            number !in range -> fault(key, "$number is out of range", accepted)
            else -> return number
        }
        return default
    }

    /** Reads true or false. */
    fun flag(key: String, default: Boolean): Boolean {
        val accepted = "true or false"
        val element = member(key, accepted, required = false) ?: return default
        val flag = element.numberText()?.toBooleanStrictOrNull()
        if (flag == null) fault(key, "${element.shortText()} is not true or false", accepted)
        return flag ?: default
    }

    /** Reads one of [values], which is written as the name of the constant in lower case with hyphens. */
    fun <T : Enum<T>> choice(key: String, values: List<T>, default: T): T {
        val names = values.associateBy { it.name.lowercase().replace('_', '-') }
        val text = text(key, "one of ${names.keys.joinToString()}", names.entries.first { it.value == default }.key) { it in names }
        return names[text] ?: default
    }

    /** Reads the object at [key]; an absent one is read as an empty object, so that its own defaults apply. */
    fun <T> section(key: String, read: (Fields) -> T): T {
        val element = member(key, OBJECT, required = false)
        if (element != null && element !is JsonObject) fault(key, "${element.shortText()} is not an object", OBJECT)
        return nested(element as? JsonObject ?: JsonObject(emptyMap()), pathOf(key), read)
    }

    /** Reads each object in the array at [key]; an absent array counts as empty. */
    fun <T> list(key: String, maximum: Int, read: (Fields) -> T): List<T> {
        val accepted = "an array of at most $maximum objects"
        val element = member(key, accepted, required = false) ?: return emptyList()
        if (element !is JsonArray || element.size > maximum) {
            fault(key, "${element.shortText()} is not an array, or is too long", accepted)
            return emptyList()
        }
        return element.mapIndexedNotNull { index, item ->
            val itemPath = "${pathOf(key)}[$index]"
            if (item !is JsonObject) faults.add(itemPath, "${item.shortText()} is not an object", OBJECT)
            (item as? JsonObject)?.let { nested(it, itemPath, read) }
        }
    }

    /** Reads each member of the object at [key] with [read], which also gets the name of the member. */
    fun <T> map(key: String, read: (String, Fields) -> T): Map<String, T> =
        section(key) { inner -> inner.keys.associateWith { name -> inner.section(name) { read(name, it) } } }

    /** Adds a fault of the member [key]. */
    fun fault(key: String, problem: String, accepted: String) = faults.add(pathOf(key), problem, accepted)

    /** Reports the members that were not read, each with the known key of the most similar name. */
    fun finish() {
        members.keys.filterNot { it in known }.forEach { key ->
            val hint = similarKey(key, known)?.let { "unknown key, perhaps meant as '$it'" } ?: "unknown key"
            fault(key, hint, known.joinToString().ifEmpty { "no keys" })
        }
    }

    private fun <T> nested(members: JsonObject, path: String, read: (Fields) -> T): T {
        val fields = Fields(members, path, faults)
        return read(fields).also { fields.finish() }
    }

    private fun isAbsent(key: String): Boolean {
        known += key
        return members[key].let { it == null || it is JsonNull }
    }

    private fun member(key: String, accepted: String, required: Boolean): JsonElement? {
        if (!isAbsent(key)) return members[key]
        if (required) fault(key, "missing", accepted)
        return null
    }

    private companion object {
        const val OBJECT = "an object"
    }
}

private const val MAX_SHOWN_CHARS = 60
private const val MINIMUM_COMMON_PREFIX = 4

private fun JsonElement.numberText(): String? = (this as? JsonPrimitive)?.takeUnless { it.isString }?.content

private fun JsonElement.shortText(): String = toString().let { if (it.length > MAX_SHOWN_CHARS) it.take(MAX_SHOWN_CHARS) + "..." else it }

/** Finds the known key with the longest common prefix, so that "leaseMs" is suggested for "leaseSeconds". */
private fun similarKey(key: String, known: Set<String>): String? = known
    .maxByOrNull { it.commonPrefixWith(key, ignoreCase = true).length }
    ?.takeIf { it.commonPrefixWith(key, ignoreCase = true).length >= minOf(MINIMUM_COMMON_PREFIX, it.length) }
