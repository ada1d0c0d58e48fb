/* A peer of which only the network exists: it sends what a test tells it to, and answers nothing. */
package dandelionpoint.fleet

import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.standin.fleet.InProcessFleet
import dandelionpoint.transport.peer.PeerAddress
import dandelionpoint.transport.peer.PeerEvents
import dandelionpoint.transport.peer.PeerNetwork
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlin.time.Duration.Companion.seconds

private object NoConnectionEvents : PeerEvents {
    override fun connected(vm: VmIdentity) = Unit

    override fun disconnected(vm: VmIdentity) = Unit
}

/** The peer [name] in [dataCentre] of the VMs of [fleet]. */
internal class NetworkPeer(private val fleet: InProcessFleet, private val dataCentre: String, private val name: String = "peer") :
    AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val network = PeerNetwork(scope, "fleet", { _, _, _ -> null }, NoConnectionEvents)

    val incarnation = "incarnation-$name"

    suspend fun start() {
        val port = network.bind(InProcessFleet.LOOPBACK, 0)
        network.start(VmIdentity(name, incarnation, "trial", dataCentre, InProcessFleet.LOOPBACK, port))
    }

    /** Connects to the VM [name], which has been started. */
    suspend fun connect(name: String): VmIdentity {
        eventually(5.seconds) { fleet.store.value("vms", name).shouldBeInstanceOf<ByteArray>() }
        val vm = Json.decodeFromString(VmIdentity.serializer(), checkNotNull(fleet.store.value("vms", name)).decodeToString())
        network.connect(PeerAddress(vm.host, vm.port))
        eventually(5.seconds) { network.connected() shouldContain vm }
        return vm
    }

    /** Sends heartbeats to [vm] until this peer is closed. */
    fun sendHeartbeats(vm: VmIdentity) {
        scope.launch {
            while (true) {
                network.send(vm, FleetHeartbeat())
                delay(HEARTBEAT_MS)
            }
        }
    }

    /** Calls [vm], over the present connection or the next one. */
    fun call(vm: VmIdentity, message: PeerMessage, timeoutMs: Long): Deferred<PeerReply> = scope.async {
        eventually(2.seconds) { network.connected() shouldContain vm }
        network.call(vm, message, timeoutMs)
    }

    /** Ends the peer as if its process were killed. */
    override fun close() {
        network.close()
        scope.cancel()
    }

    private companion object {
        const val HEARTBEAT_MS = 50L
    }
}
