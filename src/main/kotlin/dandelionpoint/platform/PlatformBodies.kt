/*
 * Decodes the platform's JSON documents into this project's types. Documents of other writers, in which members are missing or have another
 * type, decode to null.
 */
package dandelionpoint.platform

import arrow.core.raise.nullable
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.EndedRow
import dandelionpoint.protocol.fleet.FleetConfiguration
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.LeaseReport
import dandelionpoint.protocol.fleet.QueueRoute
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.RunningRow
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.put
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import java.util.Arrays

private const val READY = "ready"
private const val DRAINING = "draining"

/** Occurrence number of a job that is not repeated; it is the second part of the platform's task names. */
private const val SINGLE_OCCURRENCE = 0

/** Largest CPU of a worker or task, in thousandths of a core. */
private const val MAX_CPU_MILLI = 4_096_000

/** Largest memory of a worker or task, in MB. */
private const val MAX_MEMORY_MB = 67_108_864
private const val MAX_ACCELERATORS = 1_024

/** Latest time that is accepted as the start of a worker or as its clock, in ms. */
private const val MAX_TIME_MS = 253_402_300_799_999L

/** Longest estimate of a task and longest latency target, in ms; with [MAX_JOB_TASKS] and [MAX_CPU_MILLI] a job's work fits a Long. */
private const val MAX_DURATION_MS = 86_400_000L

/** Limit of a text that becomes part of a key in the store, in bytes. */
private const val MAX_KEY_BYTES = 200

/** Ids that can be sent in a header. */
private val WORKER_ID = Regex("[\\x21-\\x7e]{1,$MAX_KEY_BYTES}")

/** A host name or IPv4 address, or an IPv6 address in brackets, and a port. */
private val ADDRESS = Regex("([A-Za-z0-9._-]+|\\[[0-9A-Fa-f:.]+]):([0-9]{1,5})")

/**
 * Decodes a worker's registration under its [id]; null if it is incomplete, a value has another type or is out of range, no request can be
 * sent to the address, or the state is neither ready nor draining.
 */
internal fun decodeWorker(id: String, bytes: ByteArray): WorkerEntry? {
    val body = parseObject(bytes)?.takeIf { WORKER_ID.matches(id) && hasValidCounters(it) } ?: return null
    val state = body.text("state")?.takeIf { it == READY || it == DRAINING }
    val address = body.text("address")?.let { hostAndPort(it) }
    val pool = body.text("service")?.takeIf { isKeyText(it) }
    val dataCentre = body.text("zone")?.takeIf { isKeyText(it) }
    val capacity = body.obj("capacity")?.let { decodeDemand(it) }?.takeIf { it != NO_RESOURCES }
    val labels = decodeLabels(body)
    val startedAtMs = if ("born" in body) body.wholeNumber("born")?.takeIf { it in 0..MAX_TIME_MS } else 0L
    val isComplete = listOf(state, address, pool, dataCentre, capacity, labels, startedAtMs).all { it != null }
    if (!isComplete) return null
    return WorkerEntry(
        id = id,
        pool = checkNotNull(pool),
        host = checkNotNull(address).first,
        port = address.second,
        dataCentre = checkNotNull(dataCentre),
        isDraining = state == DRAINING,
        capacity = checkNotNull(capacity),
        labels = checkNotNull(labels),
        startedAtMs = checkNotNull(startedAtMs),
    )
}

/** The member of a worker's entry that changes with each heartbeat, up to its number. */
private val COUNTER_MEMBER = "\"seq\":".encodeToByteArray()

/**
 * True if two registrations are the same bytes but for the whole number of the heartbeat's counter. Only the compact form of the platform's
 * own writers is recognised; other documents count as different.
 */
internal fun areEqualButForCounter(earlier: ByteArray, later: ByteArray): Boolean {
    val counterAt = endOfCounterName(earlier)?.takeIf { it < later.size } ?: return false
    val restOfEarlier = endOfDigits(earlier, counterAt)
    val restOfLater = endOfDigits(later, counterAt)
    return restOfEarlier > counterAt && restOfLater > counterAt &&
        Arrays.equals(earlier, 0, counterAt, later, 0, counterAt) &&
        Arrays.equals(earlier, restOfEarlier, earlier.size, later, restOfLater, later.size)
}

/** Index behind the counter's name and colon, null if the name does not occur exactly once. */
private fun endOfCounterName(bytes: ByteArray): Int? {
    val at = indexOfCounterName(bytes, 0)
    return if (at < 0 || indexOfCounterName(bytes, at + 1) >= 0) null else at + COUNTER_MEMBER.size
}

private fun indexOfCounterName(bytes: ByteArray, from: Int): Int {
    val length = COUNTER_MEMBER.size
    for (start in from..bytes.size - length) {
        if (bytes[start] == COUNTER_MEMBER[0] && Arrays.equals(bytes, start, start + length, COUNTER_MEMBER, 0, length)) return start
    }
    return -1
}

