/*
 * Guards against runs that go on after the VM that wanted them is lost or after their stop, because the lease of their worker is renewed,
 * and against runs that are taken for ended while their worker may still start or continue them. Clocks of workers equal the VM's clock
 * unless a test says otherwise.
 */
package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.StartOutcome
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

private val RULES = FleetRules()
private const val TOKEN = 7L

/** A clock that was read 1 ms ago is known up to its drift since, which is rounded up to whole ms. */
private const val ROUNDING_MS = 2L

/** A client submits its job again this long after its connection broke, in ms. */
private const val CLIENT_RETRY_MS = 1_300L

/** Part of [CLIENT_RETRY_MS] that is left for messages between VMs, in ms. */
private const val MESSAGES_MS = 75L

/** The time in ms that a lease of [leaseMs] takes on a worker whose clock runs 2 % slow. */
private fun slowest(leaseMs: Long) = leaseMs * 100 / 98 + 1

/** [heardAt] is the date of the last message from the VM with an incarnation. */
private class Demand(private val heardAt: (String) -> Long?) : RunDemand by RunDemand.Always {
    override fun wantedAt(order: RunOrder): Long? = minOf(heardAt(order.origin) ?: return null, heardAt(order.entryVm) ?: return null)
}

private fun cell(heardAt: (String) -> Long? = { Long.MAX_VALUE / 2 }) =
    Cell("akl-a", TOKEN, RULES, Demand(heardAt)).apply { receiveRunLists("w") }

private fun Cell.leaseUntil(id: String, now: Long): Long? = checkNotNull(planLease(id, now)).call.leaseUntilMs

