package dandelionpoint.protocol

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

private class TwoClocks(var monotonicMs: Long = 5_000, var wallMs: Long = 1_000_000) : Clock {
    override fun wallMs(): Long = wallMs

    override fun nanos(): Long = monotonicMs * 1_000_000

    fun advance(ms: Long) {
        monotonicMs += ms
        wallMs += ms
    }
}

/** Guards against a suspension of this machine that makes what peers have said seem younger than it is. */
internal class UptimeClockTest :
    DescribeSpec({
        it("counts the time that both clocks count once, and suspensions, which only the wall clock counts") {
            val clocks = TwoClocks()
            val uptime = UptimeClock(clocks)
            clocks.advance(100)
            uptime.millis() shouldBe 5_100
            clocks.wallMs += 460
            uptime.millis() shouldBe 5_560
            clocks.advance(10)
            uptime.millis() shouldBe 5_570
        }

        it("never goes back, and does not run fast, when the wall clock is set back or read a little earlier or later") {
            val clocks = TwoClocks()
            val uptime = UptimeClock(clocks)
            clocks.wallMs -= 4_000
            uptime.millis() shouldBe 5_000
            repeat(1_000) {
                clocks.wallMs += if (it % 2 == 0) 2 else -2
                uptime.millis()
            }
            uptime.millis() shouldBe 5_000
        }
    })
