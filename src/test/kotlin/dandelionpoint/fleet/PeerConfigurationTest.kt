package dandelionpoint.fleet

import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest

private const val NEW_VERSION = 8L
private const val ANSWER_MS = 200L

/** Longest time in which an announced configuration has to be in force without the store, in ms. */
private const val BOUND_MS = 1_000L

private fun peer(number: Int) = VmIdentity("vm-$number", "incarnation-$number", "north", "akl-a", "127.0.0.1", number)

/** Answers each question of a VM that has version 7 with version 8 after 200 ms, but for the first [losses]. */
private class ConfigurationFixture(scope: TestScope, private var losses: Int = 0) : PeerLink {
    var version = NEW_VERSION - 1
    var questions = 0
        private set
    var documents = 0
        private set
    private val configuration = PeerConfiguration(scope.backgroundScope, this, { version }) { document, _ ->
        documents++
        version = document.decodeToString().toLong()
    }

    override suspend fun call(to: VmIdentity, message: PeerMessage, timeoutMs: Long): PeerReply {
        questions++
        delay(ANSWER_MS)
        if (losses-- > 0) return PeerReply.Lost("connection closed")
        return PeerReply.Answered(PeerMessage.ConfigChanges(NEW_VERSION, "$NEW_VERSION"))
    }

    override fun send(to: VmIdentity, message: PeerMessage) = Unit

    /** Thirty peers announce version 8 every 150 ms for [periodMs]. */
    suspend fun announce(periodMs: Long) = repeat((periodMs / HeartbeatSender.INTERVAL_MS).toInt()) {
        repeat(30) { configuration.onAnnounced(NEW_VERSION, peer(it)) }
        delay(HeartbeatSender.INTERVAL_MS)
    }
}

/**
 * Guards against a change of configuration that takes all processor time and links of the VMs: each heartbeat of a peer that already had
 * a configuration of 1,200 routes made the others ask for it, and each answer was decoded.
 */
class PeerConfigurationTest :
    DescribeSpec({
        describe("a configuration that peers announce") {
            it("is not asked for if the store gives it soon") {
                runTest {
                    val fixture = ConfigurationFixture(this)
                    fixture.announce(HeartbeatSender.INTERVAL_MS)
                    fixture.version = NEW_VERSION
                    fixture.announce(BOUND_MS)
                    fixture.questions shouldBe 0
                }
            }

            it("is asked for once, and decoded once, if the store does not give it") {
                runTest {
                    val fixture = ConfigurationFixture(this)
                    fixture.announce(BOUND_MS)
                    fixture.version shouldBe NEW_VERSION
                    fixture.questions shouldBe 1
                    fixture.documents shouldBe 1
                }
            }

            it("is asked for again if an answer is lost") {
                runTest {
                    val fixture = ConfigurationFixture(this, losses = 1)
                    fixture.announce(2 * BOUND_MS)
                    fixture.version shouldBe NEW_VERSION
                    fixture.questions shouldBe 2
                }
            }
        }
    })
