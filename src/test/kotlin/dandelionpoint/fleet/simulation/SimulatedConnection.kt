/* One connection between two simulated VMs, over which messages may overtake each other. */
package dandelionpoint.fleet.simulation

import dandelionpoint.protocol.peer.PeerReply
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** End of a connection. */
internal enum class ConnectionEnd {
    CLIENT,
    SERVER,
    ;

    val other: ConnectionEnd get() = if (this == CLIENT) SERVER else CLIENT
}

/** A connection that [client] has opened to [server]. As in the real transport, only the client makes calls over it. */
internal class SimulatedConnection(private val network: SimulatedNetwork, val client: SimulatedTransport, val server: SimulatedTransport) {
    private val world = network.world
    private val closed = mutableSetOf<ConnectionEnd>()
    private val calls = LinkedHashSet<CompletableDeferred<PeerReply>>()
    private var isReset = false
    private var silentUntil = 0L

    /** Completed when the client's end is closed. */
    val clientClosed = CompletableDeferred<Unit>()

    val isOpen: Boolean get() = !isReset && closed.size < ConnectionEnd.entries.size

    fun isClosedAt(end: ConnectionEnd): Boolean = isReset || end in closed

    fun transportAt(end: ConnectionEnd): SimulatedTransport = if (end == ConnectionEnd.CLIENT) client else server

    /**
     * Carries a message from the end [from] to the other one, where [onArrival] is called, [extraMs] later than usual. A message that is
     * under way during a cut or while the connection is silent arrives afterwards; it is lost if the connection is reset or the other end
     * is closed by then.
     */
    fun transmit(from: ConnectionEnd, extraMs: Long = 0, onArrival: () -> Unit) {
        world.scope.launch {
            delay(world.hopMs() + extraMs)
            awaitPath(from)
            if (!isReset && from.other !in closed) onArrival()
        }
    }

    private suspend fun awaitPath(from: ConnectionEnd) {
        while (true) {
            val until = maxOf(silentUntil, network.cutUntil(transportAt(from).name, transportAt(from.other).name))
            if (world.now() >= until) return
            delay(until - world.now() + world.hopMs())
        }
    }

    /** Delivers nothing for [ms]. */
    fun silence(ms: Long) {
        silentUntil = maxOf(silentUntil, world.now() + ms)
    }

    /** Loses all messages under way and closes both ends. */
    fun reset() {
        isReset = true
        world.scope.launch {
            world.hop()
            client.launch { onClosed(ConnectionEnd.CLIENT) }
            server.launch { onClosed(ConnectionEnd.SERVER) }
        }
    }

    /** Closes the end [end]; the other one learns of it by a message if [isTold]. */
    fun close(end: ConnectionEnd, isTold: Boolean = true) {
        if (end in closed) return
        onClosed(end)
        if (isTold) transmit(end) { transportAt(end.other).launch { onClosed(end.other) } }
    }

    private fun onClosed(end: ConnectionEnd) {
        closed += end
        transportAt(end).remove(this)
        if (end == ConnectionEnd.SERVER) return
        clientClosed.complete(Unit)
        calls.toList().forEach { it.complete(PeerReply.Lost("connection closed")) }
        calls.clear()
    }

    /** Registers a call of the client, which is completed as lost if the client's end is closed first. */
    fun openCall(): CompletableDeferred<PeerReply> = CompletableDeferred<PeerReply>().also { calls += it }

    fun endCall(call: CompletableDeferred<PeerReply>) {
        calls -= call
    }
}
