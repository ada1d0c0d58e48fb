/*
 * Sends HTTP/1.1 requests with OkHttp, each at most once: no retry, no redirect, no proxy. A call in flight occupies a thread of the
 * pool in [CallThreads], because OkHttp reads responses with blocking I/O. Pooled threads are reused and their number is bounded. The
 * caller's coroutine only suspends.
 */
package dandelionpoint.transport.http

import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import okhttp3.Call
import okhttp3.ConnectionPool
import okhttp3.ConnectionSpec
import okhttp3.Dispatcher
import okhttp3.MediaType
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.Response
import okhttp3.ResponseBody
import okio.BufferedSink
import java.io.IOException
import java.net.Proxy
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume

/**
 * Limits of a channel. [connectTimeoutMs] limits a connection attempt, [keepAliveMs] the time for which an idle connection is kept,
 * [maxIdleConnections] the number of idle connections, [maxBodyBytes] the body of a response. A channel that [isCleartext] cannot use
 * TLS. It is created without loading the security providers and the trust store, which is the slowest step in the start of a small VM.
 *
 * A request that is written to a connection just as the server closes it has an unknown outcome. The default keep-alive is
 * therefore short (2 s; servers use 60 s or more), so that the client closes idle connections first.
 */
internal data class HttpChannelSettings(
    val connectTimeoutMs: Long = 500,
    val keepAliveMs: Long = 2_000,
    val maxIdleConnections: Int = 64,
    val maxBodyBytes: Long = 4L * 1024 * 1024,
    val isCleartext: Boolean = false,
)

/**
 * Thread pool for calls in flight, at most [maxCalls], shared by channels. Further calls are queued, within their timeouts. OkHttp's own
 * queue of calls is not used: it renames a thread for each call and searches the calls in flight twice.
 */
internal class CallThreads(private val maxCalls: Int) : AutoCloseable {
    private val executor =
        ThreadPoolExecutor(0, Int.MAX_VALUE, THREAD_IDLE_S, TimeUnit.SECONDS, SynchronousQueue()) { task ->
            Thread(null, task, "http-call", THREAD_STACK_BYTES).apply { isDaemon = true }
        }
    private val queued = ArrayDeque<Runnable>()
    private var inFlight = 0

    /** Registers the calls in flight, so that [close] can cancel them. */
    val dispatcher = Dispatcher(executor)

    /** Runs [call], which may not throw, on a thread of the pool. Throws RejectedExecutionException if the pool is closed. */
    fun execute(call: Runnable) {
        if (startOrQueue(call)) executor.execute { runWithQueued(call) }
    }

    private fun startOrQueue(call: Runnable): Boolean = synchronized(queued) {
        (inFlight < maxCalls).also { isStarted -> if (isStarted) inFlight++ else queued.addLast(call) }
    }

    private fun runWithQueued(first: Runnable) {
        var next: Runnable? = first
        while (next != null) {
            next.run()
            next = takeQueued()
        }
    }