internal class WorkerLeaseTest :
    DescribeSpec({
        describe("the VM that dispatched a run") {
            // VMs lost in series: first the dispatching VM, then, before it is declared lost, the owner of the cell.
            it("is heard from no longer: the lease is not renewed beyond its last heartbeat plus the length of a lease") {
                val heard = mutableMapOf(ORIGIN to 0L)
                val cell = cell { heard[it] }
                cell.started(order())
                checkNotNull(cell.leaseUntil("w", now = 690)) shouldBeLessThanOrEqual RULES.leaseMs
                slowest(RULES.leaseMs + RULES.joinMarginMs) + MESSAGES_MS shouldBeLessThan CLIENT_RETRY_MS
            }

            // As above, when the VM is declared lost but the stops of its runs do not reach the worker.
            it("is lost: the lease is still limited by its last heartbeat, and full again once the run has ended") {
                val heard = mutableMapOf(ORIGIN to 0L, "vm-2" to 0L)
                val cell = cell { heard[it] }
                cell.started(order())
                cell.started(order("b", origin = "vm-2"))
                heard -= ORIGIN
                heard["vm-2"] = 750
                cell.stopRuns(now = 750) { it.origin == ORIGIN }
                checkNotNull(cell.leaseUntil("w", now = 760)) shouldBeLessThanOrEqual RULES.leaseMs
                cell.onStopped("w", order().run, 765)
                val ended = report(770, running = listOf(order("b").run), ended = listOf(order().run to RunEnd.LOST))
                cell.onReport(checkNotNull(cell.planLease("w", 766)), ended, 770)
                checkNotNull(cell.leaseUntil("w", now = 771)) shouldBeLessThanOrEqual 750 + RULES.leaseMs
                checkNotNull(cell.leaseUntil("w", now = 771)) shouldBeGreaterThan 750 + RULES.leaseMs - ROUNDING_MS
            }

            // A request of a VM that is lost already may still be in a socket.
            it("is lost or unknown: its run is not started") {
                cell { null }.place(order(), now = 10).shouldBeNull()
            }

            // A lease is never shortened, so a run that joins a worker with a longer lease would outlive its VM.
            it("was heard from long ago: its run is not started on a worker whose lease reaches further than it may") {
                val heard = mutableMapOf(ORIGIN to 0L, "vm-2" to 450L)
                val cell = cell { heard[it] }
                cell.started(order("b", origin = "vm-2"), now = 450)
                cell.place(order(), now = 460).shouldBeNull()
                heard[ORIGIN] = 455
                cell.place(order(), now = 460).shouldNotBeNull()
            }
        }

        describe("a run that has not been wanted for long") {
            // Its worker's lease would end because of it, and with the lease the other runs there.
            it("is stopped before the lease ends, and the other runs of its worker are not") {
                val heard = mutableMapOf(ORIGIN to 0L, "vm-2" to 0L)
                val cell = cell { heard[it] }
                cell.started(order())
                cell.started(order("b", origin = "vm-2"))
                heard["vm-2"] = 790
                cell.tick(RULES.demandStaleMs).shouldBeEmpty()
                cell.tick(RULES.demandStaleMs + 1).stops() shouldBe listOf(order().run)
            }

            // After a step of the wall clock or a pause, all demand may seem older than a lease until further heartbeats arrive.
            it("since one moment to the next is stopped only if no heartbeat confirms it meanwhile") {
                val heard = mutableMapOf(ORIGIN to 0L, "vm-2" to 0L)
                val cell = cell { heard[it] }
                cell.started(order())
                cell.started(order("b", origin = "vm-2"))
                cell.tick(RULES.leaseMs + 1).shouldBeEmpty()
                heard["vm-2"] = RULES.leaseMs + 300
                cell.tick(RULES.leaseMs + 400).stops() shouldBe listOf(order().run)
            }

            it("when its request was read is not started under its date, although its VMs are alive") {
                val cell = cell { 0 }
                cell.place(order().copy(wantedAt = 60), now = 600).shouldBeNull()
                cell.place(order().copy(wantedAt = 550), now = 600).shouldNotBeNull()
            }
        }

        describe("the VM that a client is connected to") {
            // VMs lost in series: first the VM of the client, then the dispatching VM, which stops the runs when the first one is lost.
            it("is heard from no longer: the lease is limited by its last heartbeat too, whether or not it dispatched the run") {
                val heard = mutableMapOf(ORIGIN to 0L, "vm-2" to 0L)
                val cell = cell { heard[it] }
                cell.started(order().copy(entryVm = "vm-2"))
                heard[ORIGIN] = 690
                checkNotNull(cell.leaseUntil("w", now = 690)) shouldBeLessThanOrEqual RULES.leaseMs
                cell.place(order("b").copy(entryVm = "vm-3"), now = 690).shouldBeNull()
            }

            // The dispatching VM passes it on with each run.
            it("is named in the orders of its jobs") {
                val dispatch = Dispatch(ORIGIN)
                val orders = mutableListOf<RunOrder>()
                dispatch.submit(Submission(job("a"), queue(), "vm-2", arrivedAt = 0, deadlineAt = 3_000), poolCores = 16.0, now = 0) {
                    orders += it
                    null
                }
                orders.map { it.origin to it.entryVm } shouldBe listOf(ORIGIN to "vm-2")
            }
        }

        describe("a run with an unconfirmed stop") {
            // Orders to workers can be lost in series, or be carried out seconds late.
            it("is stopped again until the worker confirms it") {
                val cell = cell()
                cell.started(order())
                cell.stopRuns(now = 100) { true }.stops() shouldBe listOf(order().run)
                cell.tick(100 + RULES.stopRetryMs - 1).shouldBeEmpty()
                cell.tick(100 + RULES.stopRetryMs).stops() shouldBe listOf(order().run)
                cell.tick(100 + RULES.stopRetryMs + 1).shouldBeEmpty()
                cell.tick(100 + 2 * RULES.stopRetryMs).stops() shouldBe listOf(order().run)
                cell.onStopped("w", order().run, 310)
                cell.tick(5_000).stops().shouldBeEmpty()
            }

            it("ends with its worker's lease before the client submits the job again, although a lease call is made each 250 ms") {
                val cell = cell()
                cell.started(order())
                cell.stopRuns(now = 0) { true }
                val leases = (0L..5_000L step 250).mapNotNull { now ->
                    val plan = checkNotNull(cell.planLease("w", now))
                    cell.onReport(plan, report(now, running = listOf(order().run)), now)
                    plan.call.leaseUntilMs
                }
                slowest(leases.max()) + MESSAGES_MS shouldBeLessThan CLIENT_RETRY_MS
            }

            // A heartbeat that overtakes the request to stop the run, or follows it, must not keep the run going.
            it("is not kept in its lease by heartbeats that are received after the stop was requested") {
                val heard = mutableMapOf(ORIGIN to 0L)
                val cell = cell { heard[it] }
                cell.started(order())
                heard[ORIGIN] = 100
                cell.leaseUntil("w", now = 100)
                cell.stopRuns(now = 400) { true }
                heard[ORIGIN] = 450
                checkNotNull(cell.leaseUntil("w", now = 460)) shouldBeLessThanOrEqual 100 + RULES.leaseMs
            }

            it("is over within the client's retry delay by the rules' own times, with the clock drift allowed for") {
                slowest(RULES.leaseMs) + MESSAGES_MS shouldBeLessThan CLIENT_RETRY_MS
                slowest(RULES.leaseMs) shouldBeLessThanOrEqual RULES.longestLeaseMs
            }

            it("does not end the other runs of its worker once the stop is confirmed") {
                val cell = cell()
                cell.started(order())
                cell.started(order("b"))
                cell.stopRuns(now = 100) { it.task.jobId == "a" }
                cell.onStopped("w", order().run, 900)
                // The other run is nearly done, so that it is not stopped as a stalled one.
                cell.onReport(checkNotNull(cell.planPoll("w", 900)), report(900, running = listOf(order("b").run), percent = 99), 900)
                checkNotNull(cell.leaseUntil("w", now = 901)) shouldBeGreaterThan 901 + RULES.leaseMs - ROUNDING_MS
            }

            // The worker has confirmed the stop, but goes on with the run.
            it("is stopped again if a run list that was requested after the confirmation still shows it") {
                val cell = cell()
                cell.started(order())
                cell.stopRuns(now = 100) { true }
                cell.onStopped("w", order().run, 110)
                cell.onReport(checkNotNull(cell.planPoll("w", 500)), report(500, running = listOf(order().run)), 501).stops() shouldBe
                    listOf(order().run)
                checkNotNull(cell.leaseUntil("w", now = 502)) shouldBeLessThanOrEqual 100 + RULES.leaseMs
            }
        }

        describe("the clock of a worker") {
            it("that was read long ago does not give a longer lease, although it may have run 2 % slow since") {
                val cell = cell()
                val workerMs = 4_900L
                cell.placed(order(), now = 5_000).leaseUntilMs shouldBeLessThanOrEqual workerMs + RULES.leaseMs
            }

            // A restarted worker's clock begins anew; with the old clock's reading, an order is accepted at any later time.
            it("is not taken from the answer of an earlier incarnation that arrives after a restart was seen") {
                val cell = cell()
                val first = cell.placed(order(), now = 50_000)
                cell.onReport(checkNotNull(cell.planPoll("w", 50_010)), report(5, startedAtMs = 50_000), 50_015)
                cell.onStart(first, StartOutcome.Started(50_000), 50_020)
                cell.updateWorkers(listOf(worker("w", startedAtMs = 50_000)))
                cell.placed(order("b"), now = 50_021).leaseUntilMs shouldBeLessThanOrEqual 11 + RULES.leaseMs
            }

            it("is unknown after the list of workers showed a restart, until the new incarnation has sent its run list") {
                val cell = cell()
                val earlier = checkNotNull(cell.planPoll("w", 100))
                cell.updateWorkers(listOf(worker("w", startedAtMs = 110)))
                cell.onReport(earlier, report(100, startedAtMs = 1), 120)
                cell.place(order(), 130).shouldBeNull()
                cell.onReport(checkNotNull(cell.planPoll("w", 130)), report(20, startedAtMs = 110), 130)
                cell.placed(order(), 140).leaseUntilMs shouldBeLessThanOrEqual 30 + RULES.leaseMs
            }
        }

        describe("a run that this owner does not track") {
            // The former owner counts on the end of the leases that it has given: a new owner must not renew them.
            it("gets no lease from lease calls or start orders until its stop is confirmed") {
                val cell = cell()
                cell.started(order("mine"))
                val plan = checkNotNull(cell.planLease("w", 100))
                val running = listOf(order("mine").run, order().run)
                cell.onReport(plan, report(100, running = running), 100).stops() shouldBe listOf(order().run)
                cell.leaseUntil("w", now = 110).shouldBeNull()
                cell.place(order("b"), 110).shouldBeNull()
                cell.tick(100 + RULES.stopRetryMs).stops() shouldBe listOf(order().run)
                cell.onStopped("w", order().run, 210)
                cell.leaseUntil("w", now = 211).shouldNotBeNull()
                withClue("the run occupies the worker until its end is listed") { cell.place(order("b"), 211).shouldBeNull() }
                val ended = listOf(order().run to RunEnd.LOST)
                cell.onReport(checkNotNull(cell.planPoll("w", 220)), report(220, listOf(order("mine").run), ended, percent = 90), 221)
                cell.place(order("b"), 222).shouldNotBeNull()
            }

            it("keeps its task from being started on any worker of the cell until it is gone, on an idle worker as well") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w", "other") }
                cell.onReport(checkNotNull(cell.planPoll("w", 100)), report(100, running = listOf(order().run)), 100)
                cell.onStopped("w", order().run, 110)
                cell.place(order(run = 2), 120).shouldBeNull()
                cell.onReport(checkNotNull(cell.planLease("w", 130)), report(130, ended = listOf(order().run to RunEnd.LOST)), 131)
                cell.place(order(run = 2), 140).shouldNotBeNull()
            }

            it("is forgotten when its worker answers no more and its lease has certainly expired") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w", "other") }
                cell.onReport(checkNotNull(cell.planPoll("w", 100)), report(100, running = listOf(order().run)), 100)
                cell.onNoAnswer(checkNotNull(cell.planPoll("w", 110)))
                cell.tick(100 + RULES.leaseMs)
                cell.place(order(run = 2), 100 + RULES.leaseMs).shouldBeNull()
                cell.tick(101 + RULES.longestLeaseMs)
                cell.place(order(run = 2), 101 + RULES.longestLeaseMs).shouldNotBeNull()
            }
        }

        describe("a task") {
            // A job that is submitted again numbers its runs from 1 while the run of its first submission is still being stopped.
            it("is not started while a run of it is tracked on another worker") {
                val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w", "other") }
                cell.started(order())
                cell.stopRuns(now = 10) { true }
                cell.place(order(), 20).shouldBeNull()
            }
        }

        describe("the answer that a worker's address belongs to another incarnation") {
            // The worker restarted at another address; its former address answers an earlier call.
            it("does not end runs if the call was sent to an earlier address of the worker") {
                val cell = cell()
                val earlier = checkNotNull(cell.planPoll("w", 100))
                cell.updateWorkers(listOf(worker("w", startedAtMs = 110).copy(port = 2)))
                cell.onReport(checkNotNull(cell.planPoll("w", 120)), report(20, startedAtMs = 110), 120)
                cell.started(order(), now = 130)
                cell.onOtherIncarnation(earlier, now = 140).shouldBeEmpty()
            }

            it("ends the runs if the address is still the worker's") {
                val cell = cell()
                cell.started(order())
                cell.onOtherIncarnation(checkNotNull(cell.planLease("w", 100)), now = 110).ends() shouldBe
                    listOf(order().run to RunEnd.LOST)
            }
        }
    })
