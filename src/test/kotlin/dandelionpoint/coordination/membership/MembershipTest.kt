package dandelionpoint.coordination.membership

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.ServingState
import dandelionpoint.protocol.peer.VmIdentity
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private class ManualClock(var ms: Long = 0) : Clock {
    override fun wallMs() = ms

    override fun nanos() = ms * 1_000_000
}

private fun vm(name: String, incarnation: String) = VmIdentity(name, incarnation, "region", "dc", "127.0.0.1", 1)

private val heartbeat = PeerMessage.Heartbeat(ServingState.SERVING, configVersion = 1)

/**
 * Guards against work that is given to a peer which cannot answer, and against a share of workers and shards that is moved away from a
 * peer too early. Heartbeats that are missing or late, or a closed connection, must change the peer's health at the set times.
 */
class MembershipTest :
    DescribeSpec({
        describe("a peer without heartbeats") {
            it("gets no work after 1 s and keeps its share of workers and shards for 3 s") {
                val clock = ManualClock()
                val membership = Membership(MembershipSettings(), clock)
                val peer = vm("a", "1")
                membership.connected(peer)
                membership.onHeartbeat(peer, heartbeat)
                membership.reachable() shouldBe setOf(peer)
                clock.ms = 1_000
                membership.reachable() shouldBe emptySet()
                membership.members() shouldBe setOf(peer)
                clock.ms = 3_000
                membership.members() shouldBe emptySet()
            }
        }
        describe("a peer whose connection was closed") {
            it("immediately gets no more work, since its process may have ended") {
                val membership = Membership(MembershipSettings(), ManualClock())
                val peer = vm("a", "1")
                membership.connected(peer)
                membership.disconnected(peer)
                membership.reachable() shouldBe emptySet()
            }
        }
        describe("a restarted peer") {
            it("replaces its earlier incarnation, whose late heartbeats are ignored") {
                val membership = Membership(MembershipSettings(), ManualClock())
                val old = vm("a", "1")
                val new = vm("a", "2")
                membership.connected(old)
                membership.connected(new)
                membership.onHeartbeat(old, heartbeat)
                membership.members() shouldBe setOf(new)
            }
        }
    })
