/* What an entry VM uses of its connections to the other entry VMs. */
package dandelionpoint.transport.peer

import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.VmIdentity

/** Address of a peer's port. */
internal data class PeerAddress(val host: String, val port: Int)

/** The peer port of a VM and its connections. [bind], then [start], are called before anything else. */
internal interface PeerTransport : PeerLink {
    /** Binds the peer port; 0 means any free one. Returns the bound port. Throws IOException if the port is in use. */
    suspend fun bind(host: String, port: Int): Int

    /** Starts to accept connections as [vm]. */
    fun start(vm: VmIdentity)

    /** Opens a connection to [address] and reopens it when it ends. Ignores this VM's address and known ones. */
    fun connect(address: PeerAddress)

    /** Sends [message] to each of [receivers] without waiting. */
    fun send(receivers: Collection<VmIdentity>, message: PeerMessage)

    /**
     * Sends each of [receivers] a frame without a message, so that the age of its next messages is known to be low. Unlike a heartbeat,
     * it is no sign that this VM still wants anything.
     */
    fun sendStamp(receivers: Collection<VmIdentity>)

    /** Peers with an open outbound connection. */
    fun connected(): Set<VmIdentity>

    /** Closes the connections with [vm] in both directions, so that no message that was sent over them arrives later. */
    fun drop(vm: VmIdentity)

    /** Closes all connections, as [drop] does for one peer. They are opened again. */
    fun dropAll()

    /** Closes the port and all connections. */
    fun close()
}
