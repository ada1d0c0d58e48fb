package dandelionpoint.transport.peer

import dandelionpoint.protocol.peer.PeerFrame
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.ServingState
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import io.ktor.utils.io.ByteReadChannel
import java.nio.ByteBuffer

/**
 * Guards against frames that harm the receiving VM: a length prefix that makes it allocate too much memory, and bytes for which the CBOR
 * decoder throws an exception that the connection does not handle.
 */
class FrameCodecTest :
    DescribeSpec({
        val codec = FrameCodec(maxBytes = 1_024, bodyTimeoutMs = 100)

        describe("a frame") {
            it("is decoded to the same frame that was encoded") {
                val frame =
                    PeerFrame(7, message = PeerMessage.Heartbeat(ServingState.SERVING, configVersion = 3, ejected = mapOf("w" to 5L)))
                codec.decode(codec.encode(frame)) shouldBe frame
            }
            it("above the size limit is refused before its body is read, so that a peer cannot exhaust memory") {
                val header = ByteBuffer.allocate(4).putInt(1_025).array()
                shouldThrow<FrameException> { codec.read(ByteReadChannel(header)) }
            }
            it("of random bytes causes no exception other than FrameException") {
                checkAll(PropTestConfig(seed = 11), Arb.byteArray(Arb.int(1..200), Arb.byte())) { bytes ->
                    runCatching { codec.decode(bytes) }.exceptionOrNull()?.let { (it is FrameException) shouldBe true }
                }
            }
        }
    })
