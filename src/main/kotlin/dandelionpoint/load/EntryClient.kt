/* Asynchronous HTTP calls to entry VMs, as their clients make them. */
package dandelionpoint.load

import kotlinx.coroutines.suspendCancellableCoroutine
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.EventListener
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.io.InterruptedIOException
import java.net.Proxy
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume

/** Address of an entry VM's HTTP interface. */
internal data class EntryAddress(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"

    companion object {
        /** Parses `host:port`. */
        fun parse(text: String): EntryAddress {
            val port = text.substringAfterLast(':').toIntOrNull()
            require(port != null && ':' in text) { "'$text' is not of the form host:port" }
            return EntryAddress(text.substringBeforeLast(':'), port)
        }
    }
}

/** HTTP client of the entry VMs. [tokens] maps each team to its bearer token. */
internal class EntryClient(private val tokens: Map<String, String>) : AutoCloseable {
    /** Records whether the client has begun to write a call's request. */
    private class SendState {
        @Volatile
        var isSent = false
    }

    private val client =
        OkHttpClient
            .Builder()
            .proxy(Proxy.NO_PROXY)
            .dispatcher(
                Dispatcher().apply {
                    maxRequests = MAX_CALLS
                    maxRequestsPerHost = MAX_CALLS
                },
            ).connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
            // A retry inside the library would submit work a second time without the replay recording it.
            .retryOnConnectionFailure(false)
            .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .eventListenerFactory { call ->
                object : EventListener() {
                    override fun requestHeadersStart(call: Call) {
                        call.request().tag(SendState::class.java)?.isSent = true
                    }
                }
            }.build()

    /** Posts [body] with the token of [team]. Returns the answer, or [Answer.CallFailed] if there is none within [timeoutMs]. */
    suspend fun post(entry: EntryAddress, path: String, team: String, body: String, timeoutMs: Long): Answer =
        send(request(entry, path, team).post(body.toRequestBody(JSON_TYPE)), timeoutMs)

    suspend fun get(entry: EntryAddress, path: String, team: String, timeoutMs: Long): Answer = send(request(entry, path, team), timeoutMs)

    override fun close() {
        client.dispatcher.cancelAll()
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private fun request(entry: EntryAddress, path: String, team: String): Request.Builder =
        Request.Builder().url("http://$entry$path").apply { tokens[team]?.let { header("Authorization", "Bearer $it") } }

    private suspend fun send(builder: Request.Builder, timeoutMs: Long): Answer = suspendCancellableCoroutine { continuation ->
        val sendState = SendState()
        val call = client.newCall(builder.tag(SendState::class.java, sendState).build())
        call.timeout().timeout(timeoutMs, TimeUnit.MILLISECONDS)
        continuation.invokeOnCancellation { call.cancel() }
        call.enqueue(
            object : Callback {
                override fun onResponse(call: Call, response: Response) = continuation.resume(parseResponse(response))

                override fun onFailure(call: Call, e: IOException) =
                    continuation.resume(Answer.CallFailed(!sendState.isSent, e.shortReason()))
            },
        )
    }

    private fun parseResponse(response: Response): Answer = try {
        response.use { Answer.parse(it.code, it.body.string()) }
    } catch (e: IOException) {
        Answer.CallFailed(isUnsent = false, e.shortReason())
    }

    private fun IOException.shortReason() = if (this is InterruptedIOException) "timeout" else javaClass.simpleName

    private companion object {
        val JSON_TYPE = "application/json".toMediaType()

        /** Maximum number of concurrent calls. Each one occupies an OkHttp thread until its response arrives. */
        const val MAX_CALLS = 4_096
        const val MAX_IDLE_CONNECTIONS = 4_096

        /** Shorter than the servers' idle timeout, so that a request is rarely sent on a connection that the server is closing. */
        const val KEEP_ALIVE_SECONDS = 5L
        const val CONNECT_TIMEOUT_MS = 1_000L
    }
}
