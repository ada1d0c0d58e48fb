/* Client of the HTTP API. Each call is sent once; its outcome states whether the server may have executed it. */
package dandelionpoint.cli

import okhttp3.Call
import okhttp3.EventListener
import okhttp3.HttpUrl
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.time.Duration
import java.util.concurrent.atomic.AtomicBoolean

/** Outcome of a call. */
internal sealed interface ApiOutcome {
    /** The server sent a complete response. */
    data class Answered(val status: Int, val body: String) : ApiOutcome

    /** The call had no effect: there was no connection, or the call was a GET whose response was lost. */
    data class NotExecuted(val reason: String) : ApiOutcome

    /** The call was sent, but its response was lost, so the server may have executed it. */
    data class Unknown(val reason: String) : ApiOutcome
}

/** A call of the API. Each element of [path] is encoded by itself, so that a name with a slash cannot address another route. */
internal data class ApiCall(
    val method: String,
    val path: List<String>,
    val query: Map<String, String> = emptyMap(),
    val body: String? = null,
)

/** Blocking client of the API at [server]. [token] is sent as bearer token. */
internal class ApiClient(private val server: HttpUrl, private val token: String?) {
    fun send(call: ApiCall): ApiOutcome {
        val sent = AtomicBoolean()
        return try {
            client(sent).newCall(request(call)).execute().use { response ->
                val source = response.body.source()
                source.request(MAX_ANSWER_BYTES)
                ApiOutcome.Answered(response.code, source.buffer.readUtf8())
            }
        } catch (failure: IOException) {
            val reason = failure.message ?: failure.javaClass.simpleName
            if (sent.get() && call.method != "GET") ApiOutcome.Unknown(reason) else ApiOutcome.NotExecuted(reason)
        }
    }

    /** Returns a client that sets [sent] when it begins to write the request. It neither retries calls nor follows redirects. */
    private fun client(sent: AtomicBoolean): OkHttpClient = OkHttpClient
        .Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .connectTimeout(CONNECT_TIMEOUT)
        .readTimeout(READ_TIMEOUT)
        .eventListener(
            object : EventListener() {
                override fun requestHeadersStart(call: Call) = sent.set(true)
            },
        ).build()

    private fun request(call: ApiCall): Request {
        val url = server.newBuilder()
        call.path.forEach { url.addPathSegment(it) }
        call.query.forEach { (name, value) -> url.addQueryParameter(name, value) }
        val request = Request.Builder().url(url.build())
        if (token != null) request.header("Authorization", "Bearer $token")
        val body = call.body ?: "".takeIf { call.method in setOf("POST", "PUT") }
        return request.method(call.method, body?.toRequestBody(JSON)).build()
    }

    private companion object {
        val JSON = "application/json".toMediaType()
        val CONNECT_TIMEOUT: Duration = Duration.ofSeconds(5)

        /** Longer than the longest `waitMs` that the server accepts, 60 s. */
        val READ_TIMEOUT: Duration = Duration.ofSeconds(75)

        /** Fits the results of a job of 1,200 tasks with 64 KiB each. The rest of a longer response is not read. */
        const val MAX_ANSWER_BYTES = 80L * 1024 * 1024
    }
}
