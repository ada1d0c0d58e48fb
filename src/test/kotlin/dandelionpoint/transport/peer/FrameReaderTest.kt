package dandelionpoint.transport.peer

import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.peer.CellHandover
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.FreeCapacity
import dandelionpoint.protocol.peer.PeerFrame
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.ReleaseAnswer
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeSameInstanceAs
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.element
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.launch
import java.nio.ByteBuffer

private fun heartbeat(freeMilli: Int, age: Long) = FleetHeartbeat(
    cells = mapOf("akl-a/00" to 3L),
    freeCapacity = mapOf("p" to listOf(FreeCapacity(Demand(freeMilli), 1f))),
    relayed = mapOf("incarnation-1" to age),
)

private val FRAMES = listOf(
    PeerFrame(0, message = heartbeat(freeMilli = 1_000, age = 5)),
    PeerFrame(0, message = heartbeat(freeMilli = 1_000, age = 6)),
    PeerFrame(0, message = heartbeat(freeMilli = 2_000, age = 5)),
    PeerFrame(0, message = CellHandover("akl-a/00")),
    PeerFrame(7, message = PeerMessage.ConfigPull(1)),
    PeerFrame(7, isReply = true, message = ReleaseAnswer),
)

private val TIMES = FrameTimes(stamp = 5, echo = -3)

/** Guards against a heartbeat that is taken for an older one, by which a VM would act on cells or capacity that a peer no longer has. */
internal class FrameReaderTest :
    DescribeSpec({
        val codec = FrameCodec()

        fun bytes(frames: List<PeerFrame>): ByteArray = frames.fold(ByteArray(0)) { stream, frame ->
            val body = codec.encode(frame)
            val head = ByteBuffer.allocate(Int.SIZE_BYTES + FrameCodec.TIMES_BYTES)
            stream + head.putInt(FrameCodec.TIMES_BYTES + body.size).putInt(TIMES.stamp).putInt(TIMES.echo).array() + body
        }

        it("returns the frames that were sent, in any order, with repetitions and cut at any byte") {
            val sequences = Arb.list(Arb.element(FRAMES), 1..30)
            checkAll(PropTestConfig(seed = 17, iterations = 500), sequences, Arb.int(1..400)) { frames, chunk ->
                val channel = ByteChannel()
                val sender = launch {
                    bytes(frames).asList().chunked(chunk).forEach {
                        channel.writeFully(it.toByteArray())
                        channel.flush()
                    }
                }
                val reader = FrameReader(channel, codec)
                List(frames.size) { reader.next() } shouldBe frames.map { ReadFrame(TIMES, it) }
                sender.join()
            }
        }

        it("returns the times of a frame without a message, and goes on behind it") {
            val empty = ByteBuffer.allocate(
                Int.SIZE_BYTES + FrameCodec.TIMES_BYTES,
            ).putInt(FrameCodec.TIMES_BYTES).putInt(8).putInt(9).array()
            val reader = FrameReader(ByteReadChannel(empty + bytes(FRAMES.take(1))), codec)
            reader.next() shouldBe ReadFrame(FrameTimes(stamp = 8, echo = 9), frame = null)
            reader.next() shouldBe ReadFrame(TIMES, FRAMES.first())
        }

        it("returns the same object for a heartbeat that reports no change, also if calls come between") {
            val (first, changed) = FRAMES
            val call = FRAMES.first { it.call != 0L }
            val reader = FrameReader(ByteReadChannel(bytes(listOf(first, call, first, changed, first))), codec)
            val read = List(5) { reader.next().frame }
            read[2] shouldBeSameInstanceAs read[0]
            read[3] shouldBe changed
            read[4] shouldBe first
        }
    })
