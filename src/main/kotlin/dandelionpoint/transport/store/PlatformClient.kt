/* Shared by the HTTP clients of the platform: settings, requests, and which errors mean "not applied" and which "outcome unknown". */
package dandelionpoint.transport.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dandelionpoint.protocol.store.PlatformApi
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.transport.http.CallThreads
import dandelionpoint.transport.http.HttpChannel
import dandelionpoint.transport.http.HttpChannelSettings
import dandelionpoint.transport.http.HttpOutcome
import dandelionpoint.transport.http.OneShotBody
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request

/**
 * Settings of the platform's clients. [baseUrl] is an address such as `http://10.0.0.1:8080`, [dataCentre] that of this process.
 * [timeoutMs] limits a whole call, [connectTimeoutMs] a connection attempt, [maxCalls] the calls in flight, [maxBodyBytes] a response.
 */
data class PlatformClientSettings(
    val baseUrl: String,
    val dataCentre: String = "",
    val timeoutMs: Long = 1_000,
    val connectTimeoutMs: Long = 500,
    val maxCalls: Int = 64,
    val maxBodyBytes: Long = 8L * 1024 * 1024,
)

/** One connection pool to the platform, shared by [HttpTable], [HttpObjectStore] and [HttpPlatformDirectory]. */
class PlatformClient(private val settings: PlatformClientSettings) : AutoCloseable {
    private val base = settings.baseUrl.toHttpUrl()
    private val threads = CallThreads(settings.maxCalls)
    private val channel =
        HttpChannel(
            HttpChannelSettings(
                connectTimeoutMs = settings.connectTimeoutMs,
                maxIdleConnections = settings.maxCalls,
                maxBodyBytes = settings.maxBodyBytes,
            ),
            threads,
        )

    /** Reads [path]. A read has no effect, so every error is [StoreError.NotApplied]. Statuses other than 2xx or [accepted] are errors. */
    internal suspend fun read(
        path: String,
        query: Map<String, String> = emptyMap(),
        vararg accepted: Int,
    ): Either<StoreError, PlatformResponse> {
        val answer = channel.send(request(url(path, query)).get(), settings.timeoutMs)
        return when (answer) {
            is HttpOutcome.Answer -> answer.ifAccepted(accepted) { StoreError.NotApplied(it) }
            is HttpOutcome.NotWritten -> StoreError.NotApplied(answer.reason).left()
            is HttpOutcome.Lost -> StoreError.NotApplied(answer.reason).left()
        }
    }

    /** Sends a change. The statuses 4xx and 503 mean that the platform refused it before any effect: [StoreError.NotApplied]. */
    internal suspend fun change(method: String, path: String, body: ByteArray, type: String): Either<StoreError, PlatformResponse> {
        val request = request(url(path, emptyMap())).method(method, OneShotBody(body, type.toMediaType()))
        return when (val answer = channel.send(request, settings.timeoutMs)) {
            is HttpOutcome.Answer -> answer.ifAccepted(intArrayOf()) { changeError(answer.status, it) }
            is HttpOutcome.NotWritten -> StoreError.NotApplied(answer.reason).left()
            is HttpOutcome.Lost -> lostChangeError(answer).left()
        }
    }

    override fun close() {
        threads.close()
        channel.close()
    }

    private fun lostChangeError(answer: HttpOutcome.Lost): StoreError =
        answer.status?.let { changeError(it, answer.reason) } ?: StoreError.OutcomeUnknown(answer.reason)

    private fun changeError(status: Int, reason: String): StoreError =
        if (status in CLIENT_ERRORS || status == SERVICE_UNAVAILABLE) StoreError.NotApplied(reason) else StoreError.OutcomeUnknown(reason)

    private fun HttpOutcome.Answer.ifAccepted(accepted: IntArray, error: (String) -> StoreError): Either<StoreError, PlatformResponse> =
        if (status in SUCCESS || status in accepted) {
            PlatformResponse(status, body).right()
        } else {
            error("the platform answered status $status").left()
        }

    private fun url(path: String, query: Map<String, String>): HttpUrl {
        val builder = base.newBuilder()
        path.trim('/').split('/').forEach { builder.addPathSegment(it) }
        query.forEach { (name, value) -> builder.addQueryParameter(name, value) }
        return builder.build()
    }

    private fun request(url: HttpUrl): Request.Builder = Request
        .Builder()
        .url(url)
        .header("Accept-Encoding", "identity")
        .header(PlatformApi.DATA_CENTRE_HEADER, settings.dataCentre)

    internal companion object {
        const val JSON = "application/json"
        const val NOT_FOUND = 404
        private const val SERVICE_UNAVAILABLE = 503
        private val SUCCESS = 200..299
        private val CLIENT_ERRORS = 400..499
    }
}

/** A complete response of the platform. */
internal class PlatformResponse(val status: Int, val body: ByteArray)

/** Decodes the response; [error] creates the error if it cannot be decoded. */
internal inline fun <reified T> PlatformResponse.decode(error: (String) -> StoreError): Either<StoreError, T> = try {
    PLATFORM_JSON.decodeFromString<T>(body.decodeToString()).right()
} catch (e: SerializationException) {
    error("response cannot be decoded: ${e.message?.lineSequence()?.firstOrNull()}").left()
}

@PublishedApi
internal val PLATFORM_JSON = Json { ignoreUnknownKeys = true }
