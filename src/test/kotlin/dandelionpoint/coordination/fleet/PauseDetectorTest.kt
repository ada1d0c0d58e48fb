package dandelionpoint.coordination.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe

private const val TICK_MS = 40L

/** Guards against pauses that are missed, above all suspensions, and against steps of the clock back that are taken for one. */
internal class PauseDetectorTest :
    DescribeSpec({
        val clock = VirtualClock()
        val detector = PauseDetector(clock, TICK_MS)

        beforeTest { detector.observe() }

        describe("a pause") {
            it("that both clocks count is detected once, by whoever observes first") {
                clock.advance(600)
                detector.observe() shouldBe ProcessPause(maxMs = 600, monotonicMs = 600)
                detector.observe().shouldBeNull()
            }

            it("that only the wall clock counts is detected") {
                clock.wallMs += 3_000
                detector.observe() shouldBe ProcessPause(maxMs = 3_000, monotonicMs = 0)
            }

            it("is not seen in a late tick or before the first observation") {
                clock.advance(TICK_MS + 250)
                detector.observe().shouldBeNull()
                PauseDetector(clock, TICK_MS).observe().shouldBeNull()
            }

            it("is detected right after the wall clock was set back, but not while it was") {
                clock.wallMs -= 3_000
                clock.advance(TICK_MS)
                detector.observe().shouldBeNull()
                clock.wallMs += 1_000
                detector.observe() shouldBe ProcessPause(maxMs = 1_000, monotonicMs = 0)
            }
        }
    })
