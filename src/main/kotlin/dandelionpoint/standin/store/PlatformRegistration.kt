package dandelionpoint.standin.store

import dandelionpoint.protocol.store.PlatformApi
import dandelionpoint.protocol.store.VmEntry
import dandelionpoint.protocol.store.WorkerUsage
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.net.Proxy
import java.util.concurrent.TimeUnit

private val log = KotlinLogging.logger {}

/** Registers VMs with the platform stand-in at [platformUrl] and reports the usage of workers. Only the stand-in has these calls. */
internal class PlatformRegistration(private val platformUrl: String) : AutoCloseable {
    private val client =
        OkHttpClient
            .Builder()
            .proxy(Proxy.NO_PROXY)
            .callTimeout(TIMEOUT_MS, TimeUnit.MILLISECONDS)
            .build()

    /** Registers [vm]; throws [IOException] if the platform stand-in does not accept it. */
    fun register(vm: VmEntry) {
        val status = put("${PlatformApi.VMS}/${vm.id}", Json.encodeToString(vm))
        if (status !in SUCCESS) throw IOException("the platform stand-in answered status $status to the registration of ${vm.id}")
    }

    /** Reports [usage]. A failed report is logged and not repeated, because the next one replaces it. */
    fun report(usage: List<WorkerUsage>) {
        try {
            put(PlatformApi.WORKERS, Json.encodeToString(usage))
        } catch (e: IOException) {
            log.warn { "usage report failed: ${e.message}" }
        }
    }

    override fun close() {
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private fun put(path: String, body: String): Int {
        val request = Request.Builder().url(platformUrl.trimEnd('/') + path).put(body.toRequestBody(JSON_TYPE)).build()
        return client.newCall(request).execute().use { it.code }
    }

    private companion object {
        val JSON_TYPE = "application/json".toMediaType()
        val SUCCESS = 200..299
        const val TIMEOUT_MS = 5_000L
    }
}
