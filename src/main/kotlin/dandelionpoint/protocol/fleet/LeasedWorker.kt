/* Calls from a cell owner to its workers, and their answers. A worker ends its runs when the owner no longer renews its lease. */
package dandelionpoint.protocol.fleet

/**
 * A worker in the shared list. [capacity] is all that its runs may use together; it may refuse a run that does not fit
 * ([StartRefusal.NO_ROOM]). [startedAtMs] is the wall-clock time in ms at which its current incarnation started, 0 if unknown.
 */
data class WorkerEntry(
    val id: String,
    val pool: String,
    val host: String,
    val port: Int,
    val dataCentre: String,
    val isDraining: Boolean,
    val capacity: Demand,
    val labels: Set<String> = emptySet(),
    val startedAtMs: Long = 0,
)

/**
 * An order to start a run with the lease [leaseUntilMs], a time on the worker's clock. [token] is the fencing token: a worker refuses
 * orders with a token below the highest that it has seen. The order is for the incarnation of the worker that says in its run lists that it
 * started at [startedAtMs] (wall clock, ms; 0 if they don't say it), and for no other one.
 */
data class StartOrder(val run: TaskRun, val payload: String, val leaseUntilMs: Long, val token: Long, val startedAtMs: Long)

/**
 * Why a worker refused to start a run; it has then not started it. FENCED: it has seen a higher token. OUTDATED_RUN: this run or a later
 * one of the task has already ended or was stopped there. LATE: the lease in the order had expired. NO_ROOM: the run does not fit the
 * worker's free capacity. UNHEALTHY: the worker accepts no runs at the moment. OTHER_INCARNATION: the address now belongs to another
 * worker or incarnation. INVALID: the worker rejected the order as malformed, or gave no reason that is known here.
 */
enum class StartRefusal { FENCED, OUTDATED_RUN, LATE, NO_ROOM, UNHEALTHY, OTHER_INCARNATION, INVALID }

/** Outcome of a [StartOrder]. */
sealed interface StartOutcome {
    /** The worker has started the run. [clockMs] is the worker's clock. */
    data class Started(val clockMs: Long) : StartOutcome

    data class Refused(val refusal: StartRefusal) : StartOutcome

    /** The order was not sent, so that the worker has not received it. */
    data class NotSent(val reason: String) : StartOutcome

    /** The worker may have started the run, or may start it later. */
    data class Unknown(val reason: String) : StartOutcome
}

/**
 * A long poll of a worker's run list. It also extends the lease until [leaseUntilMs] on the worker's clock (null: leaves the lease as it
 * is) and acknowledges the ended runs up to number [seenEnd], so that the worker need not list them again. The worker answers when a run
 * ends, at the latest after [waitMs].
 */
data class LeaseCall(val token: Long, val seenEnd: Long, val leaseUntilMs: Long?, val waitMs: Int)

/** A run in progress on a worker, with [percent] of its work done. */
data class RunningRow(val run: TaskRun, val percent: Int)

/** A run that ended on a worker. [number] counts the ended runs of the worker's incarnation, from 1. */
data class EndedRow(val number: Long, val run: TaskRun, val end: RunEnd)

/**
 * A worker's run list, its answer to a [LeaseCall]. [clockMs] is the worker's clock. [startedAtMs] is when its incarnation started, 0 if
 * the answer did not contain it.
 */
data class LeaseReport(val clockMs: Long, val startedAtMs: Long, val running: List<RunningRow>, val ended: List<EndedRow>)

/** Outcome of a [LeaseCall]. */
sealed interface LeaseOutcome {
    data class Answered(val report: LeaseReport) : LeaseOutcome

    /** The worker has seen a higher fencing token. */
    data object Fenced : LeaseOutcome

    /** The address now belongs to another worker or incarnation. */
    data object OtherIncarnation : LeaseOutcome

    data class NoAnswer(val reason: String) : LeaseOutcome
}

/** Sends calls to workers. Each call is sent once, without retries. All times are in ms. */
interface WorkerPort {
    /**
     * Starts a run. Where the incarnation of [order] has ended, it is refused with [StartRefusal.OTHER_INCARNATION], however recently that
     * was and although the worker has kept its id and address.
     */
    suspend fun start(worker: WorkerEntry, order: StartOrder, timeoutMs: Long): StartOutcome

    /** Stops a run; if its start order has not arrived yet, the worker will refuse it. Returns false if the worker did not confirm. */
    suspend fun stop(worker: WorkerEntry, run: TaskRun, token: Long, timeoutMs: Long): Boolean

    suspend fun lease(worker: WorkerEntry, call: LeaseCall, timeoutMs: Long): LeaseOutcome
}
