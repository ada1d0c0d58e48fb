/*
 * Connections to the other entry VMs. Each VM opens one connection to each peer for its own calls and messages, and serves the peers'
 * connections on its own port. When an outbound connection ends, it is opened again with exponential backoff, see [ReconnectDelay].
 */
package dandelionpoint.transport.peer

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.UptimeClock
import dandelionpoint.protocol.peer.PeerFrame
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeout
import java.net.ConnectException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

private val log = KotlinLogging.logger {}

/** Listener for the start and end of outbound connections. */
internal interface PeerEvents {
    fun connected(vm: VmIdentity)

    fun disconnected(vm: VmIdentity)

    /**
     * A connection to [address] was refused, which this VM tried to open on the date [attemptedAt] (ms by its uptime clock): no process
     * listened there, or a firewall between the data centres says so. The process that is there when this is called may be another one.
     */
    fun refused(address: PeerAddress, attemptedAt: Long) = Unit
}

/**
 * All peer connections of this VM, at most [maxInbound] of them opened by peers. [handler] gets the messages from all peers; it and [events]
 * are called from several threads.
 */
internal class PeerNetwork(
    private val scope: CoroutineScope,
    private val cluster: String,
    private val handler: PeerHandler,
    private val events: PeerEvents,
    private val codec: FrameCodec = FrameCodec(),
    private val uptime: UptimeClock = UptimeClock(Clock.System),
    private val maxInbound: Int = MAX_INBOUND_CONNECTIONS,
    private val reconnect: ReconnectRules = ReconnectRules(),
) : PeerTransport {
    /** Counts of frames and bytes. */
    val traffic = PeerTraffic()
    private val stamps = FrameStamps(uptime)
    private val selector = SelectorManager(Dispatchers.IO)

    /** [job] opens the outbound connection to an address, and reopens it when it ends. */
    private class Reconnector(val delay: ReconnectDelay, val job: Job)

    private val reconnectors = ConcurrentHashMap<PeerAddress, Reconnector>()

    /** Outbound connections that have completed the handshake. */
    private val connections = ConcurrentHashMap<VmIdentity, PeerConnection>()

    /** Number of inbound connections, including those whose handshake is not complete. */
    private val inboundCount = AtomicInteger()

    /** Number of inbound connections whose handshake is not complete. */
    private val handshakes = AtomicInteger()
    private val handshakeSlots = Semaphore(HANDSHAKE_SLOTS)
    private val refusals = RefusalLog()

    /** Inbound connections that have completed the handshake. */
    private val inboundConnections = ConcurrentHashMap.newKeySet<PeerConnection>()
    private lateinit var server: ServerSocket
    private lateinit var local: LocalPeer

    override suspend fun bind(host: String, port: Int): Int {
        server = aSocket(selector).tcp().bind(host, port)
        return server.port
    }

    override fun start(vm: VmIdentity) {
        local = LocalPeer(cluster, vm, stamps) { connections.keys.shuffled().take(MAX_KNOWN_IN_HELLO).toSet() }
        scope.launch {
            while (isActive) {
                val socket = runCatching { server.accept() }.getOrElse { return@launch }
                if (!admit()) {
                    socket.close()
                } else {
                    launch { serveInbound(socket) }
                }
            }
        }
    }

    /**
     * Counts an accepted connection; false if there are too many. A part of them may be in the handshake, so that processes which open
     * connections and send nothing leave some to peers.
     */
    private fun admit(): Boolean {
        val isAdmitted = inboundCount.incrementAndGet() <= maxInbound && handshakes.get() < maxInbound / HANDSHAKE_SHARE
        if (isAdmitted) handshakes.incrementAndGet() else inboundCount.decrementAndGet()
        if (!isAdmitted) refusals.onRefused("inbound", "too many connections")
        return isAdmitted
    }

    /** Makes the handshake once one of the slots is free; until then nothing is read from the connection. */
    private suspend fun greet(handshake: suspend () -> List<VmIdentity>): List<VmIdentity> = try {
        withTimeout(HANDSHAKE_TIMEOUT_MS) { handshakeSlots.withPermit { handshake() } }
    } finally {
        handshakes.decrementAndGet()
    }

    private suspend fun serveInbound(socket: Socket) {
        var opened: PeerConnection? = null
        try {
            val known = greet { PeerConnection(socket, local, codec, handler, traffic).also { opened = it }.handshake() }
            val connection = checkNotNull(opened)
            known.forEach { connect(PeerAddress(it.host, it.port)) }
            onSeen(PeerAddress(connection.remote.host, connection.remote.port))
            inboundConnections += connection
            connection.serve(scope)
        } catch (e: CancellationException) {
            if (!scope.isActive) throw e
        } catch (e: Exception) {
            logConnectionEnd("inbound", e)
        } finally {
            opened?.let { inboundConnections -= it }
            inboundCount.decrementAndGet()
            opened?.close() ?: socket.close()
        }
    }

    /** Opens a connection to [address] and reopens it until [retain] or [close] ends that. Ignores this VM's address and known ones. */
    override fun connect(address: PeerAddress) {
        if (address == PeerAddress(local.vm.host, local.vm.port)) return
        reconnectors.computeIfAbsent(address) {
            val delay = ReconnectDelay(reconnect)
            Reconnector(delay, scope.launch { keepConnected(address, delay) })
        }
    }

    /** The VM at [address] has opened a connection to this one. */
    private fun onSeen(address: PeerAddress) {
        connect(address)
        reconnectors[address]?.delay?.onSeen()
    }

    /** Stops reconnecting to addresses that are not in [keep]. Open connections are not closed. */
    fun retain(keep: Set<PeerAddress>) {
        val open = connections.keys.map { PeerAddress(it.host, it.port) }.toSet()
        (reconnectors.keys - keep - open).forEach { reconnectors.remove(it)?.job?.cancel() }
    }

    private suspend fun keepConnected(address: PeerAddress, delay: ReconnectDelay) {
        while (scope.isActive) {
            runConnection(address, delay)
            delay.awaitNext()
        }
    }

    /** Opens a connection and serves it until it ends. */
    private suspend fun runConnection(address: PeerAddress, delay: ReconnectDelay) {
        var connection: PeerConnection? = null
        var ready = false
        val attemptedAt = uptime.millis()
        try {
            val socket =
                withTimeout(CONNECT_TIMEOUT_MS) {
                    aSocket(selector).tcp().connect(InetSocketAddress(address.host, address.port)) { noDelay = true }
                }
            connection = PeerConnection(socket, local, codec, handler, traffic)
            connection.handshake().forEach { connect(PeerAddress(it.host, it.port)) }
            ready = true
            delay.onConnected()
            connections[connection.remote] = connection
            events.connected(connection.remote)
            connection.serve(scope)
        } catch (e: CancellationException) {
            if (!scope.isActive) throw e
        } catch (e: ConnectException) {
            logConnectionEnd("outbound to ${address.host}:${address.port}", e)
            if (REFUSED in e.message.orEmpty()) runCatching { events.refused(address, attemptedAt) }
        } catch (e: Exception) {
            logConnectionEnd("outbound to ${address.host}:${address.port}", e)
        } finally {
            connection?.close()
            if (ready && connection != null && connections.remove(connection.remote, connection)) events.disconnected(connection.remote)
        }
    }

    private fun logConnectionEnd(side: String, cause: Exception) {
        if (cause is FrameException) {
            refusals.onRefused(side, cause.message)
        } else {
            log.debug { "event=peer_connection_ended connection=\"$side\" reason=\"${cause.message}\"" }
        }
    }

    override suspend fun call(to: VmIdentity, message: PeerMessage, timeoutMs: Long): PeerReply {
        val connection = connections[to] ?: return PeerReply.NotSent("no connection to ${to.name}")
        return connection.call(message, timeoutMs)
    }

    override fun send(to: VmIdentity, message: PeerMessage) {
        connections[to]?.send(message)
    }

    /** Sends [message] to each of [receivers]; encodes it once. */
    override fun send(receivers: Collection<VmIdentity>, message: PeerMessage) {
        if (receivers.isEmpty()) return
        val bytes = codec.encode(PeerFrame(0, message = message))
        receivers.forEach { connections[it]?.send(bytes) }
    }

    override fun sendStamp(receivers: Collection<VmIdentity>) = receivers.forEach { connections[it]?.sendStamp() }

    override fun drop(vm: VmIdentity) {
        stamps.forget(vm.incarnation)
        connections[vm]?.drop()
        inboundConnections.filter { it.remote == vm }.forEach { it.drop() }
    }

    override fun dropAll() = (connections.values + inboundConnections).forEach { it.drop() }

    override fun connected(): Set<VmIdentity> = connections.keys.toSet()

    override fun close() {
        reconnectors.values.forEach { it.job.cancel() }
        runCatching { server.close() }
        connections.values.forEach { it.close() }
        selector.close()
    }

    private companion object {
        /** Text of the exception for a refused connection; one for a connection that timed out is of the same class. */
        const val REFUSED = "refused"
        const val MAX_INBOUND_CONNECTIONS = 512

        /** This part of the inbound connections may be in the handshake. */
        const val HANDSHAKE_SHARE = 2

        /** Inbound connections that are read before their handshake is complete. Ktor reads up to 2 MB ahead from each of them. */
        const val HANDSHAKE_SLOTS = 4

        /** Longest time until the handshake of an inbound connection is complete, the wait for a slot included. */
        const val HANDSHAKE_TIMEOUT_MS = 4_000L

        /** Number of peers that the first frame of a connection names: enough to find all others, while the frame stays small. */
        const val MAX_KNOWN_IN_HELLO = 8
        const val CONNECT_TIMEOUT_MS = 1_000L
    }
}
