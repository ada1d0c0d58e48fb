/*
 * Guards against tasks that run twice at the same time and against overbooked workers. Both come about when the owner of a cell takes a
 * run for ended, or a worker for free, because of an answer that was lost, came late or was sent before a later event.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.StartRefusal
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

private val RULES = FleetRules()
private const val TOKEN = 7L

internal fun Cell.receiveRunLists(vararg ids: String, now: Long = 0) {
    updateWorkers(ids.map { worker(it) })
    ids.forEach { onReport(checkNotNull(planLease(it, now)), report(clockMs = now), now) }
}

internal fun Cell.placed(order: RunOrder, now: Long = 0): Placement = checkNotNull(place(order, now))

internal fun Cell.started(order: RunOrder, now: Long = 0): Placement =
    placed(order, now).also { onStart(it, StartOutcome.Started(now), now) }

internal fun List<CellEvent>.ends() = filterIsInstance<CellEvent.Ended>().map { it.order.run to it.end }

internal fun List<CellEvent>.stops() = filterIsInstance<CellEvent.Stop>().map { it.run }

internal class CellTest :
    DescribeSpec({
        describe("capacity") {
            it("is not assigned on a worker whose run list was not received under this token") {
                val cell = Cell("akl-a", TOKEN)
                cell.updateWorkers(listOf(worker("w")))
                cell.place(order(), 0).shouldBeNull()
            }

            it("is never overbooked") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                cell.placed(order("a"))
                cell.placed(order("b"))
                withClue("16 cores are enough for two tasks of 7 cores, not for three") { cell.place(order("c"), 0).shouldBeNull() }
            }

            it("is occupied until the end of a stopped run is listed") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                cell.started(order("a"))
                cell.started(order("b"))
                cell.stopRuns(now = 5) { it.task.jobId == "a" }.stops() shouldHaveSize 1
                cell.onStopped("w", order("a").run, 10)
                cell.place(order("c"), 10).shouldBeNull()
                val plan = checkNotNull(cell.planLease("w", 20))
                cell.onReport(plan, report(20, running = listOf(order("b").run), ended = listOf(order("a").run to RunEnd.LOST)), 21)
                cell.place(order("c"), 30).shouldNotBeNull()
            }

            it("is not assigned on a draining worker") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                cell.updateWorkers(listOf(worker("w", isDraining = true)))
                cell.place(order(), 10).shouldBeNull()
            }

            it("is not assigned before the former owner has released the worker") {
                val cell = Cell("akl-a", TOKEN)
                cell.awaitRelease(setOf("w"))
                cell.updateWorkers(listOf(worker("w")))
                cell.planLease("w", 0).shouldBeNull()
                cell.awaitRelease(emptySet())
                cell.planLease("w", 1).shouldNotBeNull()
            }

            // The list of workers of either VM may be behind, so that one knows a worker that the other one does not.
            it("is assigned on a worker that the former owner does not know, once that has reported what it uses") {
                val cell = Cell("akl-a", TOKEN)
                cell.awaitRelease(null)
                cell.updateWorkers(listOf(worker("used"), worker("unknown")))
                cell.planLease("unknown", 0).shouldBeNull()
                cell.awaitRelease(setOf("used"))
                cell.updateWorkers(listOf(worker("used"), worker("unknown"), worker("later")))
                cell.planLease("used", 1).shouldBeNull()
                cell.planLease("unknown", 1).shouldNotBeNull()
                cell.planLease("later", 1).shouldNotBeNull()
            }
        }

        describe("a task that failed on a worker") {
            it("waits for another worker instead of using up its attempts on the one where it failed") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("bad", "good") }
                repeat(2) { cell.started(order("first", index = it)).worker.id }
                repeat(2) { cell.started(order("second", index = it)).worker.id }
                val failed = order("first").copy(run = order("first", run = 2).run, avoid = "bad", hasFailed = true)
                val plan = checkNotNull(cell.planLease("bad", 10))
                val ended = listOf("first", "second").flatMap { job -> List(2) { order(job, index = it).run to RunEnd.FAILED } }
                cell.onReport(plan, report(10, ended = ended), 11)
                cell.place(failed, 12).shouldBeNull()
                cell.place(failed.copy(hasFailed = false), 12).shouldNotBeNull().worker.id shouldBe "bad"
            }

            it("is placed there again if there is no other worker") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("bad") }
                cell.placed(order().copy(avoid = "bad", hasFailed = true)).worker.id shouldBe "bad"
            }
        }

        describe("the number of cores used for estimates") {
            it("includes workers whose first run list has not arrived yet, so that jobs are not refused just after a start") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                cell.updateWorkers(listOf(worker("w"), worker("new"), worker("leaving", isDraining = true)))
                cell.cores() shouldBe mapOf(POOL to 32)
            }

            it("excludes unresponsive workers") {
                val cell = Cell("akl-a", TOKEN)
                cell.updateWorkers(listOf(worker("w")))
                cell.onNoAnswer(checkNotNull(cell.planLease("w", 0)))
                cell.cores() shouldBe emptyMap()
            }
        }

        describe("a start order without an answer") {
            it("is not taken as ended while the worker may still carry it out") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                val placement = cell.placed(order())
                cell.onStart(placement, StartOutcome.Unknown("timeout"), 400).ends().shouldBeEmpty()
                cell.tick(500).ends().shouldBeEmpty()
            }

            it("ends as lost after the stop is confirmed and a later run list does not contain the run") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                val placement = cell.placed(order())
                cell.onStart(placement, StartOutcome.Unknown("timeout"), 400).ends().shouldBeEmpty()
                val poll = checkNotNull(cell.planPoll("w", 401))
                val events = cell.onReport(poll, report(401), 402)
                events.stops() shouldBe listOf(placement.order.run)
                events.ends().shouldBeEmpty()
                cell.onStopped("w", placement.order.run, 405)
                val plan = checkNotNull(cell.planLease("w", 410))
                cell.onReport(plan, report(410), 411).ends() shouldBe listOf(placement.order.run to RunEnd.LOST)
            }

            it("is not judged by a run list that was requested before its timeout") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                val placement = cell.placed(order())
                val earlier = checkNotNull(cell.planLease("w", 10))
                cell.onStart(placement, StartOutcome.Unknown("timeout"), 150)
                cell.onReport(earlier, report(160), 160).shouldBeEmpty()
            }

            it("is not taken as ended because of a run list that was requested before its stop was confirmed") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                val placement = cell.placed(order())
                val earlier = checkNotNull(cell.planLease("w", 10))
                cell.onStart(placement, StartOutcome.Unknown("timeout"), 150)
                cell.onReport(checkNotNull(cell.planPoll("w", 151)), report(152), 152).stops() shouldBe listOf(placement.order.run)
                cell.onStopped("w", placement.order.run, 160)
                withClue("the worker may still be stopping the run") { cell.onReport(earlier, report(20), 165).ends().shouldBeEmpty() }
            }

            it("that a run list shows as running is not taken as ended because of an earlier list that arrives later") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                val placement = cell.placed(order())
                cell.onStart(placement, StartOutcome.Unknown("timeout"), 150)
                val older = checkNotNull(cell.planPoll("w", 151))
                val newer = checkNotNull(cell.planPoll("w", 152))
                cell.onReport(newer, report(160, running = listOf(placement.order.run)), 165)
                cell.onReport(older, report(155), 170).ends().shouldBeEmpty()
            }

            it("of a job that has ended is not taken as ended before its stop is confirmed") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                val placement = cell.placed(order())
                cell.stopRuns(now = 5) { true }.stops() shouldBe listOf(placement.order.run)
                cell.onStart(placement, StartOutcome.Unknown("timeout"), 150)
                val events = cell.onReport(checkNotNull(cell.planPoll("w", 151)), report(152), 153)
                withClue("a repeated submission of the job could run at the same time") { events.ends().shouldBeEmpty() }
                events.stops() shouldBe listOf(placement.order.run)
            }

            it("is kept if a later run list shows it as running") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                val placement = cell.placed(order())
                cell.onStart(placement, StartOutcome.Unknown("timeout"), 100)
                val plan = checkNotNull(cell.planLease("w", 110))
                val events = cell.onReport(plan, report(110, running = listOf(placement.order.run)), 111)
                events.ends().shouldBeEmpty()
                events.stops().shouldBeEmpty()
            }

            it("is stopped when a worker carries it out after the run has been given up") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                val late = order(run = 1)
                val plan = cell.apply { started(order("other")) }.planLease("w", 3_000)
                cell.onReport(
                    checkNotNull(plan),
                    report(3_000, running = listOf(order("other").run, late.run)),
                    3_001,
                ).stops() shouldContain
                    late.run
            }
        }

        describe("an unresponsive worker") {
            it("keeps its runs until its lease has certainly expired, and calls do not renew the lease meanwhile") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                cell.started(order())
                val plan = checkNotNull(cell.planLease("w", 100))
                cell.onNoAnswer(plan)
                val again = checkNotNull(cell.planLease("w", 900))
                again.call.leaseUntilMs.shouldBeNull()
                cell.tick(1_090).ends().shouldBeEmpty()
                cell.tick(100 + RULES.longestLeaseMs + 1).ends() shouldBe listOf(order().run to RunEnd.LOST)
            }

            it("gets no further runs") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                cell.started(order())
                cell.onNoAnswer(checkNotNull(cell.planLease("w", 100)))
                cell.place(order("b"), 110).shouldBeNull()
            }
        }

        describe("a run") {
            it("that is stalled is stopped, and its end is reported only when the worker lists it") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                cell.started(order(estimateMs = 60))
                val plan = checkNotNull(cell.planLease("w", 600))
                val events = cell.onReport(plan, report(600, running = listOf(order().run), percent = 0), 601)
                events.stops() shouldBe listOf(order().run)
                events.ends().shouldBeEmpty()
            }

            it("that only takes longer than declared is not stopped") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                cell.started(order(estimateMs = 600))
                val plan = checkNotNull(cell.planLease("w", 900))
                cell.onReport(plan, report(900, running = listOf(order().run), percent = 80), 900).stops().shouldBeEmpty()
            }

            it("whose declared run time is far too short is moved only once") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                cell.started(order(run = 2, estimateMs = 60))
                val plan = checkNotNull(cell.planLease("w", 800))
                cell.onReport(plan, report(800, running = listOf(order(run = 2).run), percent = 10), 801).stops().shouldBeEmpty()
            }

            it("is lost when its worker restarts under the same id") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                cell.started(order())
                val plan = checkNotNull(cell.planLease("w", 100))
                cell.onReport(plan, report(5, startedAtMs = 99), 101).ends() shouldBe listOf(order().run to RunEnd.LOST)
            }

            it("that its worker's new incarnation has already started is not lost when the restart is noticed") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                cell.started(order())
                val plan = checkNotNull(cell.planLease("w", 100))
                cell.onReport(plan, report(5, running = listOf(order().run), startedAtMs = 99), 101).shouldBeEmpty()
            }

            it("is not judged by a late answer from its worker's former incarnation") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                val earlier = checkNotNull(cell.planPoll("w", 50))
                cell.onReport(checkNotNull(cell.planPoll("w", 60)), report(1, startedAtMs = 99), 61)
                cell.updateWorkers(listOf(worker("w", startedAtMs = 99)))
                cell.started(order(), now = 70)
                cell.onReport(earlier.copy(sentAt = 80), report(90, startedAtMs = 1), 90).shouldBeEmpty()
            }

            it("has its end handled once, even if the worker lists it again") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                cell.started(order())
                val done = report(60, ended = listOf(order().run to RunEnd.DONE))
                cell.onReport(checkNotNull(cell.planLease("w", 10)), done, 61).ends() shouldHaveSize 1
                cell.onReport(checkNotNull(cell.planLease("w", 62)), done, 63).ends().shouldBeEmpty()
            }
        }

        describe("the end of a run") {
            it("is acknowledged even if no further run follows") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                cell.started(order())
                cell.onReport(checkNotNull(cell.planLease("w", 10)), report(60, ended = listOf(order().run to RunEnd.DONE)), 61)
                val plan = checkNotNull(cell.planLease("w", 62))
                plan.call.seenEnd shouldBe 1
                cell.onReport(plan, report(63), 63)
                cell.planLease("w", 64).shouldBeNull()
            }
        }

        describe("a worker that fails its runs") {
            it("is avoided after runs of two jobs have failed, but not because of a single failing job") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                cell.started(order("a"))
                cell.onReport(checkNotNull(cell.planLease("w", 10)), report(11, ended = listOf(order("a").run to RunEnd.FAILED)), 11)
                cell.started(order("a", index = 1), now = 12)
                val second = report(13, ended = listOf(order("a", index = 1).run to RunEnd.FAILED), firstEnd = 2)
                cell.onReport(checkNotNull(cell.planLease("w", 12)), second, 13)
                cell.started(order("b"), now = 14)
                val third = report(15, ended = listOf(order("b").run to RunEnd.FAILED), firstEnd = 3)
                cell.onReport(checkNotNull(cell.planLease("w", 14)), third, 15)
                cell.place(order("c"), 16).shouldBeNull()
                cell.place(order("c"), 16 + RULES.ejectMs).shouldNotBeNull()
            }
        }

        describe("another owner of the cell") {
            it("is noticed when a start order is refused as fenced, and the run then counts as not started") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
                val placement = cell.placed(order())
                val events = cell.onStart(placement, StartOutcome.Refused(StartRefusal.FENCED), 5)
                events shouldContain CellEvent.Fenced
                events.ends() shouldBe listOf(placement.order.run to RunEnd.NOT_STARTED)
            }
        }
    })
