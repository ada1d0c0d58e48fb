package dandelionpoint.transport.peer

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.string.shouldContain

/** Guards against a process that fills the log by opening connections which are refused, and against refusals that nobody can see. */
internal class RefusalLogTest :
    DescribeSpec({
        describe("refused connections") {
            it("are logged one by one at first, then once a minute with their number") {
                var now = 0L
                val lines = mutableListOf<String>()
                val log = RefusalLog({ now }) { lines += it }
                repeat(1_000) { log.onRefused("inbound", "too many connections") }
                lines shouldHaveSize 50
                now += 61_000_000_000L
                repeat(2) { log.onRefused("inbound", "first frame is not Hello") }
                lines shouldHaveSize 51
                lines.last() shouldContain "refused=1001"
            }
        }
    })
