/* Lenient access to the platform's JSON bodies: a member that is missing or of another type reads as null. */
package dandelionpoint.platform

import dandelionpoint.protocol.isNestedTooDeeply
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull
import okhttp3.MediaType.Companion.toMediaType
import java.util.Base64
import kotlin.math.abs

internal val JSON_TYPE = "application/json".toMediaType()

/** Parses [bytes] as a JSON object; null if they are not one, are not valid UTF-8 or are nested too deeply. */
internal fun parseObject(bytes: ByteArray): JsonObject? = try {
    val text = bytes.decodeToString(throwOnInvalidSequence = true)
    if (isNestedTooDeeply(text)) null else Json.parseToJsonElement(text) as? JsonObject
} catch (_: CharacterCodingException) {
    null
} catch (_: SerializationException) {
    null
} catch (_: IllegalArgumentException) {
    null
}

internal fun decodeBase64(text: String): ByteArray? = try {
    Base64.getDecoder().decode(text)
} catch (_: IllegalArgumentException) {
    null
}

internal fun JsonElement.asText(): String? = (this as? JsonPrimitive)?.takeIf { it.isString }?.content

internal fun JsonObject.text(name: String): String? = this[name]?.asText()

/** The whole part of a number; null for a number outside the range in which all whole numbers are exact. */
internal fun JsonElement.asLong(): Long? = asNumber()?.let {
    it.longOrNull ?: it.doubleOrNull?.takeIf { number -> abs(number) <= MAX_EXACT_NUMBER }?.toLong()
}

private fun JsonElement.asNumber(): JsonPrimitive? = (this as? JsonPrimitive)?.takeUnless { it.isString }

internal fun JsonObject.long(name: String): Long? = this[name]?.asLong()

/** A number without a fraction; null for any other value. */
internal fun JsonObject.wholeNumber(name: String): Long? = this[name]?.asNumber()?.longOrNull

internal fun JsonObject.int(name: String): Int? = long(name)?.takeIf { it in Int.MIN_VALUE..Int.MAX_VALUE }?.toInt()

/** The number [name], 0 if it is missing; null if it is not a number from 0 to [max]. */
internal fun JsonObject.intUpTo(max: Int, name: String): Int? = if (name in this) int(name)?.takeIf { it in 0..max } else 0

/** The number [name], 0 if it is missing; null if it is not a number from 0 to [max]. */
internal fun JsonObject.longUpTo(max: Long, name: String): Long? = if (name in this) long(name)?.takeIf { it in 0..max } else 0

/** A finite number; null for any other value. */
internal fun JsonObject.double(name: String): Double? = this[name]?.asNumber()?.doubleOrNull?.takeIf { it.isFinite() }

internal fun JsonObject.flag(name: String): Boolean = (this[name] as? JsonPrimitive)?.takeUnless { it.isString }?.booleanOrNull ?: false

internal fun JsonObject.array(name: String): JsonArray = this[name] as? JsonArray ?: JsonArray(emptyList())

internal fun JsonObject.obj(name: String): JsonObject? = this[name] as? JsonObject

/** Up to this number a floating-point value represents every whole number. */
private const val MAX_EXACT_NUMBER = 9_007_199_254_740_992.0
