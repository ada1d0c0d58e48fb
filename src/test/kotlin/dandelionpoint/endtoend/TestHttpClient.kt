/* The HTTP client of the end-to-end tests. It uses only the public HTTP interface, as a client or an operator does. */
package dandelionpoint.endtoend

import dandelionpoint.protocol.Certainty
import dandelionpoint.protocol.JobSubmission
import dandelionpoint.protocol.JobView
import dandelionpoint.protocol.RequestSubmission
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.SubmissionId
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import okhttp3.Dispatcher
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.net.Proxy
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** The reply to a call about a job. */
internal sealed interface Reply {
    data class Job(val view: JobView) : Reply

    data class Refused(val code: ResultCode) : Reply

    /** The connection failed, or the body was neither a job nor a refusal. */
    data class CallFailed(val reason: String) : Reply
}

/** What the reply says about whether the job ran; null if the job is not final or the call failed. */
internal val Reply.certainty: Certainty?
    get() =
        when (this) {
            is Reply.Job -> view.code.certainty.takeIf { view.state.isFinal }
            is Reply.Refused -> code.certainty
            is Reply.CallFailed -> null
        }

/** True if the refusal says that nothing ran, or advises to submit again under the same id. */
internal val Reply.allowsSameIdResubmission: Boolean
    get() = certainty == Certainty.NOT_RUN ||
        (this is Reply.Refused && code in setOf(ResultCode.FORWARD_LOST, ResultCode.OWNER_UNREACHABLE))

/** Status and body of an HTTP response; if there was none, status 0 and the exception's text. */
internal data class RawReply(val status: Int, val body: String) {
    val isOk: Boolean get() = status in 200..299
}

/** Runs blocking HTTP calls on separate threads, and never retries them, since a retry would hide a failed connection. */
internal class TestHttpClient : AutoCloseable {
    private val client =
        OkHttpClient
            .Builder()
            .proxy(Proxy.NO_PROXY)
            .dispatcher(Dispatcher(Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }))
            .retryOnConnectionFailure(false)
            .connectTimeout(CONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .readTimeout(READ_TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .build()

    suspend fun submit(url: String, submission: JobSubmission, waitMs: Int = 0): Reply =
        jobReply(post("$url/v1/jobs?waitMs=$waitMs", JSON.encodeToString(submission)))

    suspend fun status(url: String, id: SubmissionId, waitMs: Int = 0): Reply = jobReply(get("$url/v1/jobs/$id?waitMs=$waitMs"))

    suspend fun request(url: String, request: RequestSubmission): RawReply = post("$url/v1/requests", JSON.encodeToString(request))

    suspend fun post(url: String, body: String): RawReply =
        send(Request.Builder().url(url).post(body.toRequestBody("application/json".toMediaType())))

    suspend fun put(url: String, body: String): RawReply =
        send(Request.Builder().url(url).put(body.toRequestBody("application/json".toMediaType())))

    suspend fun get(url: String): RawReply = send(Request.Builder().url(url))

    override fun close() {
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private suspend fun send(builder: Request.Builder): RawReply = withContext(CALLS) {
        val request = builder.header("Authorization", "Bearer $OPERATOR_TOKEN").build()
        try {
            client.newCall(request).execute().use { RawReply(it.code, it.body.string()) }
        } catch (e: IOException) {
            RawReply(0, e.toString())
        }
    }

    private fun jobReply(raw: RawReply): Reply = runCatching {
        if (raw.isOk) Reply.Job(JSON.decodeFromString(raw.body)) else Reply.Refused(refusalCode(raw))
    }.getOrElse { Reply.CallFailed("status ${raw.status}: ${raw.body}") }

    companion object {
        const val OPERATOR_TOKEN = "end-to-end-operator-token"
        private const val CONNECT_TIMEOUT_MS = 2_000L
        private const val READ_TIMEOUT_MS = 40_000L
        private const val MAX_CALLS = 512
        private val CALLS = Dispatchers.IO.limitedParallelism(MAX_CALLS)
        val JSON = Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }

        /** The result code of a refusal. */
        fun refusalCode(raw: RawReply): ResultCode = JSON.decodeFromString<RefusalCode>(raw.body).code
    }

    @Serializable
    private data class RefusalCode(val code: ResultCode)
}
