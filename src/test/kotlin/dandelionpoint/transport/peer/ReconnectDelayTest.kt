package dandelionpoint.transport.peer

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest

private val RULES = ReconnectRules(minMs = 100, maxMs = 1_000)

/** Time in ms that the next delay takes. */
@OptIn(ExperimentalCoroutinesApi::class)
private suspend fun TestScope.waitMs(delay: ReconnectDelay): Long {
    val begin = currentTime
    delay.awaitNext()
    return currentTime - begin
}

/**
 * Guards against a VM that waits up to a second for its peers after its start, and is not ready meanwhile, because they had tried to reach
 * it in vain before.
 */
internal class ReconnectDelayTest :
    DescribeSpec({
        describe("the delay before an address is tried again") {
            it("doubles up to the longest one, and begins anew after a connection") {
                runTest {
                    val delay = ReconnectDelay(RULES)
                    List(6) { waitMs(delay) } shouldBe listOf(100L, 200L, 400L, 800L, 1_000L, 1_000L)
                    delay.onConnected()
                    waitMs(delay) shouldBe 100L
                }
            }

            it("ends when the peer opens a connection itself, and is short if that one fails") {
                runTest {
                    val delay = ReconnectDelay(RULES)
                    repeat(5) { waitMs(delay) }
                    launch {
                        delay(300)
                        delay.onSeen()
                    }
                    List(2) { waitMs(delay) } shouldBe listOf(300L, 100L)
                }
            }

            it("is the shortest one at least, also for a peer that opens connections all the time") {
                runTest {
                    val delay = ReconnectDelay(RULES)
                    repeat(5) { waitMs(delay) }
                    delay.onSeen()
                    waitMs(delay) shouldBe 100L
                }
            }

            it("is not shortened by what was seen before a connection") {
                runTest {
                    val delay = ReconnectDelay(RULES)
                    delay.onSeen()
                    delay.onConnected()
                    List(3) { waitMs(delay) } shouldBe listOf(100L, 200L, 400L)
                }
            }
        }
    })
