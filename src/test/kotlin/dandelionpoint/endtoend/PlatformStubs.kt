/* The platform's store and workers over HTTP on loopback, for a process of the command `fleet`; backed by the in-memory stand-ins. */
package dandelionpoint.endtoend

import arrow.core.getOrElse
import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import dandelionpoint.platform.decodeTask
import dandelionpoint.platform.wireName
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.LeaseCall
import dandelionpoint.protocol.fleet.LeaseOutcome
import dandelionpoint.protocol.fleet.LeaseReport
import dandelionpoint.protocol.fleet.RowChanges
import dandelionpoint.protocol.fleet.RowWrite
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.SharedRow
import dandelionpoint.protocol.fleet.StartOrder
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.fleet.WriteResult
import dandelionpoint.standin.fleet.MemoryRows
import dandelionpoint.standin.fleet.MemoryWorkers
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.longOrNull
import kotlinx.serialization.json.put
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.URI
import java.util.Base64
import java.util.concurrent.Executors

/** A store with one route and one worker, both served at [port] of the loopback address. [runMs] is the run time of a task in ms. */
internal class PlatformStubs(runMs: (TaskRef) -> Long) : AutoCloseable {
    private val rows = MemoryRows()
    private val workers = MemoryWorkers(demandOf = { Demand(TASK_CPU) }, runMs = runMs)
    private val threads = Executors.newCachedThreadPool()
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
    val port: Int get() = server.address.port
    private val worker =
        WorkerEntry(WORKER, POOL, HOST, port, "akl-a", isDraining = false, capacity = Demand(WORKER_CPU, 1), startedAtMs = 1)

    init {
        server.executor = threads
        handle("/v1/rows-get") { rowsGet(it.query()) }
        handle("/v1/rows-feed") { rowsFeed(it.query()) }
        handle("/v1/rows-tx") { transaction(it.json()) }
        handle("/v1/run-start") { start(it.json()) }
        handle("/v1/run-stop") { stop(it.json()) }
        handle("/v1/hold") { hold(it.json()) }
        workers.add(worker)
        rows.put("op", "config", CONFIGURATION.encodeToByteArray())
        val entry = """{"state":"ready","address":"$HOST:$port","service":"$POOL","zone":"akl-a","capacity":{"cpu":$WORKER_CPU},"born":1}"""
        rows.put("servers", WORKER, entry.encodeToByteArray())
        server.start()
    }

    private class Answer(val status: Int, val body: JsonObject)

    private fun handle(path: String, answer: suspend (HttpExchange) -> Answer) = server.createContext(path) { exchange ->
        val result = runBlocking { answer(exchange) }
        val bytes = result.body.toString().encodeToByteArray()
        exchange.sendResponseHeaders(result.status, bytes.size.toLong())
        exchange.responseBody.use { it.write(bytes) }
    }

    private fun HttpExchange.json(): JsonObject = Json.parseToJsonElement(requestBody.readBytes().decodeToString()).jsonObject

    private fun HttpExchange.query(): Map<String, String> = URI(requestURI.toString()).query.split('&').associate {
        it.substringBefore('=') to it.substringAfter('=')
    }

    private suspend fun rowsGet(query: Map<String, String>): Answer {
        val read = rows.read(query.getValue("table"), query["from"].orEmpty(), query["to"].orEmpty()).getOrElse { error("$it") }
        return Answer(OK, rowsBody(read.rows, read.version))
    }

    private suspend fun rowsFeed(query: Map<String, String>): Answer {
        val after = query.getValue("after").toLong()
        val changes = rows.changes(query.getValue("table"), after, query.getValue("wait_ms").toLong()).getOrElse { error("$it") }
        return when (changes) {
            is RowChanges.Changed -> Answer(OK, rowsBody(changes.rows, changes.version))
            RowChanges.HistoryGone -> Answer(GONE, EMPTY)
        }
    }

    private fun rowsBody(found: List<SharedRow>, version: Long) = buildJsonObject {
        put("ver", version)
        put("now_ms", System.currentTimeMillis())
        put("rows", JsonArray(found.map { it.toJson() }))
    }

    private fun SharedRow.toJson() = buildJsonObject {
        put("table", table)
        put("key", key)
        put("ver", version)
        if (value == null) put("deleted", true) else put("value", Base64.getEncoder().encodeToString(value))
    }

