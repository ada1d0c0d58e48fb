/* Finds keys that appear more than once in one JSON object. The JSON parser silently keeps only the last value of such a key. */
package dandelionpoint.settings

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonPrimitive

/** Paths of the repeated keys in [text], which the parser must have accepted. */
internal fun duplicateKeys(text: String): List<String> = KeyScanner(text).scan()

private class KeyScanner(private val text: String) {
    private class Container(val path: String, val isObject: Boolean) {
        val keys = HashSet<String>()
        var key = ""
        var index = 0
        var expectsKey = isObject

        /** Path of the current member or element of this object or array. */
        fun currentPath(): String = when {
            !isObject -> "$path[$index]"
            path.isEmpty() -> key
            else -> "$path.$key"
        }
    }

    private val containers = ArrayDeque<Container>()
    private val repeated = mutableListOf<String>()
    private var position = 0

    fun scan(): List<String> {
        while (position < text.length) scanToken()
        return repeated
    }

    private fun scanToken() {
        when (text[position]) {
            '{' -> openContainer(isObject = true)
            '[' -> openContainer(isObject = false)
            '}', ']' -> closeContainer()
            ',' -> nextMember()
            '"' -> readString()
            '/' -> skipComment()
            else -> position++
        }
    }

    private fun openContainer(isObject: Boolean) {
        containers.addLast(Container(containers.lastOrNull()?.currentPath().orEmpty(), isObject))
        position++
    }

    private fun closeContainer() {
        containers.removeLastOrNull()
        position++
    }

    private fun nextMember() {
        containers.lastOrNull()?.let {
            it.index++
            it.expectsKey = it.isObject
        }
        position++
    }

    private fun readString() {
        val start = position++
        while (position < text.length && text[position] != '"') position += if (text[position] == '\\') 2 else 1
        position++
        val container = containers.lastOrNull()?.takeIf { it.expectsKey } ?: return
        container.key = Json.parseToJsonElement(text.substring(start, position)).jsonPrimitive.content
        container.expectsKey = false
        if (!container.keys.add(container.key)) repeated += container.currentPath()
    }

    private fun skipComment() {
        val end = if (text.startsWith("//", position)) "\n" else "*/"
        val endPosition = text.indexOf(end, position + 2)
        position = if (endPosition < 0) text.length else endPosition + end.length
    }
}
