package dandelionpoint.load

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors

private const val NOT_READY = """{"code":"STARTING","number":111,"certainty":"NOT_RUN","detail":"d","advice":"a"}"""

/** Fault that the fake VM simulates. */
internal enum class FakeFault {
    NONE,
    STARTS_TWICE,
    PARTIAL_RESULTS,
    RETURNS_OTHER_RESULTS,
    REFUSES_AFTER_START,
    NOT_READY,
    CLOSES_CONNECTION,
}

/** A minimal entry VM with a start log, as far as a replay needs them. Tasks end at once. */
internal class FakeEntryVm(
    private val fault: FakeFault = FakeFault.NONE,
    private val startLog: ConcurrentHashMap<String, Int> = ConcurrentHashMap(),
) : AutoCloseable {
    private val server =
        HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0).apply {
            executor = Executors.newFixedThreadPool(8)
            createContext("/") { handle(it) }
            start()
        }
    private var lastKey = "none/0"

    /** Received calls as `METHOD path authorization`. */
    val calls: MutableCollection<String> = ConcurrentHashMap.newKeySet()
    val address = EntryAddress("127.0.0.1", server.address.port)

    /** Number of starts of each of [keys]. */
    fun starts(keys: List<String>): Map<String, Int> = keys.associateWith { startLog[it] ?: 0 }

    override fun close() = server.stop(0)

    private fun handle(exchange: HttpExchange) {
        val body = exchange.requestBody.readBytes().decodeToString()
        calls += "${exchange.requestMethod} ${exchange.requestURI.path} ${exchange.requestHeaders.getFirst("Authorization")}"
        when {
            fault == FakeFault.CLOSES_CONNECTION -> exchange.close()
            fault == FakeFault.NOT_READY -> exchange.reply(503, NOT_READY)
            else -> answer(exchange, Json.parseToJsonElement(body).jsonObject)
        }
    }

    private fun answer(exchange: HttpExchange, members: JsonObject) {
        val payloads = members["tasks"]?.jsonArray?.map { it.jsonObject.getValue("payload") } ?: listOf(members.getValue("payload"))
        val keys = payloads.map { Json.decodeFromString<TaskPayload>(it.jsonPrimitive.content).key }
        keys.forEach { key -> startLog.merge(key, 1) { old, new -> if (fault == FakeFault.STARTS_TWICE) old + new else old } }
        if (fault == FakeFault.STARTS_TWICE) startLog.merge(keys.first(), 1, Int::plus)
        val results = results(keys).joinToString(",") { "\"${workerAnswer(it).replace("\"", "\\\"")}\"" }
        when {
            fault == FakeFault.REFUSES_AFTER_START -> exchange.reply(503, """{"code":"QUEUE_FULL","detail":"full"}""")

            "tasks" !in members -> exchange.reply(200, """{"result":$results}""")

            else -> {
                val header = """"id":${members["id"]},"team":"tracks","state":"COMPLETE","tasks":${keys.size},"recorded":true"""
                exchange.reply(202, """{$header,"results":[$results]}""")
            }
        }
    }

    private fun results(keys: List<String>): List<String> = when (fault) {
        FakeFault.PARTIAL_RESULTS -> if (keys.size > 1) keys.dropLast(1) else keys
        FakeFault.RETURNS_OTHER_RESULTS -> keys.map { key -> synchronized(this) { lastKey.also { lastKey = key } } }
        else -> keys
    }

    private fun HttpExchange.reply(status: Int, text: String) {
        val bytes = text.encodeToByteArray()
        sendResponseHeaders(status, bytes.size.toLong())
        responseBody.use { it.write(bytes) }
    }
}
