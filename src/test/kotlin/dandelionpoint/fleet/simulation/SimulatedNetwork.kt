/* The network between simulated VMs: which processes listen, which connections are open and which paths are cut. */
package dandelionpoint.fleet.simulation

import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.transport.peer.PeerAddress

/** Is told of remote runs, with the VM that dispatches the run and the one that is asked to start it. */
internal interface RemoteRunObserver {
    /** A request is sent. */
    fun onRequest(from: VmIdentity, to: VmIdentity, request: RemoteRunRequest)

    /** The VM [to] answers that it has not started the run. */
    fun onNotStarted(from: VmIdentity, to: VmIdentity, request: RemoteRunRequest)
}

/** All VMs and their connections. */
internal class SimulatedNetwork(val world: SimulationWorld, val remoteRuns: RemoteRunObserver) {
    /** Extra delay in ms of each copy of a message that the first VM sends to the second one; no copy if the message is lost. */
    var copies: (from: String, to: String, message: PeerMessage) -> List<Long> = { _, _, _ -> listOf(0L) }
    private val listening = LinkedHashMap<PeerAddress, SimulatedTransport>()

    /** Names of the VMs whose process has ended while their machine runs, by their addresses. */
    private val refusing = HashMap<PeerAddress, String>()
    private val connections = mutableListOf<SimulatedConnection>()
    private val cuts = HashMap<Pair<String, String>, Long>()

    fun listen(address: PeerAddress, transport: SimulatedTransport) {
        listening[address] = transport
        refusing -= address
    }

    /** True if a connection from the VM [from] to [address] is refused. A machine that is lost or cut off does not answer. */
    fun refuses(from: String, address: PeerAddress): Boolean = refusing[address]?.let { !isCut(from, it) } ?: false

    fun listener(address: PeerAddress): SimulatedTransport? = listening[address]

    fun add(connection: SimulatedConnection) {
        connections += connection
    }

    /** Connections with at least one open end. */
    fun open(): List<SimulatedConnection> {
        connections.removeAll { !it.isOpen }
        return connections.toList()
    }

    /** Delivers nothing that the VM [from] sends to the VM [to] for [ms]. */
    fun cut(from: String, to: String, ms: Long) {
        cuts.merge(from to to, world.now() + ms, ::maxOf)
    }

    fun cutUntil(from: String, to: String): Long = cuts[from to to] ?: 0L

    fun isCut(one: String, other: String): Boolean = maxOf(cutUntil(one, other), cutUntil(other, one)) > world.now()

    /** Ends the process of [transport]. Its peers see its connections close unless its whole machine is lost ([isMachineLost]). */
    fun kill(transport: SimulatedTransport, isMachineLost: Boolean) {
        if (!isMachineLost) listening.filterValues { it === transport }.keys.forEach { refusing[it] = transport.name }
        listening.values.remove(transport)
        open().forEach { connection ->
            ConnectionEnd.entries.filter { connection.transportAt(it) === transport }.forEach {
                connection.close(it, isTold = !isMachineLost)
            }
        }
    }

    /** Resets the connections of the VM [name] that an earlier incarnation left open. */
    fun resetConnectionsOf(name: String) = open().filter { it.client.name == name || it.server.name == name }.forEach { it.reset() }
}
