/* What a keeper tells workers and hears from them. Runs live only while the keeper renews the worker's lease. */
package dandelionpoint.protocol.fleet

/**
 * A worker in the shared list. [bornMs] is the wall-clock start of its incarnation, 0 if unknown. A worker that [guardsCapacity]
 * refuses runs that do not fit.
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
    val bornMs: Long = 0,
)

/** An order to start a run. [leaseUntilMs] is on the worker's clock. The worker ignores tokens below the highest it has seen. */
data class StartOrder(val run: TaskRun, val payload: String, val leaseUntilMs: Long, val token: Long)

/** Why a worker refused to start a run; it has then not started it. */
enum class StartRefusal { FENCED, OUTDATED_RUN, LATE, NO_ROOM, UNHEALTHY, OTHER_INCARNATION, INVALID }

/** Outcome of a [StartOrder]. */
sealed interface StartOutcome {
    /** The run is there. [clockMs] is the worker's clock. */
    data class Started(val clockMs: Long) : StartOutcome

    data class Refused(val refusal: StartRefusal) : StartOutcome

    /** The order did not reach the worker. */
    data class NotSent(val reason: String) : StartOutcome

    /** The worker may have started the run, or may start it later. */
    data class Unknown(val reason: String) : StartOutcome
}

/**
 * Renews the lease until [leaseUntilMs] on the worker's clock (null: leaves it), acknowledges ends up to [seenEnd], and asks for the
 * runs. The worker answers at the next end, at the latest after [waitMs].
 */
data class LeaseCall(val token: Long, val seenEnd: Long, val leaseUntilMs: Long?, val waitMs: Int)

/** A run in progress on a worker; [percent] of its work is done. */
data class RunningRow(val run: TaskRun, val percent: Int)

/** A run that ended on a worker; [number] rises by one with each end of an incarnation. */
data class EndedRow(val number: Long, val run: TaskRun, val end: RunEnd)

/** A worker's answer to a [LeaseCall]. [bornMs] is 0 if the worker did not say it. */
data class LeaseReport(val clockMs: Long, val bornMs: Long, val running: List<RunningRow>, val ended: List<EndedRow>)

/** Outcome of a [LeaseCall]. */
sealed interface LeaseOutcome {
    data class Answered(val report: LeaseReport) : LeaseOutcome

    /** A higher token has been seen by the worker. */
    data object Fenced : LeaseOutcome

    /** The address now belongs to another worker or incarnation. */
    data object OtherIncarnation : LeaseOutcome

    data class NoAnswer(val reason: String) : LeaseOutcome
}

/** Sends orders to workers, each call once. All times are in ms. */
interface WorkerPort {
    suspend fun start(worker: WorkerEntry, order: StartOrder, timeoutMs: Long): StartOutcome

    /** Stops a run, and keeps one that is not there yet from starting. Returns false if the worker did not confirm it. */
    suspend fun stop(worker: WorkerEntry, run: TaskRun, token: Long, timeoutMs: Long): Boolean

    suspend fun lease(worker: WorkerEntry, call: LeaseCall, timeoutMs: Long): LeaseOutcome
}
