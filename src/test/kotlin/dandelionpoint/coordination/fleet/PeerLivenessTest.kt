/* Guards against leases that are renewed for a VM that is no longer there, because a pause of this process hid how long it was silent. */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.VmIdentity
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

private val PEER = VmIdentity("b", "b-1", "akl", "akl-a", "127.0.0.1", 1)

class PeerLivenessTest :
    DescribeSpec({
        describe("the time of the last heartbeat") {
            it("is unknown before the first heartbeat and after the loss of the VM") {
                val liveness = PeerLiveness(unresponsiveMs = 700)
                liveness.heardAt("b-1").shouldBeNull()
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 10)
                liveness.heardAt("b-1") shouldBe 10
                liveness.removeLost(now = 711) shouldBe listOf(PEER)
                liveness.heardAt("b-1").shouldBeNull()
            }

            it("is not changed by a pause of this process, after which the VM is declared lost later") {
                val liveness = PeerLiveness(unresponsiveMs = 700)
                liveness.onHeartbeat(PEER, FleetHeartbeat(), now = 10)
                liveness.onProcessPause(pauseMs = 500)
                liveness.removeLost(now = 1_100).shouldBeEmpty()
                liveness.heardAt("b-1") shouldBe 10
            }
        }
    })
