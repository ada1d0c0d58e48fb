/*
 * Reads a worker's run list without a JSON tree. A VM reads tens of lists a second, and a tree costs several times as much. Only the usual
 * form is read: no white space, members and rows as workers write them, texts without escapes. [decodeRunList] reads any other list.
 */
package dandelionpoint.platform

import dandelionpoint.protocol.fleet.EndedRow
import dandelionpoint.protocol.fleet.LeaseReport
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.RunningRow
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun

/** Reads one run list from [bytes]. */
internal class RunListReader(private val bytes: ByteArray) {
    /** A list in another form than the usual one. */
    private class UnusualForm : Exception() {
        override fun fillInStackTrace(): Throwable = this
    }

    private var at = 0

    /** The run list, null if it is not in the usual form. */
    fun read(): LeaseReport? = try {
        readReport()
    } catch (_: UnusualForm) {
        null
    }

    private fun readReport(): LeaseReport {
        var clockMs: Long? = null
        var startedAtMs: Long? = null
        var running: List<RunningRow>? = null
        var ended: List<EndedRow>? = null
        expect('{')
        do {
            when (memberName()) {
                "clock_ms" -> clockMs = once(clockMs, number())
                "born" -> startedAtMs = once(startedAtMs, number())
                "running" -> running = once(running, rows { runningRow() })
                "ended" -> ended = once(ended, rows { endedRow() })
                else -> unusualForm()
            }
        } while (skip(','))
        expect('}')
        if (at != bytes.size) unusualForm()
        return LeaseReport(clockMs ?: unusualForm(), startedAtMs ?: 0L, running.orEmpty(), ended.orEmpty())
    }

    private fun unusualForm(): Nothing = throw UnusualForm()

    private fun <T> once(earlier: T?, value: T): T = if (earlier == null) value else unusualForm()

    private fun memberName(): String = text().also { expect(':') }

    private fun <T> rows(row: () -> T): List<T> {
        expect('[')
        if (skip(']')) return emptyList()
        val rows = mutableListOf<T>()
        do {
            rows += row()
        } while (skip(','))
        expect(']')
        return rows
    }

    /** A row is [task, run, saved state, percent, use]. */
    private fun runningRow(): RunningRow {
        expect('[')
        val run = run()
        expect(',')
        text()
        expect(',')
        val percent = number()
        if (skip(',')) skipDecimal()
        expect(']')
        return RunningRow(run, percent.coerceIn(0, MAX_PERCENT).toInt())
    }

    /** A row is [number, task, run, how it ended, saved state]. */
    private fun endedRow(): EndedRow {
        expect('[')
        val number = number()
        expect(',')
        val run = run()
        expect(',')
        val end = runEnd(text())
        expect(',')
        text()
        expect(']')
        return if (number > 0) EndedRow(number, run, end) else unusualForm()
    }

    private fun run(): TaskRun {
        val task: TaskRef = decodeTask(text()) ?: unusualForm()
        expect(',')
        val number = number()
        return if (number in 1..Int.MAX_VALUE) TaskRun(task, number.toInt()) else unusualForm()
    }

    /** A text of printable ASCII characters without escapes. */
    private fun text(): String {
        expect('"')
        val start = at
        while (at < bytes.size && bytes[at] != QUOTE) {
            if (bytes[at] !in PRINTABLE || bytes[at] == BACKSLASH) unusualForm()
            at++
        }
        val text = String(bytes, start, at - start, Charsets.ISO_8859_1)
        expect('"')
        return text
    }

    /** A whole number of at most [MAX_DIGITS] digits, without a sign or a leading zero. */
    private fun number(): Long {
        val start = at
        var number = 0L
        while (at < bytes.size && bytes[at] in ZERO..NINE) number = number * DECIMAL + (bytes[at++] - ZERO)
        val digits = at - start
        val isUsual = digits in 1..MAX_DIGITS && (digits == 1 || bytes[start] != ZERO)
        return if (isUsual) number else unusualForm()
    }

    /** A number with or without a fraction. */
    private fun skipDecimal() {
        number()
        if (!skip('.')) return
        val start = at
        while (at < bytes.size && bytes[at] in ZERO..NINE) at++
        if (at == start) unusualForm()
    }

    private fun skip(expected: Char): Boolean = (at < bytes.size && bytes[at] == expected.code.toByte()).also { if (it) at++ }

    private fun expect(expected: Char) {
        if (!skip(expected)) unusualForm()
    }

    private companion object {
        const val MAX_PERCENT = 100L

        /** All numbers of this many digits are in the range of times. */
        const val MAX_DIGITS = 13
        const val DECIMAL = 10
        const val QUOTE = '"'.code.toByte()
        const val BACKSLASH = '\\'.code.toByte()
        const val ZERO = '0'.code.toByte()
        const val NINE = '9'.code.toByte()
        val PRINTABLE = ' '.code.toByte()..'~'.code.toByte()
    }
}
