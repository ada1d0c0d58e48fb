package dandelionpoint.fleet

import dandelionpoint.fleet.simulation.SimulatedVm
import dandelionpoint.protocol.fleet.FleetConfiguration
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.standin.fleet.MemoryRows
import dandelionpoint.standin.fleet.MemoryWorkers
import dandelionpoint.transport.peer.PeerAddress
import dandelionpoint.transport.peer.PeerEvents
import dandelionpoint.transport.peer.PeerHandler
import dandelionpoint.transport.peer.PeerTransport
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private const val QUEUE = "lookups"
private val PEER = VmIdentity("peer", "incarnation-peer", "north", "akl-a", "127.0.0.1", 7)

/** A transport without connections. */
private object NoConnections : PeerTransport {
    override suspend fun bind(host: String, port: Int): Int = port

    override fun start(vm: VmIdentity) = Unit

    override fun connect(address: PeerAddress) = Unit

    override suspend fun call(to: VmIdentity, message: PeerMessage, timeoutMs: Long): PeerReply = PeerReply.NotSent("no connection")

    override fun send(to: VmIdentity, message: PeerMessage) = Unit

    override fun send(receivers: Collection<VmIdentity>, message: PeerMessage) = Unit

    override fun sendStamp(receivers: Collection<VmIdentity>) = Unit

    override fun connected(): Set<VmIdentity> = emptySet()

    override fun drop(vm: VmIdentity) = Unit

    override fun dropAll() = Unit

    override fun close() = Unit
}

private object NoDocuments : DocumentReader {
    override fun worker(id: String, bytes: ByteArray): WorkerEntry? = null

    override fun configuration(bytes: ByteArray): FleetConfiguration? = null
}

/** A VM with one peer of its data centre. The test passes on what the transport has seen. */
private class VmWithPeer : AutoCloseable {
    private lateinit var handler: PeerHandler
    private lateinit var events: PeerEvents
    private val ports = FleetPorts(
        store = MemoryRows(),
        tables = SharedTables(workers = "workers", operator = "operator", configurationKey = "c", evacuationKeyPrefix = "e/"),
        documents = NoDocuments,
        workers = MemoryWorkers(),
        canConnect = { true },
    )
    private val vm = FleetVm(
        settings = SimulatedVm.settings("vm", PEER.dataCentre, port = 1),
        ports = ports,
        transport = { _, peerHandler, peerEvents, _ ->
            handler = peerHandler
            events = peerEvents
            NoConnections
        },
    )

    /** A heartbeat that the peer made on the date [at]. */
    suspend fun heartbeat(at: Long) {
        handler(PEER, FleetHeartbeat(waitingJobs = mapOf(QUEUE to 1)), at)
    }

    /** A connection to the peer's address was refused, which was tried on the date [attemptedAt]. */
    fun refused(attemptedAt: Long) = events.refused(PeerAddress(PEER.host, PEER.port), attemptedAt)

    val knowsPeer: Boolean get() = vm.waitingJobs(QUEUE) == 1

    override fun close() = vm.close()
}

/**
 * Guards against a process that is taken for ended because the one before it, at the same address, refused a connection: its cells would be
 * taken over, and its clients' jobs ended, while it goes on with both. The refusal may be handled late, after a pause.
 */
internal class RefusedConnectionTest :
    DescribeSpec({
        describe("a refused connection to a peer") {
            it("shows that the peer has ended if the attempt was made after its last sign of life") {
                VmWithPeer().use {
                    it.heartbeat(at = 1_000)
                    it.knowsPeer shouldBe true
                    it.refused(attemptedAt = 1_100)
                    it.knowsPeer shouldBe false
                }
            }

            it("shows nothing of a process that was alive after the attempt") {
                VmWithPeer().use {
                    it.heartbeat(at = 1_000)
                    it.refused(attemptedAt = 900)
                    it.knowsPeer shouldBe true
                }
            }
        }
    })
