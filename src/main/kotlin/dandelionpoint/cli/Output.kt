/* Formats answers for the terminal: parses JSON and lays out any JSON value as text and tables. */
package dandelionpoint.cli

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Parses [text], or returns null if it is not JSON. */
internal fun parseJson(text: String): JsonElement? = try {
    Json.parseToJsonElement(text)
} catch (_: SerializationException) {
    null
}

internal fun JsonElement?.member(key: String): JsonElement? = (this as? JsonObject)?.get(key)

internal fun JsonElement?.text(): String? = (this as? JsonPrimitive)?.takeUnless { it is JsonNull }?.content

/** Formats an object as one line for each value, followed by a table for each array of objects in it; formats an array as a table. */
internal fun JsonElement.toTables(): String = when (this) {
    is JsonArray -> table(this)
    is JsonObject -> objectTables(this)
    is JsonPrimitive -> content
}

private fun objectTables(value: JsonObject): String {
    val (arrays, values) = value.entries.partition { (_, member) -> member is JsonArray && member.any { it is JsonObject } }
    val lines = values.flatMap { (key, member) -> flatten(key, member) }
    val width = lines.maxOfOrNull { it.first.length } ?: 0
    val valueLines = lines.joinToString("\n") { (key, text) -> "${key.padEnd(width)}  $text".trimEnd() }
    val tables = arrays.map { (key, member) -> "$key:\n${table(member as JsonArray)}" }
    return (listOf(valueLines).filter { it.isNotEmpty() } + tables).joinToString("\n\n")
}

/** Flattens nested objects to dotted keys, so that each row of a table fits on one line. */
private fun flatten(key: String, value: JsonElement): List<Pair<String, String>> = when (value) {
    is JsonObject -> value.flatMap { (inner, member) -> flatten("$key.$inner", member) }
    is JsonArray -> listOf(key to value.joinToString(", ") { it.text() ?: it.toString() })
    is JsonPrimitive -> listOf(key to value.text().orEmpty())
}

private fun table(rows: JsonArray): String {
    val valuesByRow = rows.map { row ->
        if (row is JsonObject) {
            row.flatMap { (key, value) -> flatten(key, value) }.toMap()
        } else {
            mapOf("value" to row.toString())
        }
    }
    val columns = valuesByRow.flatMap { it.keys }.distinct()
    val lines = listOf(columns) + valuesByRow.map { row -> columns.map { row[it].orEmpty() } }
    val widths = columns.indices.map { index -> lines.maxOf { it[index].length } }
    return lines.joinToString("\n") { line -> line.mapIndexed { index, cell -> cell.padEnd(widths[index]) }.joinToString("  ").trimEnd() }
}
