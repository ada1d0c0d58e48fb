/* Calls the stand-ins' control interfaces and reads the entry VMs' metrics. */
package dandelionpoint.load

import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.net.Proxy
import java.util.concurrent.TimeUnit

/** A worker as listed by the upstream stand-in. */
@Serializable
internal data class UpstreamWorker(val profile: Profile, val busySlots: Int = 0, val queued: Int = 0) {
    @Serializable
    data class Profile(val id: String, val slots: Int, val speed: Double, val dataCentre: String = "", val rack: String = "")
}

/** Task starts that the upstream recorded: in total, of distinct keys, and beyond the first of a key. */
@Serializable
internal data class UpstreamStarts(val total: Long, val distinct: Long, val duplicates: Long)

/** Reads and writes of the platform's table and object stores, by the first part of the key. */
@Serializable
internal data class PlatformUsage(val table: Store, val objects: Store) {
    @Serializable
    data class Store(val reads: Map<String, Long> = emptyMap(), val writes: Map<String, Long> = emptyMap())

    operator fun minus(earlier: PlatformUsage) = PlatformUsage(table.minus(earlier.table), objects.minus(earlier.objects))

    private fun Store.minus(earlier: Store) = Store(reads.minus(earlier.reads), writes.minus(earlier.writes))

    private fun Map<String, Long>.minus(earlier: Map<String, Long>) = mapValues { (key, count) -> count - (earlier[key] ?: 0) }
}

/** Blocking client of the stand-ins' control interfaces. Unless stated otherwise, functions throw [IOException] if a call fails. */
internal class StandInClient : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val client =
        OkHttpClient
            .Builder()
            .proxy(Proxy.NO_PROXY)
            .callTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .build()

    /** Lists the workers of the upstream stand-in whose control interface is at the base URL [upstream]. */
    fun workers(upstream: String): List<UpstreamWorker> = json.decodeFromString(get("$upstream/workers"))

    fun starts(upstream: String): UpstreamStarts = json.decodeFromString(get("$upstream/starts"))

    /** Number of starts of each of [keys]. */
    fun startsOf(upstream: String, keys: List<String>): Map<String, Int> =
        json.decodeFromString(post("$upstream/starts/query", json.encodeToString(keys)))

    fun platformUsage(platform: String): PlatformUsage = json.decodeFromString(get("$platform/stats"))

    /** Prometheus scrape of an entry VM, or null if the VM does not answer, for example while it restarts. */
    fun metrics(entry: EntryAddress): String? = try {
        get("http://$entry/metrics")
    } catch (_: IOException) {
        null
    }

    /** Posts [body] as JSON and returns the response body. */
    fun post(url: String, body: String): String = send(Request.Builder().url(url).post(body.toRequestBody(JSON_TYPE)).build())

    override fun close() {
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private fun get(url: String): String = send(Request.Builder().url(url).build())

    private fun send(request: Request): String = client.newCall(request).execute().use { response ->
        if (!response.isSuccessful) throw IOException("${request.url} answered status ${response.code}")
        response.body.string()
    }

    private companion object {
        val JSON_TYPE = "application/json".toMediaType()
        const val TIMEOUT_SECONDS = 60L
    }
}
