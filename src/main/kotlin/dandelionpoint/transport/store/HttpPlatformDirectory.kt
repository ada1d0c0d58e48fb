/* Client of the platform's lists of VMs and workers. */
package dandelionpoint.transport.store

import arrow.core.Either
import arrow.core.flatMap
import dandelionpoint.protocol.store.PlatformApi
import dandelionpoint.protocol.store.PlatformDirectory
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.protocol.store.VmEntry
import dandelionpoint.protocol.store.WorkerUsage

/** [PlatformDirectory] over HTTP. Sends each call at most once. */
class HttpPlatformDirectory(private val client: PlatformClient) : PlatformDirectory {
    override suspend fun vms(): Either<StoreError, List<VmEntry>> =
        client.read(PlatformApi.VMS).flatMap { it.decode<List<VmEntry>>(StoreError::NotApplied) }

    override suspend fun usage(): Either<StoreError, List<WorkerUsage>> =
        client.read(PlatformApi.WORKERS).flatMap { it.decode<List<WorkerUsage>>(StoreError::NotApplied) }
}
