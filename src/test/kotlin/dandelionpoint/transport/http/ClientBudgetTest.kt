package dandelionpoint.transport.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.shouldBe

private const val MB = 1_048_576L

/** The heap of deploy/system.toml. */
private const val HEAP = 96 * MB

/**
 * Guards against clients that together hold more memory than the process has, an ordinary request that is refused because others hold much,
 * amounts that are never given back, and defaults that a client within the platform's bounds reaches.
 */
internal class ClientBudgetTest :
    DescribeSpec({
        val limits = ClientLimits(unfinishedBytes = 100_000, parsedBytes = 100_000)

        describe("the budget of all clients") {
            it("refuses those that hold much first, and has room for ordinary requests beside them") {
                val reached = mutableListOf<ClientLimit>()
                val budget = ClientBudget(limits) { reached += it }
                ClientHolding(budget).addUnfinished(74_000) shouldBe true
                ClientHolding(budget).addUnfinished(20_000) shouldBe false
                reached shouldContainExactly listOf(ClientLimit.UNFINISHED_BYTES)
                repeat(3) { ClientHolding(budget).addUnfinished(8_000) shouldBe true }
                ClientHolding(budget).addUnfinished(8_000) shouldBe false
                budget.unfinished.held() shouldBe 98_000
                budget.unfinished.isFull() shouldBe true
                budget.parsed.isFull() shouldBe false
            }

            it("counts what one client holds in all, so that many small additions give it no more") {
                val budget = ClientBudget(limits)
                val client = ClientHolding(budget)
                val added = List(100) { client.addUnfinished(2_000) }.count { it }
                added shouldBe 37
            }

            it("gets back everything when a request is answered, or its connection is closed") {
                val budget = ClientBudget(limits)
                val client = ClientHolding(budget)
                client.addUnfinished(5_000)
                client.addUnfinished(1_000)
                client.removeUnfinished(5_000)
                budget.unfinished.held() shouldBe 1_000
                client.setParsed(50_000) shouldBe true
                client.setParsed(3_000) shouldBe true
                budget.parsed.held() shouldBe 3_000
                repeat(2) { client.release() }
                budget.unfinished.held() shouldBe 0
                budget.parsed.held() shouldBe 0
            }

            // Guards against an amount that is lost for good because a connection was closed while its request was being read.
            it("gives nothing to a client whose connection is closed") {
                val budget = ClientBudget(limits)
                val client = ClientHolding(budget)
                client.addUnfinished(5_000)
                client.close()
                client.removeUnfinished(5_000)
                client.addUnfinished(1_000) shouldBe false
                client.setParsed(1_000) shouldBe false
                budget.unfinished.held() shouldBe 0
                budget.parsed.held() shouldBe 0
            }

            it("keeps what a client holds if it is refused more") {
                val budget = ClientBudget(limits)
                val client = ClientHolding(budget)
                client.setParsed(2_000)
                client.setParsed(80_000) shouldBe false
                budget.parsed.held() shouldBe 2_000
            }
        }

        describe("the limits of a process") {
            it("follow from its memory and its descriptors") {
                val least = ClientLimits.of(memoryMb = 160, heapBytes = HEAP, sockets = 2_012)
                least shouldBe ClientLimits()
                val small = ClientLimits.of(memoryMb = 160, heapBytes = 40 * MB, sockets = 200)
                small.connections shouldBe 100
                small.parsedBytes shouldBeLessThan least.parsedBytes
            }

            it("leave at least half of the heap to the rest of the process") {
                val memory = with(ClientLimits()) { connections * 16_384L + unfinishedBytes + parsedBytes }
                memory shouldBeLessThan HEAP / 2
            }

            // 130 clients in a data centre of at least 7 VMs; each sends the longest body that the platform allows.
            it("have room for the longest legal body and for the bodies of all ordinary clients at once") {
                val reached = mutableListOf<ClientLimit>()
                val budget = ClientBudget(ClientLimits()) { reached += it }
                ClientHolding(budget).addUnfinished(2L * budget.limits.bodyBytes) shouldBe true
                repeat(130) { ClientHolding(budget).addUnfinished(8_192) shouldBe true }
                budget.limits.bodyBytes shouldBeGreaterThanOrEqualTo 262_144
                budget.limits.headerBytes shouldBeGreaterThanOrEqualTo 16_384
                budget.limits.connections shouldBeGreaterThanOrEqualTo 130
                budget.limits.receiveMs.toInt() shouldBeGreaterThanOrEqualTo 3_000
                budget.limits.idleMs.toInt() shouldBeGreaterThanOrEqualTo 15_000
                reached.shouldBeEmpty()
            }
        }

        describe("the log of reached limits") {
            it("counts each one, and writes at most one line a minute for each limit") {
                var now = 0L
                val lines = mutableListOf<String>()
                val log = ClientLimitLog({ now }) { lines += it }
                repeat(1_000) { log.onReached(ClientLimit.BODY_BYTES) }
                log.onReached(ClientLimit.CONNECTIONS)
                now += 61_000_000_000L
                log.onReached(ClientLimit.BODY_BYTES)
                lines shouldContainExactly listOf(
                    "event=client_limit limit=body_bytes reached=1",
                    "event=client_limit limit=connections reached=1",
                    "event=client_limit limit=body_bytes reached=1001",
                )
                log.counts().getValue(ClientLimit.BODY_BYTES) shouldBe 1_001
            }
        }
    })
