/* The platform's lists of VMs and workers. Both lag behind the actual state. */
package dandelionpoint.protocol.store

import arrow.core.Either
import kotlinx.serialization.Serializable

/** State of a VM in the platform's list. */
@Serializable
enum class VmState { LIVE, LEAVING }

/** Role of a VM in the platform's list. */
@Serializable
enum class VmRole { ENTRY, WORKER }

/**
 * A VM in the platform's list. [host] and [port] are the worker's HTTP address, or an entry VM's peer address. [slots],
 * [memoryMb] and [accelerators] are set for workers.
 */
@Serializable
data class VmEntry(
    val id: String,
    val role: VmRole,
    val state: VmState = VmState.LIVE,
    val region: String,
    val dataCentre: String,
    val rack: String = "",
    val host: String,
    val port: Int,
    val slots: Int = 0,
    val memoryMb: Int = 0,
    val accelerators: Int = 0,
)

/** Usage report of a worker: [busySlots] and the number of [queued] tasks as they were [ageMs] ago. */
@Serializable
data class WorkerUsage(val id: String, val busySlots: Int, val queued: Int, val ageMs: Long)

/** Client of the platform's lists. */
interface PlatformDirectory {
    /** Reads the list of entry VMs and workers. */
    suspend fun vms(): Either<StoreError, List<VmEntry>>

    /** Reads the usage reports of the workers. */
    suspend fun usage(): Either<StoreError, List<WorkerUsage>>
}
