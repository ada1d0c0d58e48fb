/* Polls the platform's lists and passes them on. If a list cannot be read, the last one stays in use. */
package dandelionpoint.entry

import dandelionpoint.coordination.placement.Placement
import dandelionpoint.protocol.store.PlatformDirectory
import dandelionpoint.protocol.store.VmRole
import dandelionpoint.transport.peer.PeerAddress

/** Polls the lists of VMs and of worker usage. [onPeers] is called with the addresses of all entry VMs in the list. */
internal class DirectoryPoller(
    private val directory: PlatformDirectory,
    private val placement: Placement,
    private val onPeers: (Set<PeerAddress>) -> Unit,
) {
    /** Reads both lists once and updates the placement. */
    suspend fun refresh() {
        directory.vms().onRight { vms ->
            placement.updateWorkers(vms.filter { it.role == VmRole.WORKER })
            onPeers(vms.filter { it.role == VmRole.ENTRY }.map { PeerAddress(it.host, it.port) }.toSet())
        }
        directory.usage().onRight { placement.updateUsage(it) }
    }
}
