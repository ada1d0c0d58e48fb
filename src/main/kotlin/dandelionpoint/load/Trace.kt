/* A trace: when work arrives, and the declared and true run time of each task. Times are in ms at worker speed 1 and load 1. */
package dandelionpoint.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.nio.file.Path

/**
 * First line of a trace file. [lengthMs] is the time over which the work arrives at load 1 on [capacity] slots of speed 1. [seed] is the
 * seed that the trace was generated from.
 */
@Serializable
internal data class TraceHeader(val name: String, val lengthMs: Double, val capacity: Double, val seed: Long)

/** One line of a trace after the header. */
@Serializable
internal sealed interface TraceLine {
    val atMs: Double
    val team: String
    val taskClass: String

    /** Time from the receipt of the work to its deadline. */
    val deadlineMs: Int
    val times: RunTimes
}

/** [count] requests of one team and class that arrive at random times within [spanMs] after [atMs]. */
@Serializable
@SerialName("requests")
internal data class RequestSeries(
    override val atMs: Double,
    val spanMs: Double,
    val count: Int,
    override val team: String,
    override val taskClass: String,
    override val deadlineMs: Int,
    val idempotent: Boolean,
    override val times: RunTimes,
) : TraceLine

/**
 * A job of [tasks] tasks. After each of [resubmitAfterMs], counted from the arrival, its client submits it again with the same id,
 * because it assumes that the job was lost.
 */
@Serializable
@SerialName("job")
internal data class JobLine(
    override val atMs: Double,
    val tasks: Int,
    override val team: String,
    override val taskClass: String,
    override val deadlineMs: Int,
    override val times: RunTimes,
    val resubmitAfterMs: List<Double> = emptyList(),
) : TraceLine

/** A trace: its header and the work in it. */
internal data class Trace(val header: TraceHeader, val lines: List<TraceLine>) {
    /** Run time of all tasks at speed 1, in ms. */
    fun workMs(): Double = lines.sumOf { line -> line.taskTimes().sumOf { it.trueMs } }

    companion object {
        private val json = Json { encodeDefaults = false }
        private const val MAX_FILE_BYTES = 64L * 1024 * 1024

        /** Encodes [trace] as JSON lines, beginning with the header. */
        fun encode(trace: Trace): String {
            val lines = trace.lines.map { json.encodeToString<TraceLine>(it) }
            return (listOf(json.encodeToString(trace.header)) + lines).joinToString("\n", postfix = "\n")
        }

        /** Decodes JSON lines. Throws [IllegalArgumentException] if [text] is not a trace. */
        fun decode(text: String): Trace {
            val lines = text.lineSequence().filter { it.isNotBlank() }.toList()
            require(lines.isNotEmpty()) { "the trace is empty" }
            return Trace(json.decodeFromString(lines.first()), lines.drop(1).map { json.decodeFromString<TraceLine>(it) })
        }

        /** Reads the trace in [file]. */
        fun read(file: Path): Trace {
            require(Files.size(file) <= MAX_FILE_BYTES) { "trace file $file is larger than $MAX_FILE_BYTES bytes" }
            return decode(Files.readString(file))
        }
    }
}

/** Number of tasks or requests of the line. */
internal val TraceLine.count: Int
    get() =
        when (this) {
            is RequestSeries -> count
            is JobLine -> tasks
        }

/** Run times of the tasks or requests of the line. A replay that repeats the trace passes a different [round] each time. */
internal fun TraceLine.taskTimes(round: Int = 0): List<TaskTime> = times.taskTimes(count, round)
