/*
 * Calls to workers over HTTP. Each call is sent at most once. Only three outcomes prove that the task did not start: no connection, no
 * byte of the request written, or status 429. Once a byte may have been written, every call without a complete response is unknown.
 */
package dandelionpoint.transport.worker

import dandelionpoint.protocol.store.PlatformApi
import dandelionpoint.protocol.worker.CallOutcome
import dandelionpoint.protocol.worker.WorkerAddress
import dandelionpoint.protocol.worker.WorkerCall
import dandelionpoint.protocol.worker.WorkerClient
import dandelionpoint.transport.http.CallThreads
import dandelionpoint.transport.http.HttpChannel
import dandelionpoint.transport.http.HttpChannelSettings
import dandelionpoint.transport.http.HttpOutcome
import dandelionpoint.transport.http.OneShotBody
import okhttp3.HttpUrl
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/**
 * Settings of the worker client. [dataCentre] is that of this process. [connectionsPerWorker] is the connection limit of each worker.
 * [maxCalls] limits the calls in flight to all workers, each of which occupies a pooled thread. [keepAliveMs] must be below the
 * workers' idle timeout. [maxBodyBytes] limits a response.
 */
data class WorkerClientSettings(
    val dataCentre: String = "",
    val connectTimeoutMs: Long = 500,
    val keepAliveMs: Long = 2_000,
    val connectionsPerWorker: Int = 64,
    val maxCalls: Int = 1_024,
    val maxBodyBytes: Long = 4L * 1024 * 1024,
)

/** [WorkerClient] over HTTP: `POST /run` with the payload as the body. */
class HttpWorkerClient(private val settings: WorkerClientSettings = WorkerClientSettings()) :
    WorkerClient,
    AutoCloseable {
    private val threads = CallThreads(settings.maxCalls)
    private val targets = ConcurrentHashMap<WorkerAddress, Target>()

    override suspend fun call(worker: WorkerAddress, call: WorkerCall): CallOutcome {
        val target = target(worker)
        if (target.inFlight.incrementAndGet() > settings.connectionsPerWorker) {
            target.inFlight.decrementAndGet()
            return CallOutcome.NotStarted("${settings.connectionsPerWorker} calls to the worker are in flight", unreachable = false)
        }
        try {
            return target.channel.send(request(target.url, call), call.timeoutMs).toCallOutcome()
        } finally {
            target.inFlight.decrementAndGet()
        }
    }

    override fun close() {
        threads.close()
        targets.values.forEach { it.channel.close() }
    }

    private fun target(worker: WorkerAddress): Target {
        if (targets.size >= MAX_TARGETS) targets.values.removeIf { it.inFlight.get() == 0 }
        return targets.computeIfAbsent(worker) { Target(url(it), HttpChannel(channelSettings(), threads)) }
    }

    private fun channelSettings() = HttpChannelSettings(
        connectTimeoutMs = settings.connectTimeoutMs,
        keepAliveMs = settings.keepAliveMs,
        maxIdleConnections = settings.connectionsPerWorker,
        maxBodyBytes = settings.maxBodyBytes,
    )

    private fun url(worker: WorkerAddress): HttpUrl = HttpUrl
        .Builder()
        .scheme("http")
        .host(worker.host)
        .port(worker.port)
        .addPathSegment("run")
        .build()

    private fun request(url: HttpUrl, call: WorkerCall): Request.Builder {
        val request =
            Request
                .Builder()
                .url(url)
                .post(OneShotBody(call.payload.encodeToByteArray(), JSON))
                .header("Accept-Encoding", "identity")
                .header(PlatformApi.DATA_CENTRE_HEADER, settings.dataCentre)
        call.traceParent?.let { request.header("traceparent", it) }
        return request
    }

    /** A worker's connections and the number of calls to it in flight. */
    private class Target(val url: HttpUrl, val channel: HttpChannel) {
        val inFlight = AtomicInteger()
    }

    private companion object {
        val JSON = "application/json".toMediaType()

        /** From this number of workers on, those without calls in flight are evicted. At most 9,800 workers are expected. */
        const val MAX_TARGETS = 16_384
    }
}

private fun HttpOutcome.toCallOutcome(): CallOutcome = when (this) {
    is HttpOutcome.NotWritten -> CallOutcome.NotStarted(reason, unreachable)
    is HttpOutcome.Lost -> if (status == TOO_MANY_REQUESTS) WORKER_FULL else CallOutcome.Unknown(reason)
    is HttpOutcome.Answer -> toCallOutcome()
}

private fun HttpOutcome.Answer.toCallOutcome(): CallOutcome = when (status) {
    TOO_MANY_REQUESTS -> WORKER_FULL
    in SUCCESS -> CallOutcome.Answered(body.decodeToString())
    else -> CallOutcome.Failed(status, body.decodeToString())
}

/** Status of a worker that has no free slot and a full queue; it did not start the task. */
private const val TOO_MANY_REQUESTS = 429
private val SUCCESS = 200..299
private val WORKER_FULL = CallOutcome.NotStarted("the worker is full", unreachable = false)
