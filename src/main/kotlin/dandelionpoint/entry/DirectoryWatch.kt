/* Reads the platform's lists and passes them on. A list that cannot be read leaves the last one in use. */
package dandelionpoint.entry

import dandelionpoint.coordination.placement.Placement
import dandelionpoint.protocol.store.PlatformDirectory
import dandelionpoint.protocol.store.VmRole
import dandelionpoint.transport.peer.PeerAddress

/** Watches the lists of VMs and usage. [onPeers] gets the addresses of the entry VMs in the list. */
internal class DirectoryWatch(
    private val directory: PlatformDirectory,
    private val placement: Placement,
    private val onPeers: (Set<PeerAddress>) -> Unit,
) {
    /** Reads both lists once. */
    suspend fun refresh() {
        directory.vms().onRight { vms ->
            placement.updateWorkers(vms.filter { it.role == VmRole.WORKER })
            onPeers(vms.filter { it.role == VmRole.ENTRY }.map { PeerAddress(it.host, it.port) }.toSet())
        }
        directory.usage().onRight { placement.updateUsage(it) }
    }
}
