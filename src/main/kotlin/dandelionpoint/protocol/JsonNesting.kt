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
