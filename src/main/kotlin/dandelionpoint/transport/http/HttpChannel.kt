/*
 * Sends HTTP requests with OkHttp, each exactly once: no retry, no redirect, no proxy, HTTP/1.1. A call in flight occupies a thread of
 * the dispatcher's pool, because OkHttp reads responses with blocking I/O; pooled threads are reused and their number is bounded by
 * [CallThreads]. The caller's coroutine only suspends.
 */
package dandelionpoint.transport.http

import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.ConnectionSpec
import okhttp3.Dispatcher
import okhttp3.MediaType
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.Response
import okio.BufferedSink
import java.io.IOException
import java.net.Proxy
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume

/**
 * Limits of a channel. [connectTimeoutMs] limits the connection attempt, [keepAliveMs] how long an idle connection is kept,
 * [maxIdleConnections] their number, [maxBodyBytes] a response's body. A channel that [isCleartext] cannot use TLS; it is made without
 * loading the security providers and the trust store, which takes longer than anything else in the start of a small VM.
 *
 * A request that is written to a connection just as the server closes it has an unknown outcome. The keep-alive is therefore short, 2 s,
 * against 60 s or more on the servers, so that the client closes idle connections first.
 */
internal data class HttpChannelSettings(
    val connectTimeoutMs: Long = 500,
    val keepAliveMs: Long = 2_000,
    val maxIdleConnections: Int = 64,
    val maxBodyBytes: Long = 4L * 1024 * 1024,
    val isCleartext: Boolean = false,
)

/** Threads for calls in flight, at most [maxCalls], shared by channels. Further calls wait, within their timeouts. */
internal class CallThreads(maxCalls: Int) : AutoCloseable {
    private val executor =
        ThreadPoolExecutor(0, Int.MAX_VALUE, THREAD_IDLE_S, TimeUnit.SECONDS, SynchronousQueue()) { task ->
            Thread(null, task, "http-call", THREAD_STACK_BYTES).apply { isDaemon = true }
        }

    /** OkHttp's queue of calls. */
    val dispatcher =
        Dispatcher(executor).apply {
            maxRequests = maxCalls
            // OkHttp counts by host name without port, so that workers on one host would share this limit.
            maxRequestsPerHost = maxCalls
        }

    override fun close() {
        dispatcher.cancelAll()
        executor.shutdown()
    }

    private companion object {
        const val THREAD_IDLE_S = 30L
        const val THREAD_STACK_BYTES = 256L * 1024
    }
}

/**
 * Sends requests and reports how each exchange ended. The channel does not close [threads]. It should serve one host: OkHttp looks for a
 * free connection by comparing every connection of the pool.
 */
internal class HttpChannel(private val settings: HttpChannelSettings, private val threads: CallThreads) : AutoCloseable {
    private val client = buildClient()

    /** Sends [request] once and waits at most [timeoutMs] for the whole response. Cancelling the coroutine cancels the exchange. */
    suspend fun send(request: Request, timeoutMs: Long): HttpOutcome {
        val gate = WriteGate()
        val tagged = request.newBuilder().tag(WriteGate::class.java, gate).build()
        val outcome = withTimeoutOrNull(timeoutMs) { sendOverLiveConnection(tagged, gate) }
        return outcome ?: withoutAnswer(gate, "no answer within $timeoutMs ms")
    }

    /** Closes idle connections. Calls in flight go on. */
    override fun close() = client.connectionPool.evictAll()

    /** Each stale connection is closed when it is found, so that the rounds are limited by the size of the pool. */
    private suspend fun sendOverLiveConnection(request: Request, gate: WriteGate): HttpOutcome {
        while (true) {
            client.newCall(request).await(gate)?.let { return it }
        }
    }

    /** Returns null if the call met a stale connection. */
    private suspend fun Call.await(gate: WriteGate): HttpOutcome? = suspendCancellableCoroutine { continuation ->
        continuation.invokeOnCancellation { cancel() }
        enqueue(
            object : Callback {
                override fun onFailure(call: Call, e: IOException) =
                    continuation.resume(if (e is StaleConnectionException) null else withoutAnswer(gate, e.describe()))

                override fun onResponse(call: Call, response: Response) = continuation.resume(response.use { readWhole(it) })
            },
        )
    }

    private fun withoutAnswer(gate: WriteGate, reason: String): HttpOutcome =
        if (gate.tryAbandon()) HttpOutcome.NotWritten(reason, gate.connecting) else HttpOutcome.Lost(reason)

    private fun readWhole(response: Response): HttpOutcome = try {
        val body = response.body
        when {
            !response.hasDeclaredEnd() -> HttpOutcome.Lost("response without a declared end", response.code)

            body.contentLength() > settings.maxBodyBytes || body.source().request(settings.maxBodyBytes + 1) ->
                HttpOutcome.Lost("response body above ${settings.maxBodyBytes} bytes", response.code)

            else -> HttpOutcome.Answer(response.code, body.bytes())
        }
    } catch (e: IOException) {
        HttpOutcome.Lost(e.describe(), response.code)
    }

    private fun buildClient(): OkHttpClient = OkHttpClient
        .Builder()
        .protocols(listOf(Protocol.HTTP_1_1))
        .proxy(Proxy.NO_PROXY)
        .retryOnConnectionFailure(false)
        .fastFallback(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .socketFactory(ChannelSocketFactory)
        .addNetworkInterceptor(StaleConnectionCheck)
        .connectTimeout(settings.connectTimeoutMs, TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.MILLISECONDS) // The whole exchange has one timeout, in send.
        .writeTimeout(0, TimeUnit.MILLISECONDS)
        .connectionPool(ConnectionPool(settings.maxIdleConnections, settings.keepAliveMs, TimeUnit.MILLISECONDS))
        .dispatcher(threads.dispatcher)
        .apply { if (settings.isCleartext) connectionSpecs(listOf(ConnectionSpec.CLEARTEXT)) }
        .eventListenerFactory { call -> WriteGateListener(checkNotNull(call.request().tag(WriteGate::class.java))) }
        .build()
}

/**
 * A request body that OkHttp sends at most once. For a body that can be repeated, OkHttp sends the request again by itself after a 503
 * with `Retry-After: 0`, whatever `retryOnConnectionFailure` says.
 */
internal class OneShotBody(private val bytes: ByteArray, private val type: MediaType) : RequestBody() {
    override fun contentType() = type

    override fun contentLength() = bytes.size.toLong()

    override fun isOneShot() = true

    override fun writeTo(sink: BufferedSink) {
        sink.write(bytes)
    }
}

/** False for a body that ends with the connection: then a truncated body looks like a whole one. */
private fun Response.hasDeclaredEnd(): Boolean =
    header("Content-Length") != null || header("Transfer-Encoding").equals("chunked", ignoreCase = true) || code in BODILESS

private fun IOException.describe(): String = "${this::class.simpleName}: $message"

/** Statuses whose responses have no body. */
private val BODILESS = setOf(204, 304)
