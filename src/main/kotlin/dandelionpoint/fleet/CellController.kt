/*
 * Makes the calls for one cell that this VM owns: sends starts and stops to its workers, and keeps one lease call open to each worker that
 * has runs. The decisions are made by [Cell].
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Cell
import dandelionpoint.coordination.fleet.CellEvent
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.LeasePlan
import dandelionpoint.coordination.fleet.Placement
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.LeaseOutcome
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.StartOrder
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.fleet.WorkerPort
import dandelionpoint.protocol.millis
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** Receives the events of a cell. */
internal interface CellListener {
    /** The run of [order] on the worker [workerId] has ended; it is no longer in progress anywhere. */
    fun ended(order: RunOrder, end: RunEnd, workerId: String)

    /** A worker has refused this VM's fencing token as too low: another VM owns the cell now. */
    fun fenced(cell: String)
}

/**
 * Makes the calls for [cell]. Cancelling [vmScope] also ends the controller. All times are in ms.
 */
internal class CellController(
    private val vmScope: CoroutineScope,
    val cell: Cell,
    port: WorkerPort,
    private val listener: CellListener,
    private val clock: Clock = Clock.System,
    private val rules: FleetRules = FleetRules(),
) {
    private val port = GuardedWorkerPort(port)
    private val controllerJob = SupervisorJob(vmScope.coroutineContext[Job])
    private val scope = CoroutineScope(vmScope.coroutineContext + controllerJob)
    private val wakeSignals = ConcurrentHashMap<String, Channel<Unit>>()

    /** Replaces the list of the cell's workers and starts a lease loop for each new one. */
    fun updateWorkers(entries: List<WorkerEntry>) {
        cell.updateWorkers(entries)
        cell.workerIds().forEach { id ->
            wakeSignals.computeIfAbsent(id) { Channel<Unit>(Channel.CONFLATED).also { scope.launch { leaseLoop(id, it) } } }
        }
    }

    /** Wakes the lease loops of all workers, after workers were released. */
    fun wake() = wakeSignals.values.forEach { it.trySend(Unit) }

    /**
     * Starts [order] on a worker other than [excluded], only on [workerId] if given. Returns false if none has enough free capacity, or if
     * a run of the task is still in progress.
     */
    fun place(order: RunOrder, excluded: String? = null, workerId: String? = null): Boolean {
        val placement = cell.place(order, clock.millis(), excluded, workerId) ?: return false
        scope.launch { sendStart(placement) }
        return true
    }

    private suspend fun sendStart(placement: Placement) {
        val fresh = if (placement.isClockStale) withFreshLease(placement) else placement
        wakeSignals[placement.worker.id]?.trySend(Unit)
        val outcome = if (fresh == null) StartOutcome.NotSent("the worker's clock could not be read") else answerOf(fresh)
        if (outcome !is StartOutcome.Started) {
            log.info { "event=start_not_confirmed ${placement.order.run.logFields()} worker=${placement.worker.id} outcome=$outcome" }
        }
        handle(cell.onStart(placement, outcome, clock.millis()))
        if (outcome is StartOutcome.Unknown) pollRuns(placement.worker.id)
        // The worker's run list may have to be read again.
        if (outcome is StartOutcome.Refused) wakeSignals[placement.worker.id]?.trySend(Unit)
    }

    /** Polls the worker, whose clock was last read long ago. Returns null if it does not answer. */
    private suspend fun withFreshLease(placement: Placement): Placement? =
        if (pollRuns(placement.worker.id)) cell.withFreshLease(placement, clock.millis()) else null

    /**
     * Sends the order of [placement]. Once the answer is overdue, the worker is asked for its list of runs; an answer that arrives later
     * still counts.
     */
    private suspend fun answerOf(placement: Placement): StartOutcome = coroutineScope {
        val order = with(placement) { StartOrder(order.run, order.payload, leaseUntilMs, cell.token, incarnationMs) }
        val answer = async { timedStart(placement.worker, order) }
        val overdueMs = cell.responseTimes.overdueMs
        val timelyAnswer = if (overdueMs != null) withTimeoutOrNull(overdueMs) { answer.await() } else answer.await()
        timelyAnswer ?: run {
            cell.onCallLost(clock.millis())
            handle(cell.onStart(placement, StartOutcome.Unknown("overdue"), clock.millis()))
            scope.launch { pollRuns(placement.worker.id) }
            answer.await()
        }
    }

    private suspend fun timedStart(worker: WorkerEntry, order: StartOrder): StartOutcome {
        val sentAt = clock.millis()
        val outcome = port.start(worker, order, rules.startTimeoutMs)
        if (outcome !is StartOutcome.NotSent) cell.responseTimes.add(clock.millis() - sentAt)
        return outcome
    }

    /** Asks a worker for its list of runs and applies it to the cell. Returns false if there was no answer. */
    private suspend fun pollRuns(workerId: String): Boolean {
        delay(POLL_DELAY_MS)
        val plan = cell.planPoll(workerId, clock.millis()) ?: return false
        val outcome = sendAgainIfOverdue({ it !is LeaseOutcome.NoAnswer }) { port.lease(plan.worker, plan.call, rules.answerMarginMs) }
        if (outcome is LeaseOutcome.Answered) handle(cell.onReport(plan, outcome.report, clock.millis()))
        return outcome is LeaseOutcome.Answered
    }

    /**
     * Makes [call], which is idempotent, and makes it once more if its answer is overdue: of an order that was lost, the poll and the stop
     * may be lost as well, and its task waits for both. Returns the first outcome that [isAnswer], if there is one.
     */
    private suspend fun <T : Any> sendAgainIfOverdue(isAnswer: (T) -> Boolean, call: suspend () -> T): T = coroutineScope {
        val first = async { call() }
        val overdueMs = cell.responseTimes.overdueMs ?: return@coroutineScope first.await()
        withTimeoutOrNull(overdueMs) { first.await() }?.let { return@coroutineScope it }
        val second = async { call() }
        val (earlier, later) = select {
            first.onAwait { it to second }
            second.onAwait { it to first }
        }
        if (isAnswer(earlier)) earlier.also { later.cancel() } else later.await()
    }

    /** Stops the runs that [matches] selects. Returns how many these are. */
    fun stopRuns(matches: (RunOrder) -> Boolean): Int {
        val stops = cell.stopRuns(clock.millis(), matches)
        handle(stops)
        return stops.size
    }

    /** Repeats unconfirmed stops, and ends runs whose lease has expired. */
    fun tick() = handle(cell.tick(clock.millis()))

    /**
     * Stops all calls, because another VM owns the cell now. The runs are reported as lost after the longest time that a lease can last: by
     * then the new owner has stopped them or their leases have expired, since it renews no lease for them.
     */
    fun abandon() {
        controllerJob.cancel()
        val lost = cell.abandon()
        vmScope.launch {
            delay(rules.longestLeaseMs)
            handle(lost)
        }
    }

    private fun handle(events: List<CellEvent>) {
        events.forEach { event ->
            when (event) {
                is CellEvent.Ended -> listener.ended(event.order, event.end, event.workerId)
                is CellEvent.Stop -> scope.launch { stop(event.worker, event.run) }
                is CellEvent.PollRuns -> scope.launch { pollRuns(event.workerId) }
                is CellEvent.Fenced -> listener.fenced(cell.name)
            }
        }
    }

    private suspend fun stop(worker: WorkerEntry, run: TaskRun) {
        val isConfirmed = sendAgainIfOverdue({ it }) { port.stop(worker, run, cell.token, rules.answerMarginMs) }
        if (!isConfirmed) {
            log.info { "event=stop_not_confirmed ${run.logFields()} worker=${worker.id}" }
            return
        }
        handle(cell.onStopped(worker.id, run, clock.millis()))
        wakeSignals[worker.id]?.trySend(Unit)
    }

    private suspend fun leaseLoop(id: String, signal: Channel<Unit>) {
        val guard = LoopGuard("lease of $id")
        while (scope.isActive && id in cell.workerIds()) {
            guard.attempt("lease") { leaseStep(id, signal) } ?: delay(RETRY_MS)
        }
        wakeSignals.remove(id)
    }

    private suspend fun leaseStep(id: String, signal: Channel<Unit>) {
        val plan = cell.planLease(id, clock.millis())
        if (plan == null) {
            withTimeoutOrNull(IDLE_CHECK_MS) { signal.receive() }
        } else if (!plan.isAcknowledgement() || withTimeoutOrNull(ACKNOWLEDGE_MS) { signal.receive() } == null) {
            lease(plan)
        }
    }

    /** True for a call that only acknowledges ended runs. It may be delayed, to be combined with the call for the next run. */
    private fun LeasePlan.isAcknowledgement() =
        call.leaseUntilMs == null && call.waitMs == 0 && call.seenEnd > 0 && !cell.hasRuns(worker.id)

    private suspend fun lease(plan: LeasePlan) {
        val fresh = cell.planLease(plan.worker.id, clock.millis()) ?: return
        val hasAnswered = send(fresh)
        when {
            hasAnswered && fresh.call.waitMs == 0 && cell.hasRuns(fresh.worker.id) -> delay(IMMEDIATE_CALL_PAUSE_MS)

            // The first call that is lost is repeated at once: the lease has to be renewed.
            !hasAnswered && fresh.call.leaseUntilMs == null -> delay(RETRY_MS)
        }
    }

    /** Sends the call of [plan] and applies its answer to the cell. Returns false if there was no usable answer. */
    private suspend fun send(plan: LeasePlan): Boolean {
        when (val outcome = answerOf(plan)) {
            // The worker's list of runs has been applied by the poll, and the next call renews the lease.
            null -> return true

            is LeaseOutcome.Answered -> {
                handle(cell.onReport(plan, outcome.report, clock.millis()))
                return true
            }

            is LeaseOutcome.Fenced -> {
                // This VM no longer renews the lease, so that the runs end at a known time.
                cell.onNoAnswer(plan)
                listener.fenced(cell.name)
            }

            is LeaseOutcome.OtherIncarnation -> handle(cell.onOtherIncarnation(plan, clock.millis()))

            is LeaseOutcome.NoAnswer -> {
                log.info { "event=worker_silent worker=${plan.worker.id} cell=${cell.name} reason=\"${outcome.reason}\"" }
                cell.onNoAnswer(plan)
            }
        }
        return false
    }

    /** Sends the call of [plan]. Returns null if its answer was overdue and the worker has answered a later poll instead. */
    private suspend fun answerOf(plan: LeasePlan): LeaseOutcome? = coroutineScope {
        val answer = async { port.lease(plan.worker, plan.call, plan.call.waitMs + rules.answerMarginMs) }
        val overdueMs = cell.responseTimes.overdueMs.takeIf { plan.call.leaseUntilMs != null }
        val timelyAnswer = if (overdueMs != null) withTimeoutOrNull(plan.call.waitMs + overdueMs) { answer.await() } else answer.await()
        timelyAnswer ?: pollInstead(plan, answer)
    }

    /** Polls the worker's runs, because the [answer] to [plan] is overdue; waits for that answer if the poll gets none either. */
    private suspend fun pollInstead(plan: LeasePlan, answer: Deferred<LeaseOutcome>): LeaseOutcome? {
        cell.onCallLost(clock.millis())
        if (!pollRuns(plan.worker.id)) return answer.await()
        answer.cancel()
        return null
    }

    private companion object {
        /** Longest time after which the lease loop of an idle worker plans again without a signal, in ms. */
        const val IDLE_CHECK_MS = 2_000L

        /** How long an acknowledgement is delayed so that it can be sent with the call for the next run, in ms. */
        const val ACKNOWLEDGE_MS = 1_000L

        /** Pause after a lease call that the worker was to answer at once, in ms. */
        const val IMMEDIATE_CALL_PAUSE_MS = 20L

        /** Pause after a lost call that did not renew the lease, in ms. */
        const val RETRY_MS = 150L

        /**
         * Delay of a poll, in ms, so that it is sent later than the timeout of the order that caused it. Only then must the worker's list
         * contain the order's run, if the run exists.
         */
        const val POLL_DELAY_MS = 1L
    }
}
