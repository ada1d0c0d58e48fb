package dandelionpoint.fleet

import dandelionpoint.protocol.SchedulerClock
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.transport.peer.PeerAddress
import dandelionpoint.transport.peer.PeerTransport
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest

private fun vm(name: String, dataCentre: String) = VmIdentity(name, "incarnation-$name", "north", dataCentre, "127.0.0.1", 1)

private val NEAR = vm("near", "akl-a")

/** So many peers of other data centres that heartbeats to them have the longest interval. */
private val FAR = List(60) { vm("far-$it", "ham-a") }
private val PARTNER = vm("partner", "ham-a")

/** A peer of another data centre for which this VM has runs in progress. */
private val DEPENDENT = FAR.first()

/** Counts the heartbeats to each peer. */
private class CountingTransport : PeerTransport {
    val sent = HashMap<VmIdentity, Int>()

    /** The same for frames that only carry a stamp. */
    val stamps = HashMap<VmIdentity, Int>()

    override fun sendStamp(receivers: Collection<VmIdentity>) = receivers.forEach { stamps.merge(it, 1, Int::plus) }

    override fun send(receivers: Collection<VmIdentity>, message: PeerMessage) = receivers.forEach { sent.merge(it, 1, Int::plus) }

    override fun connected() = setOf(NEAR, PARTNER) + FAR

    override suspend fun bind(host: String, port: Int) = port

    override fun start(vm: VmIdentity) = Unit

    override fun connect(address: PeerAddress) = Unit

    override fun drop(vm: VmIdentity) = Unit

    override fun dropAll() = Unit

    override fun close() = Unit

    override fun send(to: VmIdentity, message: PeerMessage) = Unit

    override suspend fun call(to: VmIdentity, message: PeerMessage, timeoutMs: Long) = PeerReply.NotSent("not used")
}

private class Source(var waiting: Set<VmIdentity> = emptySet()) : HeartbeatSource {
    override fun heartbeat(isSameDataCentre: Boolean) = FleetHeartbeat()

    override fun partners() = setOf(PARTNER)

    override fun dependents() = setOf(DEPENDENT.incarnation)

    override fun isWaiting(vm: VmIdentity) = vm in waiting

    override fun isAnyWaiting() = waiting.isNotEmpty()
}

/**
 * Guards against heartbeats that grow with the square of the number of VMs, and against VMs that are declared lost because those that
 * depend on them get too few.
 */
internal class HeartbeatSenderTest :
    DescribeSpec({
        fun withSender(source: Source = Source(), test: suspend (CountingTransport, HeartbeatSender) -> Unit) = runTest {
            val scope = CoroutineScope(coroutineContext + SupervisorJob())
            val transport = CountingTransport()
            val sender = HeartbeatSender(transport, "akl-a", SchedulerClock(this), source)
            scope.launch { sender.run() }
            test(transport, sender)
            scope.cancel()
        }

        it("sends heartbeats often within the data centre and to partners, seldom to all other VMs") {
            withSender { transport, _ ->
                delay(6_000)
                transport.sent.getValue(NEAR) shouldBeInRange 35..40
                transport.sent.getValue(PARTNER) shouldBeInRange 35..40
                FAR.forEach { transport.sent.getValue(it) shouldBeInRange 4..5 }
            }
        }

        // Without its stamps they could not show how recent their heartbeats are, and the leases of their runs would end.
        it("sends stamps often to VMs of other data centres that have runs or jobs in progress here, and to no others") {
            withSender { transport, _ ->
                delay(6_000)
                transport.stamps.keys shouldBe setOf(DEPENDENT)
                transport.stamps.getValue(DEPENDENT) + transport.sent.getValue(DEPENDENT) shouldBeInRange 35..40
            }
        }

        it("tells the peers with waiting jobs of free capacity at once, and no others") {
            withSender(Source(waiting = setOf(NEAR))) { transport, sender ->
                delay(160)
                val before = HashMap(transport.sent)
                delay(30)
                sender.announceCapacity()
                delay(10)
                transport.sent.getValue(NEAR) - before.getValue(NEAR) shouldBe 1
                FAR.forEach { transport.sent[it] shouldBe before[it] }
            }
        }

        it("tells the VMs of the data centre of a change at once") {
            withSender { transport, sender ->
                delay(160)
                val before = transport.sent.getValue(NEAR)
                delay(30)
                sender.announceChange()
                delay(10)
                transport.sent.getValue(NEAR) - before shouldBe 1
            }
        }
    })
