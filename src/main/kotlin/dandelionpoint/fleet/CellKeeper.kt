/*
 * Keeps one cell: sends starts and stops, and holds one lease call open for each worker that has runs. Decisions are in [Cell].
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
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

private val log = KotlinLogging.logger {}

/** Hears what happens to a cell's runs. */
internal interface CellListener {
    /** [order] has ended on the worker [workerId] and runs nowhere any more. */
    fun ended(order: RunOrder, end: RunEnd, workerId: String)

    /** Another VM keeps the cell now. */
    fun fenced(cell: String)
}

/** Runs [cell]. [vmScope] bounds its life. */
internal class CellKeeper(
    private val vmScope: CoroutineScope,
    val cell: Cell,
    private val port: WorkerPort,
    private val listener: CellListener,
    private val clock: Clock = Clock.System,
    private val rules: FleetRules = FleetRules(),
) {
    private val life = SupervisorJob(vmScope.coroutineContext[Job])
    private val scope = CoroutineScope(vmScope.coroutineContext + life)
    private val signals = ConcurrentHashMap<String, Channel<Unit>>()

    /** Takes the cell's workers and attends to new ones. */
    fun updateWorkers(entries: List<WorkerEntry>) {
        cell.updateWorkers(entries)
        cell.workerIds().forEach { id ->
            signals.computeIfAbsent(id) { Channel<Unit>(Channel.CONFLATED).also { scope.launch { attend(id, it) } } }
        }
    }

    /** Wakes the attendants, after workers were released. */
    fun wake() = signals.values.forEach { it.trySend(Unit) }

    /** Starts [order] on a worker; false if none has room. */
    fun place(order: RunOrder): Boolean {
        val placement = cell.place(order, clock.millis()) ?: return false
        scope.launch { start(placement) }
        return true
    }

    private suspend fun start(placement: Placement) {
        val order = StartOrder(placement.order.run, placement.order.payload, placement.leaseUntilMs, cell.token)
        signals[placement.worker.id]?.trySend(Unit)
        val outcome = answerOf(placement, order)
        if (outcome !is StartOutcome.Started) {
            log.info {
                "event=start_not_confirmed task=${order.run.task} run=${order.run.run} worker=${placement.worker.id} outcome=$outcome"
            }
        }
        handle(cell.onStart(placement, outcome, clock.millis()))
        if (outcome is StartOutcome.Unknown) look(placement.worker.id)
    }

    /** Sends [order]. The worker's list is looked at as soon as the answer is overdue; the answer still counts when it comes. */
    private suspend fun answerOf(placement: Placement, order: StartOrder): StartOutcome = coroutineScope {
        val answer = async { timedStart(placement.worker, order) }
        val early = if (cell.answers.areFast) withTimeoutOrNull(rules.overdueMs) { answer.await() } else answer.await()
        early ?: run {
            cell.callLost(clock.millis())
            handle(cell.onStart(placement, StartOutcome.Unknown("overdue"), clock.millis()))
            scope.launch { look(placement.worker.id) }
            answer.await()
        }
    }

    private suspend fun timedStart(worker: WorkerEntry, order: StartOrder): StartOutcome {
        val sentAt = clock.millis()
        val outcome = port.start(worker, order, rules.startTimeoutMs)
        if (outcome !is StartOutcome.NotSent) cell.answers.add(clock.millis() - sentAt)
        return outcome
    }

    /** Asks for the worker's list of runs and takes it. Returns false if no answer came. */
    private suspend fun look(workerId: String): Boolean {
        delay(LOOK_DELAY_MS)
        val plan = cell.planLook(workerId, clock.millis()) ?: return false
        val outcome = port.lease(plan.worker, plan.call, rules.answerMarginMs)
        if (outcome is LeaseOutcome.Answered) handle(cell.onReport(plan, outcome.report, clock.millis()))
        return outcome is LeaseOutcome.Answered
    }

    /** Stops the runs that [matches] selects. */
    fun stopRuns(matches: (RunOrder) -> Boolean) = handle(cell.stopRuns(matches))

    /** Ends runs whose lease has expired. */
    fun tick() = handle(cell.tick(clock.millis()))

    /** Ends the keeping. Runs are reported as lost once the new keeper has stopped them or their lease has expired. */
    fun abandon() {
        life.cancel()
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
                is CellEvent.Look -> scope.launch { look(event.workerId) }
                is CellEvent.Fenced -> listener.fenced(cell.name)
            }
        }
    }

    private suspend fun stop(worker: WorkerEntry, run: TaskRun) {
        val isConfirmed = port.stop(worker, run, cell.token, rules.answerMarginMs)
        if (isConfirmed) handle(cell.onStopped(worker.id, run, clock.millis()))
    }

    private suspend fun attend(id: String, signal: Channel<Unit>) {
        while (scope.isActive && id in cell.workerIds()) {
            val plan = cell.planLease(id, clock.millis())
            if (plan == null) {
                withTimeoutOrNull(IDLE_CHECK_MS) { signal.receive() }
            } else if (plan.isAcknowledgement() && withTimeoutOrNull(ACKNOWLEDGE_MS) { signal.receive() } != null) {
                continue
            } else {
                lease(plan)
            }
        }
        signals.remove(id)
    }

    /** True for a call that only acknowledges ends: it can wait a little for the next run. */
    private fun LeasePlan.isAcknowledgement() = call.leaseUntilMs == null && call.seenEnd > 0 && !cell.hasRuns(worker.id)

    private suspend fun lease(plan: LeasePlan) {
        val fresh = cell.planLease(plan.worker.id, clock.millis()) ?: return
        val hasAnswered = send(fresh)
        when {
            hasAnswered && fresh.call.waitMs == 0 && cell.hasRuns(fresh.worker.id) -> delay(POLL_PAUSE_MS)

            // The first call that is lost is repeated at once: the lease has to be renewed.
            !hasAnswered && fresh.call.leaseUntilMs == null -> delay(RETRY_MS)
        }
    }

    /** Sends the call of [plan] and takes its answer. Returns false if there was none. */
    private suspend fun send(plan: LeasePlan): Boolean {
        when (val outcome = answerOf(plan)) {
            // The list has been taken, and the lease is renewed by the next call.
            null -> return true

            is LeaseOutcome.Answered -> {
                handle(cell.onReport(plan, outcome.report, clock.millis()))
                return true
            }

            is LeaseOutcome.Fenced -> {
                // The lease is no longer renewed from here, so that the runs end at a known time.
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

    /** Sends the call of [plan]. Returns null if its answer was overdue and the worker has answered a later look. */
    private suspend fun answerOf(plan: LeasePlan): LeaseOutcome? = coroutineScope {
        val answer = async { port.lease(plan.worker, plan.call, plan.call.waitMs + rules.answerMarginMs) }
        val mayLook = plan.call.leaseUntilMs != null && cell.answers.areFast
        val early = if (mayLook) withTimeoutOrNull(plan.call.waitMs + rules.overdueMs) { answer.await() } else answer.await()
        early ?: lookInstead(plan, answer)
    }

    private suspend fun lookInstead(plan: LeasePlan, answer: Deferred<LeaseOutcome>): LeaseOutcome? {
        cell.callLost(clock.millis())
        if (!look(plan.worker.id)) return answer.await()
        answer.cancel()
        return null
    }

    private companion object {
        const val IDLE_CHECK_MS = 2_000L

        /** How long an acknowledgement waits for a run to travel with. */
        const val ACKNOWLEDGE_MS = 250L
        const val POLL_PAUSE_MS = 20L
        const val RETRY_MS = 150L

        /** Lists that are asked for this long after an order's timeout must have its run, if it exists, in ms. */
        const val LOOK_DELAY_MS = 1L
    }
}
