/* The peer connections of one process of a simulated VM, with the semantics of `PeerNetwork`. */
package dandelionpoint.fleet.simulation

import dandelionpoint.protocol.UptimeClock
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.peer.JobCancel
import dandelionpoint.protocol.peer.JobOffer
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.RunAnswer
import dandelionpoint.protocol.peer.RunCancel
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.transport.peer.FrameStamps
import dandelionpoint.transport.peer.PeerAddress
import dandelionpoint.transport.peer.PeerEvents
import dandelionpoint.transport.peer.PeerHandler
import dandelionpoint.transport.peer.PeerTransport
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Connections of the VM [name]; [scope] is that of the VM, so that they stand still while it is paused. */
internal class SimulatedTransport(
    private val network: SimulatedNetwork,
    val name: String,
    private val scope: CoroutineScope,
    private val handler: PeerHandler,
    private val events: PeerEvents,
    private val uptime: UptimeClock,
) : PeerTransport {
    private val world = network.world
    private val stamps = FrameStamps(uptime)
    private val outbound = LinkedHashMap<VmIdentity, SimulatedConnection>()
    private val inbound = LinkedHashSet<SimulatedConnection>()
    private val reconnectors = LinkedHashMap<PeerAddress, Job>()
    private lateinit var address: PeerAddress
    lateinit var self: VmIdentity
        private set

    override suspend fun bind(host: String, port: Int): Int {
        address = PeerAddress(host, port)
        return port
    }

    override fun start(vm: VmIdentity) {
        self = vm
        network.resetConnectionsOf(name)
        network.listen(address, this)
    }

    /** Runs [block] in this process. */
    fun launch(block: suspend () -> Unit) {
        scope.launch { block() }
    }

    override fun connect(address: PeerAddress) {
        if (address == this.address) return
        reconnectors.getOrPut(address) { scope.launch { keepConnected(address) } }
    }

    private suspend fun keepConnected(address: PeerAddress) {
        while (true) {
            open(address)?.clientClosed?.await()
            delay(MIN_RECONNECT_DELAY_MS + world.random.nextLong(MAX_EXTRA_RECONNECT_DELAY_MS))
        }
    }

    private suspend fun open(address: PeerAddress): SimulatedConnection? {
        val target = network.listener(address)
            ?: return null.also { if (network.refuses(name, address)) events.refused(address, uptime.millis()) }
        if (network.isCut(name, target.name)) {
            delay(CONNECT_TIMEOUT_MS)
            return null
        }
        val connection = SimulatedConnection(network, client = this, server = target)
        network.add(connection)
        val accepted = CompletableDeferred<Unit>()
        send(connection, ConnectionEnd.CLIENT) {
            target.accept(connection, this.address)
            target.send(connection, ConnectionEnd.SERVER) { accepted.complete(Unit) }
        }
        if (withTimeoutOrNull(HELLO_TIMEOUT_MS) { accepted.await() } == null || connection.isClosedAt(ConnectionEnd.CLIENT)) {
            connection.close(ConnectionEnd.CLIENT)
            return null
        }
        outbound[target.self] = connection
        return connection
    }

    /**
     * Sends a frame with [message] from the end [from] of [connection], at which this VM is. The receiver calls [onRead] with the date at
     * or after which the frame was made.
     */
    private fun send(
        connection: SimulatedConnection,
        from: ConnectionEnd,
        message: PeerMessage? = null,
        onRead: suspend (sentAt: Long) -> Unit,
    ) {
        val receiver = connection.transportAt(from.other)
        val times = stamps.timesFor(receiver.self.incarnation)
        val copies = if (message == null) listOf(0L) else network.copies(name, receiver.name, message)
        copies.forEach { extraMs ->
            connection.transmit(from, extraMs) { receiver.launch { onRead(receiver.stamps.onRead(self.incarnation, times)) } }
        }
    }

    private fun accept(connection: SimulatedConnection, from: PeerAddress) {
        if (!connection.isClosedAt(ConnectionEnd.SERVER)) inbound += connection
        connect(from)
    }

    /** Forgets [connection], whose end at this VM is closed. */
    fun remove(connection: SimulatedConnection) {
        outbound.values.remove(connection)
        inbound.remove(connection)
    }

    override suspend fun call(to: VmIdentity, message: PeerMessage, timeoutMs: Long): PeerReply {
        val connection = outbound[to] ?: return PeerReply.NotSent("no connection to ${to.name}")
        if (message is RemoteRunRequest) network.remoteRuns.onRequest(self, to, message)
        val call = connection.openCall()
        deliver(connection, message) { reply ->
            if (reply != null) connection.server.send(connection, ConnectionEnd.SERVER, reply) { call.complete(PeerReply.Answered(reply)) }
        }
        val reply = withTimeoutOrNull(timeoutMs) { call.await() }
        connection.endCall(call)
        return reply ?: PeerReply.Lost("no reply from ${to.name} within $timeoutMs ms")
    }

    override fun send(to: VmIdentity, message: PeerMessage) {
        val connection = outbound[to] ?: return
        deliver(connection, message) { }
    }

    private fun deliver(connection: SimulatedConnection, message: PeerMessage, onReply: (PeerMessage?) -> Unit) {
        val receiver = connection.server
        record(message, "sent by $name to ${receiver.name}")
        send(connection, ConnectionEnd.CLIENT, message) { sentAt ->
            record(message, "read by ${receiver.name}")
            val reply = receiver.handler(self, message, sentAt)
            if (message is RemoteRunRequest && reply == RunAnswer(RunEnd.NOT_STARTED)) {
                network.remoteRuns.onNotStarted(self, receiver.self, message)
            }
            onReply(reply)
        }
    }

    private fun record(message: PeerMessage, what: String) {
        when (message) {
            is JobOffer -> world.record(message.job.id, "JobOffer (${message.job.payload}) $what")
            is JobCancel -> world.record(message.jobId, "JobCancel $what")
            is RemoteRunRequest -> world.record(message.run.task.jobId, "RemoteRunRequest ${message.run.describe()} $what")
            is RunCancel -> world.record(message.run.task.jobId, "RunCancel ${message.run.describe()} $what")
            else -> Unit
        }
    }

    override fun send(receivers: Collection<VmIdentity>, message: PeerMessage) = receivers.forEach { send(it, message) }

    override fun sendStamp(receivers: Collection<VmIdentity>) = receivers.forEach { receiver ->
        outbound[receiver]?.let { send(it, ConnectionEnd.CLIENT) { } }
    }

    override fun connected(): Set<VmIdentity> = outbound.keys.toSet()

    override fun drop(vm: VmIdentity) {
        stamps.forget(vm.incarnation)
        outbound[vm]?.close(ConnectionEnd.CLIENT)
        inbound.filter { it.client.self == vm }.forEach { it.close(ConnectionEnd.SERVER) }
    }

    override fun dropAll() {
        outbound.values.toList().forEach { it.close(ConnectionEnd.CLIENT) }
        inbound.toList().forEach { it.close(ConnectionEnd.SERVER) }
    }

    override fun close() {
        reconnectors.values.forEach { it.cancel() }
        network.kill(this, isMachineLost = false)
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000L
        const val HELLO_TIMEOUT_MS = 2_000L
        const val MIN_RECONNECT_DELAY_MS = 100L
        const val MAX_EXTRA_RECONNECT_DELAY_MS = 300L
    }
}
