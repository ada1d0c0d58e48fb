/*
 * Sends queued tasks to workers. One coroutine takes tasks from the team queues as long as placement has slots for them; each call to a
 * worker has its own coroutine. A task is put back into its queue only after proof that it did not start, or as the retry of an idempotent
 * request.
 */
package dandelionpoint.coordination.dispatch

import dandelionpoint.coordination.admission.HedgeRule
import dandelionpoint.coordination.admission.RequestProgress
import dandelionpoint.coordination.admission.RetryBudget
import dandelionpoint.coordination.admission.TeamQueues
import dandelionpoint.coordination.placement.Placement
import dandelionpoint.coordination.placement.Reservation
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.worker.CallOutcome
import dandelionpoint.protocol.worker.WorkerCall
import dandelionpoint.protocol.worker.WorkerClient
import dandelionpoint.state.queue.QueuedTask
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/** Budgets for the calls beyond the first of a request. */
internal class CallBudgets(val retries: RetryBudget, val hedges: HedgeRule)

/** Starts queued work. [requestSlots] requests slots from other VMs; it is called before waiting tasks are placed. */
internal class Dispatcher(
    private val scope: CoroutineScope,
    private val queues: TeamQueues,
    private val placement: Placement,
    private val client: WorkerClient,
    private val clock: Clock,
    private val budgets: CallBudgets,
    private val observer: DispatchObserver,
    private val requestSlots: () -> Unit,
) {
    private val items = ConcurrentHashMap<SubmissionId, WorkItem>()
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)

    /** Queues admitted work and watches its deadline. Returns false if it was cancelled or has expired since its admission. */
    fun submit(item: WorkItem): Boolean {
        items[item.queued.id] = item
        if (!queues.offer(item.queued)) {
            items.remove(item.queued.id)
            return false
        }
        scope.launch { watchDeadline(item) }
        signal()
        return true
    }

    /** Number of jobs and requests that are queued or in progress. */
    fun activeItems(): Int = items.size

    /** Wakes up [run] to start queued work. */
    fun signal() {
        wakeUps.trySend(Unit)
    }

    /** Starts queued work at each [signal], until cancelled. */
    suspend fun run() {
        for (signal in wakeUps) startQueued()
    }

    /** Ends jobs that can no longer meet their deadline: those of which nothing started, and those whose other tasks were dropped. */
    fun expireLate() {
        (queues.expireLate() + queues.abandonLate()).forEach { queued ->
            items[queued.id]?.job?.fail(ResultCode.DEADLINE_PASSED, ResultCode.DEADLINE_RUNNING)
        }
    }

    private suspend fun watchDeadline(item: WorkItem) {
        val job = item.job
        val remainingMs = job.deadlineMs - clock.millis()
        if (withTimeoutOrNull(remainingMs.coerceAtLeast(0)) { job.done.await() } == null) {
            job.fail(ResultCode.DEADLINE_PASSED, ResultCode.DEADLINE_RUNNING)
        }
        queues.cancel(item.queued.id)
        items.remove(item.queued.id)
    }

    private fun startQueued() {
        // Slots are requested before placing, so that placement can wait for faster slots of other VMs instead of using slow ones here.
        if (queues.waitingTasks() > 0) requestSlots()
        while (true) {
            val task = queues.next() ?: return
            val item = items[task.job.id]
            if (item == null || !item.job.beginTask()) {
                queues.cancel(task.job.id)
                queues.putBack(task)
                continue
            }
            val reservation = placement.place(item.demand(task.index, clock.millis()))
            if (reservation == null) {
                item.job.taskNotStarted()
                queues.putBack(task)
                return
            }
            queues.started(task)
            scope.launch { run(item, task, reservation) }
        }
    }

    private suspend fun run(item: WorkItem, task: QueuedTask, reservation: Reservation) {
        if (item.isRetryable) scope.launch { hedge(item, task, reservation) }
        handleOutcome(item, task, reservation, call(item, task.index, reservation))
        signal()
    }

    private suspend fun call(item: WorkItem, index: Int, reservation: Reservation): EndedCall {
        item.calls.incrementAndGet()
        item.callsInFlight.incrementAndGet()
        val startNs = clock.nanos()
        val timeoutMs = (item.job.deadlineMs - clock.millis()).coerceAtLeast(0) + LATE_ANSWER_MS
        val span = observer.callStarted(item, index, reservation.worker)
        val call = WorkerCall(item.job.submission.tasks[index].payload, timeoutMs, span.traceParent)
        val outcome = client.call(reservation.worker, call)
        val elapsedMs = (clock.nanos() - startNs) / NANOS_PER_MS
        placement.complete(reservation, outcome, elapsedMs)
        item.callsInFlight.decrementAndGet()
        span.ended(outcome, elapsedMs)
        return EndedCall(outcome, elapsedMs)
    }

    private suspend fun handleOutcome(item: WorkItem, task: QueuedTask, reservation: Reservation, ended: EndedCall) {
        when (val outcome = ended.outcome) {
            is CallOutcome.Answered -> {
                queues.finished(task, ended.elapsedMs)
                item.job.completeTask(task.index, outcome.body)
            }

            is CallOutcome.NotStarted -> {
                onNotStarted(item, task, reservation)
            }

            is CallOutcome.Failed -> {
                val reason = "the worker answered ${outcome.status} to task ${task.index}"
                retryOrFail(item, task, Failure(reservation, ended.elapsedMs, ResultCode.TASK_FAILED, reason))
            }

            is CallOutcome.Unknown -> {
                val reason = "task ${task.index}: ${outcome.reason}"
                retryOrFail(item, task, Failure(reservation, ended.elapsedMs, ResultCode.ANSWER_LOST, reason))
            }
        }
    }

    private suspend fun onNotStarted(item: WorkItem, task: QueuedTask, reservation: Reservation) {
        val nowMs = clock.millis()
        item.avoid(task.index, reservation.worker.id, nowMs + REFUSED_AVOID_MS)
        delay(NOT_STARTED_BACKOFF_MS * item.avoided(task.index, nowMs).size)
        item.job.taskNotStarted()
        queues.putBack(task)
    }

    private fun retryOrFail(item: WorkItem, task: QueuedTask, failure: Failure) {
        if (item.isRetryable && item.callsInFlight.get() > 0) {
            queues.finished(task, failure.elapsedMs)
            return
        }
        if (mayRetry(item) && budgets.retries.tryTake()) {
            item.avoid(task.index, failure.reservation.worker.id, clock.millis() + FAILED_AVOID_MS)
            queues.putBack(task)
            return
        }
        queues.finished(task, failure.elapsedMs)
        item.job.fail(whenQueued = ResultCode.NO_WORKER, whenStarted = failure.code, reason = failure.reason)
    }

    private fun mayRetry(item: WorkItem) = item.isRetryable && item.calls.get() < MAX_CALLS && !item.job.done.isCompleted

    /**
     * Sends further copies of a slow idempotent request, one at a time, as slots are free and the budgets allow. This is the only recovery
     * from a worker that accepts a task and never answers, so a request that gets no token tries again, and may also use the retry budget.
     */
    private suspend fun hedge(item: WorkItem, task: QueuedTask, first: Reservation) {
        val p95Ms = first.expectedMs * HEDGE_FACTOR
        item.avoid(task.index, first.worker.id, clock.millis() + FAILED_AVOID_MS)
        while (item.calls.get() < MAX_CALLS) {
            if (withTimeoutOrNull(p95Ms.toLong() + 1) { item.job.done.await() } != null) return
            if (!mayHedge(item, p95Ms)) continue
            placement.place(item.demand(task.index, clock.millis()))?.let { second -> scope.launch { sendCopy(item, task, second) } }
        }
    }

    private fun mayHedge(item: WorkItem, p95Ms: Double): Boolean {
        val remainingMs = (item.job.deadlineMs - clock.millis()).toDouble()
        val progress = RequestProgress(
            isIdempotent = true,
            elapsedMs = p95Ms + 1,
            expectedP95Ms = p95Ms,
            calls = 1,
            remainingMs = remainingMs,
        )
        return budgets.hedges.shouldHedge(progress) || (remainingMs >= p95Ms && budgets.retries.tryTake())
    }

    private suspend fun sendCopy(item: WorkItem, task: QueuedTask, second: Reservation) {
        if (!item.job.beginTask()) {
            placement.complete(second, CallOutcome.NotStarted("the request has ended", unreachable = false), 0.0)
            return
        }
        item.avoid(task.index, second.worker.id, clock.millis() + FAILED_AVOID_MS)
        val outcome = call(item, task.index, second).outcome
        if (outcome is CallOutcome.Answered) item.job.completeTask(task.index, outcome.body)
        if (outcome is CallOutcome.NotStarted) item.job.taskNotStarted()
        if (outcome !is CallOutcome.Answered && item.callsInFlight.get() == 0) {
            item.job.fail(whenQueued = ResultCode.NO_WORKER, whenStarted = ResultCode.ANSWER_LOST)
        }
        signal()
    }

    private class EndedCall(val outcome: CallOutcome, val elapsedMs: Double)

    private class Failure(val reservation: Reservation, val elapsedMs: Double, val code: ResultCode, val reason: String)

    private companion object {
        const val NANOS_PER_MS = 1_000_000.0

        /** A call times out this many ms after the deadline of its job, so that its slot stays occupied while the worker ends the task. */
        const val LATE_ANSWER_MS = 1_000L

        /** How long a task avoids a worker that was full or could not be reached, in ms. */
        const val REFUSED_AVOID_MS = 100L

        /** How long a request avoids a worker that failed it or is slow with it, in ms. */
        const val FAILED_AVOID_MS = 5_000L

        /** Delay in ms for each worker that recently refused the task, so that a full cluster is not called in a tight loop. */
        const val NOT_STARTED_BACKOFF_MS = 2L

        /** Upper limit of the calls of one request. */
        const val MAX_CALLS = 3

        /** A request is hedged when it takes this many times its expected run time: about the p95 of the sample traces. */
        const val HEDGE_FACTOR = 3.0
    }
}