private fun endOfDigits(bytes: ByteArray, from: Int): Int {
    var end = from
    while (end < bytes.size && bytes[end] in ZERO..NINE) end++
    return end
}

private const val ZERO = '0'.code.toByte()
private const val NINE = '9'.code.toByte()

/** Numbers of an entry that are not used here but show that the entry is a worker's. */
private fun hasValidCounters(body: JsonObject): Boolean =
    listOf("slots", "seq", "cold_left_ms").all { it !in body || (body.double(it) ?: -1.0) >= 0.0 }

/** True if [text] can be a key of the store and a name in log lines. */
private fun isKeyText(text: String): Boolean {
    val bytes = text.encodeToByteArray()
    return text.isNotBlank() && bytes.size <= MAX_KEY_BYTES && bytes.decodeToString() == text && text.none { it.isISOControl() }
}

private fun hostAndPort(address: String): Pair<String, Int>? {
    val (host, port) = ADDRESS.matchEntire(address)?.destructured ?: return null
    return if ("http://$address/".toHttpUrlOrNull() == null || port.toInt() == 0) null else host to port.toInt()
}

/** The labels of an entry; null if they are not an array of texts. */
private fun decodeLabels(body: JsonObject): Set<String>? {
    val labels = if ("labels" in body) body["labels"] as? JsonArray ?: return null else JsonArray(emptyList())
    return labels.map { it.asText() ?: return null }.toSet()
}

private val NO_RESOURCES = Demand(0)

/** The resources in [body]; null if a member is not a number in its range. A missing member is 0. */
private fun decodeDemand(body: JsonObject): Demand? = Demand(
    cpuMilli = body.intUpTo(MAX_CPU_MILLI, "cpu") ?: return null,
    memoryMb = body.intUpTo(MAX_MEMORY_MB, "mem_mb") ?: return null,
    accelerators = body.intUpTo(MAX_ACCELERATORS, "gpu") ?: return null,
)

/** Decodes the operator's configuration; null if it is not a JSON object with a version. Routes that are incomplete are left out. */
internal fun decodeConfiguration(bytes: ByteArray): FleetConfiguration? {
    val body = parseObject(bytes) ?: return null
    val routes = body.array("routes").mapNotNull { (it as? JsonObject)?.let(::decodeRoute) }
    return FleetConfiguration(body.long("version") ?: return null, routes, bytes.decodeToString())
}

private fun decodeRoute(body: JsonObject): QueueRoute? {
    val queue = JobQueue(
        name = body.text("name") ?: return null,
        pool = body.text("service").orEmpty(),
        priority = body.int("priority") ?: 0,
        maxAttempts = (body.int("max_attempts") ?: 1).coerceAtLeast(1),
        stretch = (body.double("stretch") ?: 1.0).coerceIn(0.0, MAX_STRETCH),
        latencyTargetMs = (body.long("latency_target_ms") ?: 0L).coerceIn(0L, MAX_DURATION_MS),
    )
    return QueueRoute(body.text("host") ?: return null, body.text("path_prefix") ?: return null, queue)
}

/** Largest factor by which a job may take longer than its estimate. */
private const val MAX_STRETCH = 1_000_000.0

/** A decoded submission of a client. */
internal sealed interface SubmittedBody {
    data class BestEffort(val job: FleetJob) : SubmittedBody

    /** The job needs [feature], which is not supported. */
    data class Unsupported(val feature: String) : SubmittedBody

    data class Malformed(val reason: String) : SubmittedBody
}

/** Members of a step that require it to be run in a way that is not supported. */
private val UNSUPPORTED_STEP_FLAGS = listOf("gang", "long_running", "fills")

/** Decodes the body of the submission of the job [id]. */
internal fun decodeJob(id: String, bytes: ByteArray): SubmittedBody {
    val body = parseObject(bytes) ?: return SubmittedBody.Malformed("the body is not a JSON object")
    val steps = body.array("steps").map { decodeStep(it as? JsonObject) ?: return SubmittedBody.Malformed("a step cannot be read") }
    val flags = body.array("steps").flatMap { step -> UNSUPPORTED_STEP_FLAGS.filter { (step as JsonObject).flag(it) } }
    val job = FleetJob(id, body.text("spec").orEmpty(), steps)
    return when {
        steps.isEmpty() -> SubmittedBody.Malformed("the job has no step")

        steps.sumOf { it.count } > MAX_JOB_TASKS -> SubmittedBody.Malformed("the job has more than $MAX_JOB_TASKS tasks")

        steps.withIndex().any { (index, step) -> step.after.any { it !in 0 until index } } ->
            SubmittedBody.Malformed("a step waits for itself or a later one")

        !body.flag("best_effort") -> SubmittedBody.Unsupported("jobs that are not best effort")

        flags.isNotEmpty() -> SubmittedBody.Unsupported(flags.first())

        (body.long("repeat_count") ?: 0L) > 0 -> SubmittedBody.Unsupported("repeated jobs")

        else -> SubmittedBody.BestEffort(job)
    }
}