    private suspend fun transaction(body: JsonObject): Answer {
        val expected = body.list("precondition").associate { it.text("key") to it.number("ver") }
        val puts = body.list("puts")
        val removed = body.list("remove").map { rows.write(it.text("table"), it.text("key"), null, expected[it.text("key")]) }
        val isSingle = puts.size == 1
        val written = when {
            removed.isNotEmpty() -> removed.last()

            isSingle -> puts.first().let { rows.write(it.text("table"), it.text("key"), it.value(), expected[it.text("key")]) }

            else -> rows.writeAll(
                puts.first().text("table"),
                puts.map {
                    RowWrite(it.text("key"), it.value(), expected[it.text("key")] ?: 0)
                },
            )
        }
        return when (val result = written.getOrElse { error("$it") }) {
            is WriteResult.Written -> Answer(OK, writtenBody(result))
            WriteResult.Conflict -> Answer(PRECONDITION_FAILED, EMPTY)
        }
    }

    private fun writtenBody(written: WriteResult.Written) = buildJsonObject {
        put("ver", written.version)
        put("now_ms", written.storeMs)
    }

    private suspend fun start(body: JsonObject): Answer {
        val order = StartOrder(body.run(), body.text("spec"), body.number("deadline_ms"), body.number("fencing_token"), worker.startedAtMs)
        return when (val outcome = workers.start(worker, order, CALL_MS)) {
            is StartOutcome.Started -> Answer(OK, buildJsonObject { put("clock_ms", outcome.clockMs) })
            else -> Answer(CONFLICT, buildJsonObject { put("reason", "room") })
        }
    }

    private suspend fun stop(body: JsonObject): Answer {
        val isStopped = workers.stop(worker, body.run(), body.number("fencing_token"), CALL_MS)
        return Answer(if (isStopped) OK else CONFLICT, EMPTY)
    }

    private suspend fun hold(body: JsonObject): Answer {
        val waitMs = body["wait_ms"]?.jsonPrimitive?.int ?: 0
        val call = LeaseCall(body.number("fencing_token"), body.number("last_seen"), body["deadline_ms"]?.jsonPrimitive?.longOrNull, waitMs)
        return when (val outcome = workers.lease(worker, call, CALL_MS)) {
            is LeaseOutcome.Answered -> Answer(OK, runList(outcome.report))
            else -> Answer(CONFLICT, EMPTY)
        }
    }

    private fun runList(report: LeaseReport) = buildJsonObject {
        put("clock_ms", report.clockMs)
        put("born", report.startedAtMs)
        put("running", JsonArray(report.running.map { row -> list(row.run.task.wireName(), row.run.run, "", row.percent) }))
        put(
            "ended",
            JsonArray(report.ended.map { row -> list(row.number, row.run.task.wireName(), row.run.run, row.end.word(), "") }),
        )
    }

    private fun list(vararg values: Any) = buildJsonArray {
        values.forEach { if (it is Number) add(it) else add(it.toString()) }
    }

    private fun RunEnd.word() = when (this) {
        RunEnd.DONE -> "done"
        RunEnd.FAILED -> "failed"
        else -> "lost"
    }

    private fun JsonObject.run() = TaskRun(checkNotNull(decodeTask(text("task"))), getValue("run").jsonPrimitive.int)

    private fun JsonObject.list(name: String): List<JsonObject> = this[name]?.jsonArray.orEmpty().map { it.jsonObject }

    private fun JsonObject.text(name: String): String = (getValue(name) as JsonPrimitive).content

    private fun JsonObject.number(name: String): Long = getValue(name).jsonPrimitive.long

    private fun JsonObject.value(): ByteArray = Base64.getDecoder().decode(text("value"))

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }

    companion object {
        const val HOST = "127.0.0.1"
        const val ROUTE_HOST = "jobs.example"
        const val PREFIX = "/q/"
        const val TASK_CPU = 10
        private const val POOL = "pool"
        private const val WORKER = "worker-1"
        private const val WORKER_CPU = 64_000
        private const val CALL_MS = 1_000L
        private const val OK = 200
        private const val CONFLICT = 409
        private const val GONE = 410
        private const val PRECONDITION_FAILED = 412
        private val EMPTY = buildJsonObject { }
        private const val CONFIGURATION =
            """{"version":1,"routes":[{"name":"q","service":"$POOL","host":"$ROUTE_HOST","path_prefix":"$PREFIX",""" +
                """"max_attempts":2,"stretch":2,"latency_target_ms":400}]}"""
    }
}
