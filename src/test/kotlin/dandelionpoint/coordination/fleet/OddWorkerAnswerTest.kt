package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.EndedRow
import dandelionpoint.protocol.fleet.LeaseReport
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRun
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

private const val TOKEN = 7L

/** The year 2100, in ms since the Unix epoch. */
private const val FAR_FUTURE_MS = 4_102_444_800_000

/** Longer than a worker is avoided after a run was lost there. */
private const val AVOIDED_MS = 2_000L

/**
 * The other side of a cell's lease calls: a worker that numbers its ended runs from 1, and forgets those that a call acknowledges when it
 * gets the call.
 */
private class AnsweringWorker(private val cell: Cell) {
    var now = 0L
    private val running = mutableListOf<TaskRun>()
    private val ended = mutableListOf<EndedRow>()
    private var lastEnd = 0L

    /** Answers the next lease call, or a poll if none is due, after [meanwhile]. [change] falsifies the answer. */
    fun answer(meanwhile: () -> Unit = {}, change: (LeaseReport) -> LeaseReport = { it }): List<CellEvent> {
        now += STEP_MS
        val plan = cell.planLease("w", now) ?: checkNotNull(cell.planPoll("w", now))
        ended.removeIf { it.number <= plan.call.seenEnd }
        meanwhile()
        now += STEP_MS
        return cell.onReport(plan, change(report(clockMs = now, running = running.toList()).copy(ended = ended.toList())), now)
    }

    /** The cell starts the run of [order] here. */
    fun start(order: RunOrder) {
        now += STEP_MS
        cell.started(order, now)
        running += order.run
    }

    /** The run of [order] is done. */
    fun complete(order: RunOrder) {
        running -= order.run
        ended += EndedRow(++lastEnd, order.run, RunEnd.DONE)
    }

    private companion object {
        const val STEP_MS = 10L
    }
}

private fun withWorker(test: AnsweringWorker.(Cell) -> Unit) {
    val cell = Cell("akl-a", TOKEN).apply { receiveRunLists("w") }
    AnsweringWorker(cell).test(cell)
}

/**
 * Guards against a worker that stays unusable for good after one false value in its answer or its registration, although it has sent
 * correct ones since.
 */
internal class OddWorkerAnswerTest :
    DescribeSpec({
        describe("a start time in the far future") {
            it("in one answer does not hide the ends of the runs that the worker starts later") {
                withWorker {
                    answer { it.copy(startedAtMs = FAR_FUTURE_MS) }
                    answer()
                    start(order("a"))
                    complete(order("a"))
                    answer().ends() shouldBe listOf(order("a").run to RunEnd.DONE)
                }
            }

            it("in the registration does not keep the worker unusable while it answers with its own, or once it is registered with it") {
                withWorker { cell ->
                    repeat(2) {
                        cell.updateWorkers(listOf(worker("w", startedAtMs = FAR_FUTURE_MS)))
                        answer()
                    }
                    cell.updateWorkers(listOf(worker("w", startedAtMs = FAR_FUTURE_MS)))
                    cell.place(order("a"), now).shouldNotBeNull()
                    cell.updateWorkers(listOf(worker("w")))
                    answer()
                    cell.place(order("b"), now).shouldNotBeNull()
                }
            }

            it("of a run list does not make a late answer of an earlier incarnation count") {
                withWorker { cell ->
                    val late = checkNotNull(cell.planPoll("w", now))
                    answer { it.copy(startedAtMs = 99) }
                    cell.updateWorkers(listOf(worker("w", startedAtMs = 99)))
                    start(order("a"))
                    cell.onReport(late, report(clockMs = 500_000), now).shouldBeEmpty()
                    checkNotNull(cell.planLease("w", now)).call.leaseUntilMs.shouldNotBeNull() shouldBeLessThan 500_000L
                }
            }
        }

        describe("the number of an ended run in the far future") {
            it("does not hide the end of a run that ends while the worker waits to answer") {
                withWorker {
                    answer { it.copy(ended = listOf(EndedRow(Long.MAX_VALUE, order("other").run, RunEnd.DONE))) }
                    answer()
                    start(order("a"))
                    answer(meanwhile = { complete(order("a")) }).ends() shouldBe listOf(order("a").run to RunEnd.DONE)
                }
            }

            // The end that is hidden costs one run, which the cell takes for lost.
            it("hides the end of at most one run that the worker starts later") {
                withWorker {
                    answer { it.copy(ended = listOf(EndedRow(Long.MAX_VALUE, order("other").run, RunEnd.DONE))) }
                    answer()
                    start(order("a"))
                    complete(order("a"))
                    val ends = answer().ends() + answer().ends()
                    ends.map { it.first } shouldBe listOf(order("a").run)
                    now += AVOIDED_MS
                    start(order("b"))
                    complete(order("b"))
                    answer().ends() shouldBe listOf(order("b").run to RunEnd.DONE)
                }
            }
        }
    })