    /** The call that waits longest. If there is none, the caller's thread has no call in flight any more. */
    private fun takeQueued(): Runnable? = synchronized(queued) {
        queued.removeFirstOrNull().also { if (it == null) inFlight-- }
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
 * Sends requests and reports how each exchange ended. The channel does not close [threads]. It should be used for one host only, because
 * OkHttp finds a free connection by a linear search through the pool.
 */
internal class HttpChannel(private val settings: HttpChannelSettings, private val threads: CallThreads) : AutoCloseable {
    private val client = buildClient()

    /**
     * Sends [request] at most once, on a connection that passes [check], and waits up to [timeoutMs] for its response. Cancelling the
     * coroutine cancels the exchange.
     */
    suspend fun send(request: Request.Builder, timeoutMs: Long, check: ConnectionCheck? = null): HttpOutcome {
        val gate = WriteGate()
        val tagged = request.tag(WriteGate::class.java, gate).tag(ConnectionCheck::class.java, check).build()
        val outcome = withTimeoutOrNull(timeoutMs) { sendOverLiveConnection(tagged, gate) }
        return outcome ?: lostOrNotWritten(gate, "no answer within $timeoutMs ms")
    }

    /** Closes idle connections. Calls in flight go on. */
    override fun close() = client.connectionPool.evictAll()

    /**
     * Repeats the call while it gets a stale connection, or one that had to be probed and has passed. Each stale connection is closed and
     * none is probed twice, so that the number of connections limits the repetitions.
     */
    private suspend fun sendOverLiveConnection(request: Request, gate: WriteGate): HttpOutcome {
        while (true) {
            client.newCall(request).await(gate)?.let { return it }
        }
    }

    /** Returns null if the call got a stale connection or one that had to be probed; nothing of the request was written then. */
    private suspend fun Call.await(gate: WriteGate): HttpOutcome? = suspendCancellableCoroutine { continuation ->
        continuation.invokeOnCancellation { cancel() }
        try {
            threads.execute { continuation.resume(runCatching { exchange(this, gate) }.getOrElse { lostOrNotWritten(gate, "$it") }) }
        } catch (e: RejectedExecutionException) {
            continuation.resume(lostOrNotWritten(gate, "the client is closed: ${e.message}"))
        }
    }

    /** Sends [call] and reads its response on this thread. Returns null if the call is to be repeated. */
    private fun exchange(call: Call, gate: WriteGate): HttpOutcome? = try {
        val outcome = call.execute().use { readComplete(it, gate) }
        if (gate.isProbe) afterProbe(call, outcome) else outcome
    } catch (_: StaleConnectionException) {
        null
    } catch (e: IOException) {
        lostOrNotWritten(gate, e.describe())
    }

    private fun afterProbe(call: Call, outcome: HttpOutcome): HttpOutcome? {
        if (outcome !is HttpOutcome.Answer) {
            return HttpOutcome.NotWritten(
                "the connection could not be probed: $outcome",
                unreachable = false,
            )
        }
        val hasPassed = checkNotNull(call.request().tag(ConnectionCheck::class.java)).onProbed(outcome)
        return if (hasPassed) null else HttpOutcome.NotWritten("the connection has not passed its probe", unreachable = false)
    }

    private fun lostOrNotWritten(gate: WriteGate, reason: String): HttpOutcome =
        if (gate.tryAbandon()) HttpOutcome.NotWritten(reason, gate.connecting) else HttpOutcome.Lost(reason)

    private fun readComplete(response: Response, gate: WriteGate): HttpOutcome = try {
        val body = response.body
        when {
            !response.hasDelimitedBody() -> HttpOutcome.Lost("response body without Content-Length or chunked encoding", response.code)

            body.isLongerThan(settings.maxBodyBytes) ->
                HttpOutcome.Lost("response body above ${settings.maxBodyBytes} bytes", response.code)

            else -> HttpOutcome.Answer(response.code, body.bytes(), gate.connection)
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
        .addNetworkInterceptor(ConnectionCheckInterceptor)
        .connectTimeout(settings.connectTimeoutMs, TimeUnit.MILLISECONDS)
        .readTimeout(0, TimeUnit.MILLISECONDS) // `send` limits the whole exchange.
        .writeTimeout(0, TimeUnit.MILLISECONDS)
        .connectionPool(ConnectionPool(settings.maxIdleConnections, settings.keepAliveMs, TimeUnit.MILLISECONDS))
        .dispatcher(threads.dispatcher)
        .apply { if (settings.isCleartext) connectionSpecs(listOf(ConnectionSpec.CLEARTEXT)) }
        .eventListenerFactory { call -> WriteGateListener(checkNotNull(call.request().tag(WriteGate::class.java))) }
        .build()
}

/**
 * A request body that OkHttp sends at most once. If the body is repeatable, OkHttp resends the request after a 503 with `Retry-After: 0`,
 * even if `retryOnConnectionFailure` is false.
 */
internal class OneShotBody(private val bytes: ByteArray, private val type: MediaType) : RequestBody() {
    override fun contentType() = type

    override fun contentLength() = bytes.size.toLong()

    override fun isOneShot() = true

    override fun writeTo(sink: BufferedSink) {
        sink.write(bytes)
    }
}

/** Reads a body of unknown length up to [maxBytes] to find out. */
private fun ResponseBody.isLongerThan(maxBytes: Long): Boolean =
    if (contentLength() >= 0) contentLength() > maxBytes else source().request(maxBytes + 1)

/** False for a body that is ended by closing the connection, because a truncated body cannot be distinguished from a complete one. */
private fun Response.hasDelimitedBody(): Boolean =
    header("Content-Length") != null || header("Transfer-Encoding").equals("chunked", ignoreCase = true) || code in BODYLESS_STATUSES

private fun IOException.describe(): String = "${this::class.simpleName}: $message"

/** Statuses whose responses never have a body. */
private val BODYLESS_STATUSES = setOf(204, 304)