private fun decodeStep(body: JsonObject?): JobStep? = nullable {
    val members = body.bind()
    JobStep(
        count = members.int("count")?.takeIf { it in 1..MAX_TASKS }.bind(),
        demand = decodeDemand(members).bind(),
        estimateMs = members.longUpTo(MAX_DURATION_MS, "est_runtime_ms").bind(),
        after = members.array("after").map { (it as? JsonPrimitive)?.intOrNull.bind() },
        requiredLabel = members.text("required_label")?.takeIf { it.isNotEmpty() },
        rack = members.text("affinity")?.takeIf { it.isNotEmpty() },
        maxPerWorker = members.intUpTo(Int.MAX_VALUE, "max_per_server").bind(),
    )
}

/** Encodes the body with which a client submits [job] as a best-effort job. */
internal fun encodeJob(job: FleetJob): ByteArray = buildJsonObject {
    put("spec", job.payload)
    put("best_effort", true)
    put("steps", JsonArray(job.steps.map { encodeStep(it) }))
}.toString().encodeToByteArray()

private fun encodeStep(step: JobStep): JsonObject = buildJsonObject {
    put("count", step.count)
    put("cpu", step.demand.cpuMilli)
    put("mem_mb", step.demand.memoryMb)
    put("gpu", step.demand.accelerators)
    put("est_runtime_ms", step.estimateMs)
    put("after", JsonArray(step.after.map { JsonPrimitive(it) }))
    step.requiredLabel?.let { put("required_label", it) }
    step.rack?.let { put("affinity", it) }
    put("max_per_server", step.maxPerWorker)
}

/** Largest number of tasks of one step. */
private const val MAX_TASKS = 1_200

/** Largest number of tasks of one job: each takes memory while the job is in progress. */
private const val MAX_JOB_TASKS = 12_000

/** The platform's name of a task. */
internal fun TaskRef.wireName(): String = "$jobId.$SINGLE_OCCURRENCE.$step.$index"

/** Decodes the platform's [name] of a task; null if it has another form. */
internal fun decodeTask(name: String): TaskRef? {
    val parts = name.split('.')
    if (parts.size != 4) return null
    return TaskRef(parts[0], parts[2].toIntOrNull() ?: return null, parts[3].toIntOrNull() ?: return null)
}

/** The worker's clock in an answer, in ms; null if it is missing or out of range. */
internal fun JsonObject.clockMs(): Long? = long("clock_ms")?.takeIf { it in 0..MAX_TIME_MS }

/**
 * Decodes a worker's run list; null if it is not a JSON object with a clock, or the clock or the start time is out of range. Rows that
 * cannot be read are left out.
 */
internal fun decodeRunList(bytes: ByteArray): LeaseReport? = RunListReader(bytes).read() ?: decodeAnyRunList(bytes)

/** Decodes a run list in any form of JSON. */
internal fun decodeAnyRunList(bytes: ByteArray): LeaseReport? {
    val body = parseObject(bytes) ?: return null
    val running = body.array("running").mapNotNull { runningRow(it as? JsonArray) }
    val ended = body.array("ended").mapNotNull { endedRow(it as? JsonArray) }
    return LeaseReport(body.clockMs() ?: return null, body.longUpTo(MAX_TIME_MS, "born") ?: return null, running, ended)
}

/** A row is [task, run, saved state, percent]. */
private fun runningRow(row: JsonArray?): RunningRow? {
    val run = row?.run(taskAt = 0) ?: return null
    return RunningRow(run, row.getOrNull(3)?.asLong()?.coerceIn(0, 100)?.toInt() ?: 0)
}

/** A row is [number, task, run, how it ended, saved state]. */
private fun endedRow(row: JsonArray?): EndedRow? {
    val run = row?.run(taskAt = 1) ?: return null
    val end = runEnd(row.getOrNull(3)?.asText())
    return EndedRow(row.getOrNull(0)?.asLong()?.takeIf { it > 0 } ?: return null, run, end)
}

/** The platform's word for how a run ended. */
internal fun runEnd(word: String?): RunEnd = when (word) {
    "done" -> RunEnd.DONE
    "failed" -> RunEnd.FAILED
    else -> RunEnd.LOST
}

private fun JsonArray.run(taskAt: Int): TaskRun? {
    val task = getOrNull(taskAt)?.asText()?.let { decodeTask(it) } ?: return null
    val run = getOrNull(taskAt + 1)?.asLong()?.takeIf { it in 1..Int.MAX_VALUE } ?: return null
    return TaskRun(task, run.toInt())
}
