package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Cells
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.FormerDispatchers
import dandelionpoint.coordination.fleet.RunDemand
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.worker
import dandelionpoint.protocol.SchedulerClock
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.CellUse
import dandelionpoint.protocol.peer.CellUseAnswer
import dandelionpoint.protocol.peer.CellUseQuery
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.standin.fleet.MemoryWorkers
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest

private const val TOKEN = 2L
private const val INTERVAL_MS = 250L
private const val TICK_MS = 50L
private val CELL = Cells.ofWorker(worker("w"))
private val FORMER = VmIdentity("former", "incarnation-former", "north", "akl-a", "127.0.0.1", 1)

/** Answers queries by [answer], null for one that is lost. */
private class AnsweringLink : PeerLink {
    val queries = mutableListOf<CellUseQuery>()
    var answer: List<CellUse>? = null

    override suspend fun call(to: VmIdentity, message: PeerMessage, timeoutMs: Long): PeerReply {
        queries += message as CellUseQuery
        return answer?.let { PeerReply.Answered(CellUseAnswer(it)) } ?: PeerReply.Lost("no answer")
    }

    override fun send(to: VmIdentity, message: PeerMessage) = Unit
}

/** A VM that takes [CELL] over from [FORMER], in virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
private class NewOwner(private val test: TestScope) : CellListener {
    val link = AnsweringLink()
    val formers = FormerDispatchers()
    private val clock = SchedulerClock(test)
    private val cells =
        OwnedCells(test.backgroundScope, MemoryWorkers(), this, { emptyList() }, clock, FleetRules(), RunDemand.Always, formers)
    val takeovers = CellTakeovers(test.backgroundScope, link, cells, formers, clock::millis) { }

    override fun ended(order: RunOrder, end: RunEnd, workerId: String) = Unit

    override fun fenced(cell: String) = Unit

    fun now() = clock.millis()

    fun gain() {
        formers.gained(CELL, TOKEN, FORMER, now())
        cells.gain(CELL, TOKEN)
    }

    fun runFor(ms: Long) = repeat((ms / TICK_MS).toInt()) {
        test.advanceTimeBy(TICK_MS)
        takeovers.tick()
        test.runCurrent()
    }
}

private fun withNewOwner(test: NewOwner.() -> Unit) = runTest { NewOwner(this).test() }

/** Guards against a new owner that waits for a report which the former owner takes for delivered, or never makes. */
internal class CellTakeoversTest :
    DescribeSpec({
        describe("the new owner of a cell") {
            // The answer to its claim may come later than the former owner's report (review case 2).
            it("does not confirm a report that comes before it knows that it owns the cell") {
                withNewOwner {
                    takeovers.onReport(FORMER, CellUse(CELL, TOKEN), sentAt = now()) shouldBe false
                    gain()
                    formers.isAwaitingReport(CELL) shouldBe true
                    takeovers.onReport(FORMER, CellUse(CELL, TOKEN), sentAt = now()) shouldBe true
                    formers.isAwaitingReport(CELL) shouldBe false
                }
            }

            // The former owner may have taken it for lost meanwhile, and report nothing any more (review case 6).
            it("asks the former owner at a fixed interval until nothing is in use any more") {
                withNewOwner {
                    gain()
                    runFor(2 * INTERVAL_MS)
                    link.queries shouldBe List(2) { CellUseQuery(mapOf(CELL to TOKEN)) }
                    link.answer = listOf(CellUse(CELL, TOKEN, setOf("w"), setOf("job")))
                    runFor(INTERVAL_MS)
                    formers.usedWorkers(CELL) shouldBe setOf("w")
                    link.answer = listOf(CellUse(CELL, TOKEN))
                    runFor(2 * INTERVAL_MS)
                    formers.openJobs(CELL).orEmpty().shouldBeEmpty()
                    link.queries shouldHaveSize 4
                }
            }

            it("asks nothing if the former owner reports that nothing is in use at once") {
                withNewOwner {
                    gain()
                    takeovers.onReport(FORMER, CellUse(CELL, TOKEN), sentAt = now())
                    runFor(4 * INTERVAL_MS)
                    link.queries.shouldBeEmpty()
                }
            }

            it("asks nothing any more once the former owner is lost") {
                withNewOwner {
                    gain()
                    formers.peerLost(FORMER)
                    runFor(4 * INTERVAL_MS)
                    link.queries.shouldBeEmpty()
                }
            }

            it("keeps to what a later report has released when an earlier one arrives after it") {
                withNewOwner {
                    gain()
                    takeovers.onReport(FORMER, CellUse(CELL, TOKEN, setOf("w"), setOf("job")), sentAt = now())
                    takeovers.onReport(FORMER, CellUse(CELL, TOKEN), sentAt = now())
                    takeovers.onReport(FORMER, CellUse(CELL, TOKEN, setOf("w"), setOf("job")), sentAt = now())
                    formers.usedWorkers(CELL).orEmpty().shouldBeEmpty()
                    formers.dispatcherOf(CELL, "job") shouldBe null
                }
            }
        }
    })
