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

        // Its jobs would go on after its end, since the loss of a peer that is not known is never noticed.
        describe("a VM that is known by a request alone") {
            fun introduced() = PeerLiveness { 700 }.apply { introduce(PEER, now = 1_000, sentAt = 940) shouldBe true }

            it("is lost like any other if no heartbeat follows") {
                val liveness = introduced()
                liveness.removeLost(now = 1_700).shouldBeEmpty()
                liveness.removeLost(now = 1_701) shouldBe listOf(PEER)
                liveness.aliveAt(PEER.incarnation).shouldBeNull()
            }

            it("was alive when it made the request, and is not one of those whose heartbeats are read") {
                val liveness = introduced()
                liveness.aliveAt(PEER.incarnation) shouldBe 940
                liveness.live().shouldBeEmpty()
                liveness.isLive(PEER) shouldBe false
            }

            it("counts by its heartbeats once they are read, whatever it requests later") {
                val liveness = introduced()
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 1_500)
                liveness.introduce(PEER, now = 2_000, sentAt = 2_000) shouldBe true
                liveness.aliveAt(PEER.incarnation) shouldBe 1_500
                liveness.removeLost(now = 2_201) shouldBe listOf(PEER)
            }

            // The request may be one of an earlier incarnation that was held up.
            it("is not known while another incarnation of it is") {
                val liveness = introduced()
                val other = PEER.copy(incarnation = "incarnation-other")
                liveness.introduce(other, now = 1_100, sentAt = 1_100) shouldBe false
                liveness.aliveAt(other.incarnation).shouldBeNull()
                liveness.removeLost(now = 1_101).shouldBeEmpty()
            }
        }

        // Its cells would be taken over, and its clients' jobs ended, while it goes on with both.
        describe("a connection that was refused at the address of a VM") {
            it("says that the VM has ended if it was last alive before the attempt, and nothing if it was alive later") {
                val liveness = PeerLiveness { 700 }
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 1_000, sentAt = 950)
                liveness.peerAt(PEER.host, PEER.port, heardBefore = 951) shouldBe PEER
                liveness.peerAt(PEER.host, PEER.port, heardBefore = 950).shouldBeNull()
                liveness.peerAt(PEER.host, port = 2, heardBefore = 2_000).shouldBeNull()
            }
        }

        describe("the time of the last heartbeat") {
            it("is unknown before the first heartbeat and after the loss of the VM") {
                val liveness = PeerLiveness { 700 }
                liveness.aliveAt(PEER.incarnation).shouldBeNull()
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 10)
                liveness.aliveAt(PEER.incarnation) shouldBe 10
                liveness.removeLost(now = 711) shouldBe listOf(PEER)
                liveness.aliveAt(PEER.incarnation).shouldBeNull()
            }

            it("is not changed by a pause of this process, after which the VM is declared lost later") {
                val liveness = PeerLiveness { 700 }
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 10)
                liveness.onProcessPause(pauseMs = 500, now = 600)
                liveness.removeLost(now = 1_100).shouldBeEmpty()
                liveness.aliveAt(PEER.incarnation) shouldBe 10
            }
        }

        // It lay in the socket while this VM was paused, and its sender was killed meanwhile.
        describe("a heartbeat that was read late") {
            it("shows that its sender was alive when it was made, not when it was read") {
                val liveness = PeerLiveness { 700 }
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 500, sentAt = 40)
                liveness.aliveAt(PEER.incarnation) shouldBe 40
            }

            it("does not take back what a later one has shown, which it may follow over another connection") {
                val liveness = PeerLiveness { 700 }
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 500, sentAt = 490)
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 510, sentAt = 40)
                liveness.aliveAt(PEER.incarnation) shouldBe 490
            }

            it("dates what it reports of other VMs as well") {
                val liveness = PeerLiveness { 700 }
                liveness.onHeartbeat(PEER, FleetHeartbeat(relayed = mapOf("entry" to 10L)), now = 500, sentAt = 40)
                liveness.reportedAliveAt(PEER.incarnation, "entry") shouldBe 30
            }
        }

        describe("a VM that another one has reported as alive") {
            // A VM of another data centre hears of the client's VM through the dispatching VM only. Without it, no lease could be given.
            it("counts from when that one had heard from it, and only if this is later than what is known") {
                val liveness = PeerLiveness { 700 }
                liveness.onReport(PEER.incarnation, "entry", ageMs = 100, sentAt = 1_000, now = 1_000)
                liveness.reportedAliveAt(PEER.incarnation, "entry") shouldBe 900
                liveness.onReport(PEER.incarnation, "entry", ageMs = 500, sentAt = 1_200, now = 1_200)
                liveness.reportedAliveAt(PEER.incarnation, "entry") shouldBe 900
                liveness.onHeartbeat(PEER, FleetHeartbeat(relayed = mapOf("entry" to 10L)), now = 1_300)
                liveness.reportedAliveAt(PEER.incarnation, "entry") shouldBe 1_290
            }

            it("from the future of this VM's clock is not believed") {
                val liveness = PeerLiveness { 700 }
                liveness.onReport(PEER.incarnation, "entry", ageMs = -5_000, sentAt = 1_000, now = 1_000)
                liveness.reportedAliveAt(PEER.incarnation, "entry") shouldBe 1_000
            }

            // A third VM cannot know that the dispatching VM has not been told of the end of a job.
            it("counts for the runs of the VM that has reported it only") {
                val liveness = PeerLiveness { 700 }
                liveness.onReport("another", "entry", ageMs = 0, sentAt = 1_000, now = 1_000)
                liveness.reportedAliveAt(PEER.incarnation, "entry").shouldBeNull()
                liveness.aliveAt("entry").shouldBeNull()
            }
        }
    })
