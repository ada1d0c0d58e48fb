package dandelionpoint.transport.peer

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.UptimeClock
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private const val STEPS = 400
private const val MAX_STEP_MS = 200L
private const val HOUR_MS = 3_600_000L

/** A clock that is [aheadMs] ahead of the true time. */
private class OffsetClock(private val aheadMs: Long, private val trueMs: () -> Long) : Clock {
    override fun wallMs(): Long = trueMs() + aheadMs

    override fun nanos(): Long = (trueMs() + aheadMs) * 1_000_000
}

/** A frame that the process [from] made at [madeAt], a true time. */
private class Frame(val from: Int, val madeAt: Long, val times: FrameTimes)

/** Two processes whose frames reach each other in any order, late, several times or never. */
private class Exchange(seed: Long) {
    private val random = Random(seed)
    private var now = 0L
    private val clocks = List(2) { UptimeClock(OffsetClock(random.nextLong(100 * HOUR_MS)) { now }) }
    private val stamps = clocks.map { FrameStamps(it) }
    private val underWay = mutableListOf<Frame>()

    /** Times of the frames that were read, with the ages that their receivers took them to have at most. */
    val read = mutableListOf<Pair<Long, Long>>()

    fun run() = repeat(STEPS) {
        now += random.nextLong(MAX_STEP_MS)
        if (random.nextBoolean()) {
            val from = random.nextInt(2)
            underWay += Frame(from, now, stamps[from].timesFor(name(1 - from)))
        } else if (underWay.isNotEmpty()) {
            read(underWay.random(random))
        }
    }

    private fun read(frame: Frame) {
        if (random.nextBoolean()) underWay -= frame
        val receiver = 1 - frame.from
        read += (now - frame.madeAt) to clocks[receiver].millis() - stamps[receiver].onRead(name(frame.from), frame.times)
    }

    private fun name(process: Int) = "incarnation-$process"
}

/** Guards against a frame that is taken to be younger than it is, so that what it asks for or permits counts although it is over. */
internal class FrameStampsTest :
    DescribeSpec({
        it("never make a frame seem younger than it is, whatever the clocks, the order, the delay, the loss and the repetition of frames") {
            checkAll(PropTestConfig(seed = 31, iterations = 500), Arb.long()) { seed ->
                Exchange(seed).apply { run() }.read.forEach { (ageMs, estimateMs) -> estimateMs shouldBeGreaterThanOrEqual ageMs }
            }
        }

        it("make a frame seem as old as the round trip and the time since the last frame in the other direction, and no older") {
            var now = 0L
            val a = FrameStamps(UptimeClock(OffsetClock(0) { now }))
            val b = FrameStamps(UptimeClock(OffsetClock(7 * HOUR_MS) { now }))
            b.onRead("a", a.timesFor("b").also { now += 5 })
            now += 150
            val times = b.timesFor("a")
            now += 5
            now - a.onRead("b", times) shouldBeLessThanOrEqual 160
        }

        it("date nothing before the first stamp of the receiver was read, nor after it was forgotten") {
            val stamps = FrameStamps(UptimeClock(OffsetClock(0) { 50 }))
            stamps.onRead("peer", stamps.timesFor("peer")) shouldBe FrameStamps.UNKNOWN_DATE
            stamps.onRead("peer", stamps.timesFor("peer")) shouldBe 50
            stamps.forget("peer")
            stamps.onRead("peer", stamps.timesFor("peer")) shouldBe FrameStamps.UNKNOWN_DATE
        }

        it("go on when the counter of their milliseconds wraps") {
            var now = (1L shl 31) - 100
            val a = FrameStamps(UptimeClock(OffsetClock(0) { now }))
            val b = FrameStamps(UptimeClock(OffsetClock(0) { now }))
            b.onRead("a", a.timesFor("b"))
            now += 200
            b.onRead("a", a.timesFor("b"))
            val times = b.timesFor("a")
            now += 70
            now - a.onRead("b", times) shouldBe 70
        }
    })
