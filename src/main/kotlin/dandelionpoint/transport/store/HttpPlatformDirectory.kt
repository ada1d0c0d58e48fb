/* Client of the platform's lists of VMs and workers. Entries that cannot be read or used are left out; the others hold. */
package dandelionpoint.transport.store

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import dandelionpoint.protocol.jsonArrayElements
import dandelionpoint.protocol.store.PlatformApi
import dandelionpoint.protocol.store.PlatformDirectory
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.protocol.store.VmEntry
import dandelionpoint.protocol.store.WorkerUsage
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.SerializationException
import okhttp3.HttpUrl

private val log = KotlinLogging.logger {}

/** [PlatformDirectory] over HTTP. Sends each call at most once. */
class HttpPlatformDirectory(private val client: PlatformClient) : PlatformDirectory {
    /** Number of entries that the last answers of each path left out, to log changes only. */
    private val ignoredEntries = HashMap<String, Int>()

    override suspend fun vms(): Either<StoreError, List<VmEntry>> = entries<VmEntry>(PlatformApi.VMS) { it.isUsable() }

    override suspend fun usage(): Either<StoreError, List<WorkerUsage>> =
        entries<WorkerUsage>(PlatformApi.WORKERS) { it.busySlots in SLOTS && it.queued >= 0 && it.ageMs >= 0 }

    private suspend inline fun <reified T> entries(path: String, isUsable: (T) -> Boolean): Either<StoreError, List<T>> =
        client.read(path).flatMap { response ->
            val elements = jsonArrayElements(response.body.decodeToString())
                ?: return@flatMap StoreError.NotApplied("response is not a JSON array").left()
            val entries = elements.mapNotNull { decodeEntry<T>(it) }.filter(isUsable)
            logIgnored(path, elements.size - entries.size)
            entries.right()
        }

    private inline fun <reified T> decodeEntry(element: String): T? = try {
        PLATFORM_JSON.decodeFromString<T>(element)
    } catch (_: SerializationException) {
        null
    }

    private fun logIgnored(path: String, count: Int) {
        val last = synchronized(ignoredEntries) { ignoredEntries.put(path, count) } ?: 0
        if (count != last) log.warn { "event=directory_entries_ignored path=$path count=$count" }
    }

    private fun VmEntry.isUsable(): Boolean =
        id.isNotBlank() && isAddress(host, port) && slots in SLOTS && memoryMb >= 0 && accelerators in SLOTS

    /** True if requests can be sent to [host] and [port]. */
    private fun isAddress(host: String, port: Int): Boolean = try {
        HttpUrl.Builder().scheme("http").host(host).port(port)
        true
    } catch (_: IllegalArgumentException) {
        false
    }

    private companion object {
        /** Numbers of slots of a worker that are accepted. */
        val SLOTS = 0..65_536
    }
}
