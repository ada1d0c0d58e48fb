package dandelionpoint.transport.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope

/**
 * Guards against requests that are reported as not written although they were sent, so that a retry would start a task twice. This could
 * happen if a timeout coincides with the start of the write.
 */
class WriteGateTest :
    DescribeSpec({
        describe("a gate") {
            it("does not let an abandoned exchange be written, or a written one be reported as not written") {
                val abandoned = WriteGate()
                abandoned.tryAbandon() shouldBe true
                abandoned.tryWrite() shouldBe false
                val written = WriteGate()
                written.tryWrite() shouldBe true
                written.tryAbandon() shouldBe false
            }
            it("lets exactly one side succeed when a timeout coincides with the start of a write") {
                repeat(2_000) {
                    val gate = WriteGate()
                    val start = CompletableDeferred<Unit>()
                    coroutineScope {
                        val write = async(Dispatchers.Default) { start.await().let { gate.tryWrite() } }
                        val abandon = async(Dispatchers.Default) { start.await().let { gate.tryAbandon() } }
                        start.complete(Unit)
                        (write.await() != abandon.await()) shouldBe true
                    }
                }
            }
        }
    })
