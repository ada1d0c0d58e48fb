package dandelionpoint.transport.peer

import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

private object NoEvents : PeerEvents {
    override fun connected(vm: VmIdentity) = Unit

    override fun disconnected(vm: VmIdentity) = Unit
}

/** An entry VM with only its peer network. */
private class Node(val scope: CoroutineScope, val network: PeerNetwork, val vm: VmIdentity)

private suspend fun node(name: String, cluster: String = "test", handler: PeerHandler): Node {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    val network = PeerNetwork(scope, cluster, handler, NoEvents)
    val port = network.bind("127.0.0.1", 0)
    val vm = VmIdentity(name, "incarnation-$name", "region", "dc", "127.0.0.1", port)
    network.start(vm)
    return Node(scope, network, vm)
}

private fun Node.stop() {
    network.close()
    scope.cancel()
}

/**
 * Guards against a call that is reported as not sent although the peer may have acted on it, which can happen when the reply is missing.
 * Also guards against connections between VMs of different clusters, whose jobs would be mixed, and against invalid input on the peer port
 * that ends other connections.
 */
class PeerNetworkTest :
    DescribeSpec({
        describe("two VMs") {
            it("call each other, and a call without a reply is reported as lost, not as not sent") {
                val unresponsive =
                    node("unresponsive") { _, message ->
                        if (message is PeerMessage.ConfigPull) awaitCancellation() else PeerMessage.Goodbye
                    }
                val caller = node("caller") { _, _ -> null }
                try {
                    caller.network.connect(PeerAddress(unresponsive.vm.host, unresponsive.vm.port))
                    eventually(5.seconds) { caller.network.connected() shouldBe setOf(unresponsive.vm) }
                    caller.network.call(unresponsive.vm, PeerMessage.SlotRequest(1), 2_000) shouldBe PeerReply.Answered(PeerMessage.Goodbye)
                    caller.network.call(unresponsive.vm, PeerMessage.ConfigPull(1), 50).shouldBeInstanceOf<PeerReply.Lost>()
                } finally {
                    caller.stop()
                    unresponsive.stop()
                }
            }
            it("of different clusters refuse each other's connections") {
                val other = node("other", cluster = "another") { _, _ -> null }
                val caller = node("caller") { _, _ -> null }
                try {
                    caller.network.connect(PeerAddress(other.vm.host, other.vm.port))
                    caller.network.call(other.vm, PeerMessage.SlotRequest(1), 500).shouldBeInstanceOf<PeerReply.NotSent>()
                    caller.network.connected() shouldBe emptySet()
                } finally {
                    caller.stop()
                    other.stop()
                }
            }
        }
        describe("invalid input on the peer port") {
            it("closes that connection and does not affect others") {
                val server = node("server") { _, _ -> PeerMessage.Goodbye }
                val caller = node("caller") { _, _ -> null }
                try {
                    Socket("127.0.0.1", server.vm.port).use { it.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".toByteArray()) }
                    caller.network.connect(PeerAddress(server.vm.host, server.vm.port))
                    eventually(5.seconds) { caller.network.connected() shouldBe setOf(server.vm) }
                    caller.network.call(server.vm, PeerMessage.SlotRequest(1), 2_000) shouldBe PeerReply.Answered(PeerMessage.Goodbye)
                } finally {
                    caller.stop()
                    server.stop()
                }
            }
        }
    })
