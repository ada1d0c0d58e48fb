/* Checks of JSON text before it is parsed. The JSON parser recurses once per array, so a deeply nested document exhausts the stack. */
package dandelionpoint.protocol

/** Deepest nesting of objects and arrays that is accepted in a document. */
internal const val MAX_JSON_NESTING = 64

/**
 * True if objects and arrays in [text] are nested more than [MAX_JSON_NESTING] levels deep. Brackets within strings do not count, and those
 * within comments do not count if the parser [allowsComments].
 */
internal fun isNestedTooDeeply(text: String, allowsComments: Boolean = false): Boolean {
    var depth = 0
    var position = 0
    while (position < text.length && depth <= MAX_JSON_NESTING) {
        when (text[position]) {
            '[', '{' -> depth++
            ']', '}' -> depth--
            '"' -> position = endOfString(text, position)
            '/' -> if (allowsComments) position = endOfComment(text, position)
        }
        position++
    }
    return depth > MAX_JSON_NESTING
}

/**
 * The elements of the JSON array [text], each as text that is not checked further, so that elements which cannot be decoded can be left
 * out. Null if [text] is not an array or an element's brackets do not match.
 */
internal fun jsonArrayElements(text: String): List<String>? {
    val body = text.trim().takeIf { it.startsWith('[') && it.endsWith(']') }?.drop(1)?.dropLast(1) ?: return null
    if (body.isBlank()) return emptyList()
    val elements = mutableListOf<String>()
    var depth = 0
    var start = 0
    var position = 0
    while (position < body.length && depth >= 0) {
        when (body[position]) {
            '[', '{' -> depth++

            ']', '}' -> depth--

            '"' -> position = endOfString(body, position)

            ',' -> if (depth == 0) {
                elements += body.substring(start, position)
                start = position + 1
            }
        }
        position++
    }
    return if (depth == 0) elements + body.substring(start) else null
}

/** Position of the quote that ends the string which starts at [start]; the end of [text] if there is none. */
private fun endOfString(text: String, start: Int): Int {
    var position = start + 1
    while (position < text.length && text[position] != '"') position += if (text[position] == '\\') 2 else 1
    return position
}

/** Position of the last character of the comment which starts at [start]; [start] if none does. */
private fun endOfComment(text: String, start: Int): Int {
    val end = when {
        text.startsWith("//", start) -> text.indexOf('\n', start)
        text.startsWith("/*", start) -> text.indexOf("*/", start + 2).let { if (it < 0) it else it + 1 }
        else -> start
    }
    return if (end < 0) text.length else end
}
