/* Estimates, on the high side, of the memory that a submission takes while it is parsed and while its job waits for its end, in bytes. */
package dandelionpoint.platform

import dandelionpoint.protocol.fleet.FleetJob

/** Memory of a value of a JSON tree: a member of an object with its name and its number. */
private const val VALUE_BYTES = 160L

/** Memory of a character of a body, as bytes and as text. */
private const val CHARACTER_BYTES = 2L

/** Memory of a job, of a step and of a task with the state of its run, of which the VM that dispatches the job keeps one each. */
private const val JOB_BYTES = 2_048L
private const val STEP_BYTES = 300L
private const val TASK_BYTES = 400L

/** Memory of a number in a list. */
private const val NUMBER_BYTES = 24L

/** Bodies up to this size are not counted value by value: each of their characters may be a value. */
private const val SMALL_BODY_BYTES = 1_024

/** Memory of the JSON tree of a body of [bytes] bytes with [values] values. */
internal fun treeBytes(bytes: Int, values: Int): Long = bytes * CHARACTER_BYTES + values * VALUE_BYTES

/** Memory of [job] until its end. */
internal fun jobBytes(job: FleetJob): Long = JOB_BYTES + job.payload.length * CHARACTER_BYTES +
    job.steps.sumOf { step -> STEP_BYTES + step.count * TASK_BYTES + step.after.size * NUMBER_BYTES }

/** Number of values in a JSON text, at most, and the depth of its nesting. */
internal data class JsonShape(val values: Int, val depth: Int)

/**
 * The shape of a JSON text, from its commas and brackets outside of strings. That of a small body, whose values take less memory than is
 * counted for its job, is not looked at and is 0.
 */
internal fun jsonShape(text: ByteArray): JsonShape {
    if (text.size <= SMALL_BODY_BYTES) return JsonShape(0, 0)
    var values = 1
    var depth = 0
    var deepest = 0
    var position = 0
    while (position < text.size) {
        when (text[position]) {
            COMMA -> values++

            OPEN_ARRAY, OPEN_OBJECT -> {
                values++
                deepest = maxOf(deepest, ++depth)
            }

            CLOSE_ARRAY, CLOSE_OBJECT -> depth--

            QUOTE -> position = endOfString(text, position)
        }
        position++
    }
    return JsonShape(values, deepest)
}

/** Position of the quote that ends the string which starts at [start]; the end of [text] if there is none. */
private fun endOfString(text: ByteArray, start: Int): Int {
    var position = start + 1
    while (position < text.size && text[position] != QUOTE) position += if (text[position] == BACKSLASH) 2 else 1
    return position
}

private const val COMMA = ','.code.toByte()
private const val OPEN_ARRAY = '['.code.toByte()
private const val OPEN_OBJECT = '{'.code.toByte()
private const val CLOSE_ARRAY = ']'.code.toByte()
private const val CLOSE_OBJECT = '}'.code.toByte()
private const val QUOTE = '"'.code.toByte()
private const val BACKSLASH = '\\'.code.toByte()
