package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.VmIdentity
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

private val PEER = VmIdentity("peer", "incarnation-peer", "north", "akl-a", "127.0.0.1", 1)

/**
 * Guards against peers that are taken for lost because this VM was paused, against lost peers that are noticed too late, and against
 * leases that are renewed for a VM that is no longer there, because a pause of this process hid how long it was silent.
 */
internal class PeerLivenessTest :
    DescribeSpec({
        describe("a pause of this VM") {
            it("is not counted as silence of its peers") {
                val liveness = PeerLiveness { 700 }
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 1_000)
                liveness.onProcessPause(3_000, now = 4_000)
                liveness.removeLost(now = 4_050).shouldBeEmpty()
            }

            // The jobs of a lost peer's clients would go on for the length of the pause, while the clients submit them again.
            it("does not delay the loss of a peer whose heartbeat was read before the pause was noticed") {
                val liveness = PeerLiveness { 700 }
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 4_000)
                liveness.onProcessPause(3_000, now = 4_000)
                liveness.removeLost(now = 4_701) shouldBe listOf(PEER)
            }
        }

        describe("a VM that has restarted") {
            // A heartbeat of the earlier incarnation may arrive after it was replaced.
            it("counts under the incarnation that was heard last, each time the other one is heard again") {
                val restarted = PEER.copy(incarnation = "incarnation-restarted")
                val liveness = PeerLiveness { 700 }
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 0)
                liveness.removeLost(now = 1).shouldBeEmpty()
                liveness.onHeartbeat(restarted, FleetHeartbeat(), now = 100)
                liveness.removeLost(now = 101) shouldBe listOf(PEER)
                liveness.onHeartbeat(restarted, FleetHeartbeat(), now = 200)
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 150)
                liveness.removeLost(now = 201) shouldBe listOf(PEER)
                liveness.removeLost(now = 202).shouldBeEmpty()
                liveness.isLive(restarted) shouldBe true
            }
        }

        describe("the time of the last heartbeat") {
            it("is unknown before the first heartbeat and after the loss of the VM") {
                val liveness = PeerLiveness { 700 }
                liveness.heardAt(PEER.incarnation).shouldBeNull()
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 10)
                liveness.heardAt(PEER.incarnation) shouldBe 10
                liveness.removeLost(now = 711) shouldBe listOf(PEER)
                liveness.heardAt(PEER.incarnation).shouldBeNull()
            }

            it("is not changed by a pause of this process, after which the VM is declared lost later") {
                val liveness = PeerLiveness { 700 }
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 10)
                liveness.onProcessPause(pauseMs = 500, now = 600)
                liveness.removeLost(now = 1_100).shouldBeEmpty()
                liveness.heardAt(PEER.incarnation) shouldBe 10
            }
        }

        describe("a heartbeat that another VM has received") {
            // A VM of another data centre hears of the client's VM through the dispatching VM only. Without it, no lease could be given.
            it("counts with its age, and only if it is newer than what is known") {
                val liveness = PeerLiveness { 700 }
                liveness.onRelayed("entry", ageMs = 100, now = 1_000)
                liveness.heardAt("entry") shouldBe 900
                liveness.onRelayed("entry", ageMs = 500, now = 1_200)
                liveness.heardAt("entry") shouldBe 900
                liveness.onHeartbeat(PEER, FleetHeartbeat(relayed = mapOf("entry" to 10L)), now = 1_300)
                liveness.heardAt("entry") shouldBe 1_290
            }

            it("from the future of this VM's clock is not believed") {
                val liveness = PeerLiveness { 700 }
                liveness.onRelayed("entry", ageMs = -5_000, now = 1_000)
                liveness.heardAt("entry") shouldBe 1_000
            }
        }
    })
