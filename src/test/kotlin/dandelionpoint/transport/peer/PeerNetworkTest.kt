package dandelionpoint.transport.peer

import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import io.kotest.assertions.nondeterministic.continually
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private object NoEvents : PeerEvents {
    override fun connected(vm: VmIdentity) = Unit

    override fun disconnected(vm: VmIdentity) = Unit
}

/** By then, messages that were sent over loopback have arrived. */
private const val MESSAGES_ARRIVE_MS = 200L

/** By then a VM with [SLOW_RECONNECT] has failed seven times to connect to an address, in ms. Its next attempt is nearly 3 s later. */
private const val FAILED_ATTEMPTS_MS = 3_400L
private val SLOW_RECONNECT = ReconnectRules(minMs = 50, maxMs = 60_000)

/** An entry VM with only its peer network. */
private class Node(val scope: CoroutineScope, val network: PeerNetwork, val vm: VmIdentity)

private suspend fun node(
    name: String,
    cluster: String = "test",
    dispatcher: CoroutineDispatcher = Dispatchers.IO,
    events: PeerEvents = NoEvents,
    uncaught: MutableCollection<Throwable> = ConcurrentLinkedQueue(),
    reconnect: ReconnectRules = ReconnectRules(),
    handler: PeerHandler,
): Node {
    val scope = CoroutineScope(SupervisorJob() + dispatcher + CoroutineExceptionHandler { _, failure -> uncaught += failure })
    val network = PeerNetwork(scope, cluster, handler, events, reconnect = reconnect)
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
        // Its cells would stay without an owner until its claims are stale.
        describe("a peer whose process has ended") {
            it("is reported, since its port refuses connections; one that does not answer is not") {
                val refused = CopyOnWriteArrayList<PeerAddress>()
                val events = object : PeerEvents by NoEvents {
                    override fun refused(address: PeerAddress, attemptedAt: Long) {
                        refused += address
                    }
                }
                val silent = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
                val ended = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { PeerAddress("127.0.0.1", it.localPort) }
                val node = node("a", events = events) { _, _, _ -> null }
                node.network.connect(PeerAddress("127.0.0.1", silent.localPort))
                node.network.connect(ended)
                eventually(5.seconds) { refused.toSet() shouldBe setOf(ended) }
                continually(MESSAGES_ARRIVE_MS.milliseconds) { refused.toSet() shouldBe setOf(ended) }
                node.stop()
                silent.close()
            }
        }

        // It would not be ready meanwhile: it knows no owner of a cell before it has read a heartbeat of a peer.
        describe("a VM that starts after its peers have tried to reach it in vain") {
            it("is connected to once it has connected to them, however late their next attempt is") {
                val late = node("late") { _, _, _ -> null }
                val waiting = node("waiting", reconnect = SLOW_RECONNECT) { _, _, _ -> null }
                late.network.close()
                waiting.network.connect(PeerAddress(late.vm.host, late.vm.port))
                delay(FAILED_ATTEMPTS_MS)
                val started = PeerNetwork(late.scope, "test", { _, _, _ -> null }, NoEvents)
                started.bind(late.vm.host, late.vm.port)
                started.start(late.vm)
                try {
                    started.connect(PeerAddress(waiting.vm.host, waiting.vm.port))
                    eventually(2.seconds) { waiting.network.connected() shouldBe setOf(late.vm) }
                } finally {
                    waiting.stop()
                    started.close()
                    late.stop()
                }
            }
        }

        describe("two VMs") {
            it("call each other, and a call without a reply is reported as lost, not as not sent") {
                val unresponsive =
                    node("unresponsive") { _, message, _ ->
                        if (message is PeerMessage.ConfigPull) awaitCancellation() else PeerMessage.Goodbye
                    }
                val caller = node("caller") { _, _, _ -> null }
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
                val other = node("other", cluster = "another") { _, _, _ -> null }
                val caller = node("caller") { _, _, _ -> null }
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
        describe("a connection that is dropped") {
            // After a pause, such messages are requests that their sender has given up.
            it("delivers no message that was received before and not handled yet") {
                lateinit var receiver: Node
                val handled = AtomicInteger()
                receiver = node("receiver", dispatcher = Dispatchers.Unconfined) { from, _, _ ->
                    if (handled.incrementAndGet() == 1) {
                        Thread.sleep(MESSAGES_ARRIVE_MS)
                        receiver.network.drop(from)
                    }
                    null
                }
                val sender = node("sender") { _, _, _ -> null }
                try {
                    sender.network.connect(PeerAddress(receiver.vm.host, receiver.vm.port))
                    eventually(5.seconds) { sender.network.connected() shouldBe setOf(receiver.vm) }
                    repeat(20) { sender.network.send(receiver.vm, PeerMessage.Goodbye) }
                    eventually(5.seconds) { handled.get() shouldBe 1 }
                    continually((3 * MESSAGES_ARRIVE_MS).milliseconds) { handled.get() shouldBe 1 }
                } finally {
                    sender.stop()
                    receiver.stop()
                }
            }
        }
        describe("a connection that its peer closes") {
            // Guards against a failed write that ends as an uncaught exception of the thread that sends, which is busy until then.
            it("ends without an uncaught exception while messages are sent") {
                val uncaught = ConcurrentLinkedQueue<Throwable>()
                val receiver = node("receiver") { _, _, _ -> null }
                val thread = Executors.newSingleThreadExecutor().asCoroutineDispatcher()
                val sender = node("sender", dispatcher = thread, uncaught = uncaught) { _, _, _ -> null }
                try {
                    sender.network.connect(PeerAddress(receiver.vm.host, receiver.vm.port))
                    eventually(5.seconds) { sender.network.connected() shouldBe setOf(receiver.vm) }
                    withContext(thread) {
                        receiver.network.dropAll()
                        repeat(10) {
                            sender.network.send(receiver.vm, PeerMessage.Goodbye)
                            Thread.sleep(MESSAGES_ARRIVE_MS / 10)
                        }
                    }
                    eventually(5.seconds) { sender.network.connected() shouldBe setOf(receiver.vm) }
                    uncaught.toList() shouldBe emptyList()
                } finally {
                    sender.stop()
                    receiver.stop()
                    thread.close()
                }
            }
        }
        describe("invalid input on the peer port") {
            it("closes that connection and does not affect others") {
                val server = node("server") { _, _, _ -> PeerMessage.Goodbye }
                val caller = node("caller") { _, _, _ -> null }
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
