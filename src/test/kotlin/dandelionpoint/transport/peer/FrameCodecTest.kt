package dandelionpoint.transport.peer

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobQueue
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.FreeCapacity
import dandelionpoint.protocol.peer.JobOffer
import dandelionpoint.protocol.peer.PeerFrame
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.ServingState
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import io.ktor.utils.io.ByteReadChannel
import java.nio.ByteBuffer
import kotlin.random.Random

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
                val header = ByteBuffer.allocate(4).putInt(FrameCodec.TIMES_BYTES + 1_025).array()
                shouldThrow<FrameException> { codec.read(ByteReadChannel(header)) }
            }
            // Guards against a process that is no VM and makes this one keep a frame of the size that VMs may send.
            it("above the size limit of a connection's first frame is refused there") {
                val header = ByteBuffer.allocate(4).putInt(FrameCodec.TIMES_BYTES + 513).array()
                shouldThrow<FrameException> { codec.read(ByteReadChannel(header), limit = 512) }
            }
            it("that is too short for its times is refused") {
                val header = ByteBuffer.allocate(4).putInt(FrameCodec.TIMES_BYTES - 1).array()
                shouldThrow<FrameException> { codec.read(ByteReadChannel(header)) }
            }
            it("of random bytes causes no exception other than FrameException") {
                checkAll(PropTestConfig(seed = 11), Arb.byteArray(Arb.int(1..200), Arb.byte())) { bytes ->
                    runCatching { codec.decode(bytes) }.exceptionOrNull()?.let { (it is FrameException) shouldBe true }
                }
            }
            // Guards against lengths within a frame that are negative, too large or nested, where the decoder follows them.
            it("with changed bytes or deep nesting causes no exception other than FrameException") {
                val frames = MESSAGES.map { codec.encode(PeerFrame(7, message = it)) }
                checkAll(PropTestConfig(seed = 13, iterations = 20_000), Arb.element(frames), Arb.long()) { frame, seed ->
                    val changed = Random(seed).changeBytes(frame)
                    withClue(changed.toHexString()) {
                        runCatching { codec.decode(changed) }.exceptionOrNull()?.let { it.shouldBeInstanceOf<FrameException>() }
                    }
                }
                listOf(0x81, 0x9f, 0xa1, 0xbf, 0xc1).forEach { start ->
                    val nested = frames.first() + ByteArray(100_000) { start.toByte() }
                    runCatching { codec.decode(nested) }.exceptionOrNull()?.let { it.shouldBeInstanceOf<FrameException>() }
                    val onlyNested = ByteArray(100_000) { start.toByte() }
                    runCatching { codec.decode(onlyNested) }.exceptionOrNull()?.let { it.shouldBeInstanceOf<FrameException>() }
                }
            }
        }
    })

private val MESSAGES = listOf(
    PeerMessage.Heartbeat(ServingState.SERVING, configVersion = 3, ejected = mapOf("w" to 5L)),
    FleetHeartbeat(mapOf("akl-a/00" to 3L), mapOf("p" to listOf(FreeCapacity(Demand(1_000), 1f))), mapOf("p" to 4)),
    JobOffer(FleetJob("0000000000000001", "s", listOf(JobStep(1, Demand(1), 60, listOf(0)))), JobQueue("q", "p"), 1, 2),
)

private fun Random.changeBytes(frame: ByteArray): ByteArray {
    val changed = frame.copyOf()
    repeat(nextInt(1, 4)) { changed[nextInt(changed.size)] = nextInt(256).toByte() }
    return if (nextBoolean()) changed else changed.copyOf(nextInt(1, changed.size))
}
