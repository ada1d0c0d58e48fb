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

private fun Cell.know(vararg ids: String, now: Long = 0) {
    updateWorkers(ids.map { worker(it) })
    ids.forEach { onReport(checkNotNull(planLease(it, now)), report(clockMs = now), now) }
}

private fun Cell.placed(order: RunOrder, now: Long = 0): Placement = checkNotNull(place(order, now))

private fun Cell.started(order: RunOrder, now: Long = 0): Placement =
    placed(order, now).also { onStart(it, StartOutcome.Started(now), now) }

private fun List<CellEvent>.ends() = filterIsInstance<CellEvent.Ended>().map { it.order.run to it.end }

private fun List<CellEvent>.stops() = filterIsInstance<CellEvent.Stop>().map { it.run }

internal class CellTest :
    DescribeSpec({
        describe("room") {
            it("is not given on a worker whose list of runs was not seen under this token") {
                val cell = Cell("akl-a", TOKEN)
                cell.updateWorkers(listOf(worker("w")))
                cell.place(order(), 0).shouldBeNull()
            }

            it("is never overbooked") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                cell.placed(order("a"))
                cell.placed(order("b"))
                withClue("16 cores have room for two tasks of 7") { cell.place(order("c"), 0).shouldBeNull() }
            }

            it("is occupied until the end of a stopped run is listed") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                cell.started(order("a"))
                cell.started(order("b"))
                cell.stopRuns { it.task.jobId == "a" }.stops() shouldHaveSize 1
                cell.onStopped("w", order("a").run, 10)
                cell.place(order("c"), 10).shouldBeNull()
                val plan = checkNotNull(cell.planLease("w", 20))
                cell.onReport(plan, report(20, running = listOf(order("b").run), ended = listOf(order("a").run to RunEnd.LOST)), 21)
                cell.place(order("c"), 30).shouldNotBeNull()
            }

            it("is not given on a draining worker") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                cell.updateWorkers(listOf(worker("w", isDraining = true)))
                cell.place(order(), 10).shouldBeNull()
            }

            it("is not given before the former keeper has released the worker") {
                val cell = Cell("akl-a", TOKEN)
                cell.awaitRelease(setOf("w"))
                cell.updateWorkers(listOf(worker("w")))
                cell.planLease("w", 0).shouldBeNull()
                cell.release(setOf("w"))
                cell.planLease("w", 1).shouldNotBeNull()
            }
        }

        describe("a task that failed on a worker") {
            it("waits for another worker instead of using up its attempts where it failed") {
                val cell = Cell("akl-a", TOKEN).apply { know("bad", "good") }
                repeat(2) { cell.started(order("first", index = it)).worker.id }
                repeat(2) { cell.started(order("second", index = it)).worker.id }
                val failed = order("first").copy(run = order("first", run = 2).run, avoid = "bad", hasFailed = true)
                val plan = checkNotNull(cell.planLease("bad", 10))
                val ended = listOf("first", "second").flatMap { job -> List(2) { order(job, index = it).run to RunEnd.FAILED } }
                cell.onReport(plan, report(10, ended = ended), 11)
                cell.place(failed, 12).shouldBeNull()
                cell.place(failed.copy(hasFailed = false), 12).shouldNotBeNull().worker.id shouldBe "bad"
            }

            it("goes back to it if there is no other") {
                val cell = Cell("akl-a", TOKEN).apply { know("bad") }
                cell.placed(order().copy(avoid = "bad", hasFailed = true)).worker.id shouldBe "bad"
            }
        }

        describe("the cores for estimates") {
            it("include workers whose first list is on its way, so that jobs are not refused just after a start") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                cell.updateWorkers(listOf(worker("w"), worker("new"), worker("leaving", isDraining = true)))
                cell.cores() shouldBe mapOf(POOL to 32)
            }

            it("leave out workers that do not answer") {
                val cell = Cell("akl-a", TOKEN)
                cell.updateWorkers(listOf(worker("w")))
                cell.onNoAnswer(checkNotNull(cell.planLease("w", 0)))
                cell.cores() shouldBe emptyMap()
            }
        }

        describe("an order without an answer") {
            it("is not taken as ended while the worker may still carry it out") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                val placement = cell.placed(order())
                cell.onStart(placement, StartOutcome.Unknown("timeout"), 400).ends().shouldBeEmpty()
                cell.tick(500).ends().shouldBeEmpty()
            }

            it("ends as lost after the stop is confirmed and a later list does not have it") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                val placement = cell.placed(order())
                cell.onStart(placement, StartOutcome.Unknown("timeout"), 400).ends().shouldBeEmpty()
                val look = checkNotNull(cell.planLook("w", 401))
                val events = cell.onReport(look, report(401), 402)
                events.stops() shouldBe listOf(placement.order.run)
                events.ends().shouldBeEmpty()
                cell.onStopped("w", placement.order.run, 405)
                val plan = checkNotNull(cell.planLease("w", 410))
                cell.onReport(plan, report(410), 411).ends() shouldBe listOf(placement.order.run to RunEnd.LOST)
            }

            it("is not judged by a list that was asked for before its timeout") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                val placement = cell.placed(order())
                val early = checkNotNull(cell.planLease("w", 10))
                cell.onStart(placement, StartOutcome.Unknown("timeout"), 150)
                cell.onReport(early, report(160), 160).shouldBeEmpty()
            }

            it("is not taken as ended by a list that was asked for before its stop was confirmed") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                val placement = cell.placed(order())
                val early = checkNotNull(cell.planLease("w", 10))
                cell.onStart(placement, StartOutcome.Unknown("timeout"), 150)
                cell.onReport(checkNotNull(cell.planLook("w", 151)), report(152), 152).stops() shouldBe listOf(placement.order.run)
                cell.onStopped("w", placement.order.run, 160)
                withClue("the worker may still be stopping the run") { cell.onReport(early, report(20), 165).ends().shouldBeEmpty() }
            }

            it("that a list shows as running is not taken as ended by an earlier list that comes later") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                val placement = cell.placed(order())
                cell.onStart(placement, StartOutcome.Unknown("timeout"), 150)
                val overtaken = checkNotNull(cell.planLook("w", 151))
                val newer = checkNotNull(cell.planLook("w", 152))
                cell.onReport(newer, report(160, running = listOf(placement.order.run)), 165)
                cell.onReport(overtaken, report(155), 170).ends().shouldBeEmpty()
            }

            it("of a job that has ended is not taken as ended before its stop is confirmed") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                val placement = cell.placed(order())
                cell.stopRuns { true }.stops() shouldBe listOf(placement.order.run)
                cell.onStart(placement, StartOutcome.Unknown("timeout"), 150)
                val events = cell.onReport(checkNotNull(cell.planLook("w", 151)), report(152), 153)
                withClue("a repeated submission could run beside it") { events.ends().shouldBeEmpty() }
                events.stops() shouldBe listOf(placement.order.run)
            }

            it("is kept if a later list shows it as running") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                val placement = cell.placed(order())
                cell.onStart(placement, StartOutcome.Unknown("timeout"), 100)
                val plan = checkNotNull(cell.planLease("w", 110))
                val events = cell.onReport(plan, report(110, running = listOf(placement.order.run)), 111)
                events.ends().shouldBeEmpty()
                events.stops().shouldBeEmpty()
            }

            it("is stopped when a worker carries it out after the run was given up") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
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

        describe("a silent worker") {
            it("keeps its runs until its lease has certainly expired, and calls do not renew it meanwhile") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                cell.started(order())
                val plan = checkNotNull(cell.planLease("w", 100))
                cell.onNoAnswer(plan)
                val again = checkNotNull(cell.planLease("w", 900))
                again.call.leaseUntilMs.shouldBeNull()
                cell.tick(1_090).ends().shouldBeEmpty()
                cell.tick(100 + RULES.longestLeaseMs + 1).ends() shouldBe listOf(order().run to RunEnd.LOST)
            }

            it("gets no further runs") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                cell.started(order())
                cell.onNoAnswer(checkNotNull(cell.planLease("w", 100)))
                cell.place(order("b"), 110).shouldBeNull()
            }
        }

        describe("a run") {
            it("that stands still is stopped, and its end is reported only when the worker lists it") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                cell.started(order(estimateMs = 60))
                val plan = checkNotNull(cell.planLease("w", 600))
                val events = cell.onReport(plan, report(600, running = listOf(order().run), percent = 0), 601)
                events.stops() shouldBe listOf(order().run)
                events.ends().shouldBeEmpty()
            }

            it("that only takes longer than declared is left alone") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                cell.started(order(estimateMs = 600))
                val plan = checkNotNull(cell.planLease("w", 900))
                cell.onReport(plan, report(900, running = listOf(order().run), percent = 80), 900).stops().shouldBeEmpty()
            }

            it("whose declared time is far too short is moved once, not again and again") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                cell.started(order(run = 2, estimateMs = 60))
                val plan = checkNotNull(cell.planLease("w", 800))
                cell.onReport(plan, report(800, running = listOf(order(run = 2).run), percent = 10), 801).stops().shouldBeEmpty()
            }

            it("is lost when its worker starts anew under the same id") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                cell.started(order())
                val plan = checkNotNull(cell.planLease("w", 100))
                cell.onReport(plan, report(5, bornMs = 99), 101).ends() shouldBe listOf(order().run to RunEnd.LOST)
            }

            it("that its worker's new incarnation has already taken is not lost when that incarnation is noticed") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                cell.started(order())
                val plan = checkNotNull(cell.planLease("w", 100))
                cell.onReport(plan, report(5, running = listOf(order().run), bornMs = 99), 101).shouldBeEmpty()
            }

            it("is not judged by a late answer of its worker's former incarnation") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                val early = checkNotNull(cell.planLook("w", 50))
                cell.onReport(checkNotNull(cell.planLook("w", 60)), report(1, bornMs = 99), 61)
                cell.started(order(), now = 70)
                cell.onReport(early.copy(sentAt = 80), report(90, bornMs = 1), 90).shouldBeEmpty()
            }

            it("has each end handled once, also when the worker lists it again") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                cell.started(order())
                val done = report(60, ended = listOf(order().run to RunEnd.DONE))
                cell.onReport(checkNotNull(cell.planLease("w", 10)), done, 61).ends() shouldHaveSize 1
                cell.onReport(checkNotNull(cell.planLease("w", 62)), done, 63).ends().shouldBeEmpty()
            }
        }

        describe("an end") {
            it("is acknowledged although no further run follows") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                cell.started(order())
                cell.onReport(checkNotNull(cell.planLease("w", 10)), report(60, ended = listOf(order().run to RunEnd.DONE)), 61)
                val plan = checkNotNull(cell.planLease("w", 62))
                plan.call.seenEnd shouldBe 1
                cell.onReport(plan, report(63), 63)
                cell.planLease("w", 64).shouldBeNull()
            }
        }

        describe("a worker that fails its runs") {
            it("is avoided after runs of two jobs have failed, and not for one failing job") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
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

        describe("another keeper") {
            it("is noticed by a refused start, which has started nothing") {
                val cell = Cell("akl-a", TOKEN).apply { know("w") }
                val placement = cell.placed(order())
                val events = cell.onStart(placement, StartOutcome.Refused(StartRefusal.FENCED), 5)
                events shouldContain CellEvent.Fenced
                events.ends() shouldBe listOf(placement.order.run to RunEnd.NOT_STARTED)
            }
        }
    })
