/*
 * Calls of a simulated VM to the workers and to the shared store. A request that has left the VM is carried out even if the VM is paused or
 * lost meanwhile; the answer then waits or is lost.
 */
package dandelionpoint.fleet.simulation

import arrow.core.Either
import arrow.core.left
import dandelionpoint.protocol.fleet.LeaseCall
import dandelionpoint.protocol.fleet.LeaseOutcome
import dandelionpoint.protocol.fleet.RowChanges
import dandelionpoint.protocol.fleet.RowWrite
import dandelionpoint.protocol.fleet.RowsRead
import dandelionpoint.protocol.fleet.SharedRows
import dandelionpoint.protocol.fleet.StartOrder
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.fleet.WorkerPort
import dandelionpoint.protocol.fleet.WriteResult
import dandelionpoint.protocol.store.StoreError
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Present faults of the calls to workers; each lasts until the given time in ms. */
internal class WorkerCallFaults(private val world: SimulationWorld) {
    /** Nearly all stops are lost. */
    var stopsLostUntil = 0L

    /** Many calls, or their answers, are lost. */
    var callsLostUntil = 0L

    /** Many calls are carried out late and get no answer. */
    var callsLateUntil = 0L

    fun losesStop(): Boolean = world.now() < stopsLostUntil && world.chance(STOP_LOSS)

    fun losesMessage(): Boolean = world.now() < callsLostUntil && world.chance(MESSAGE_LOSS)

    /** Extra delay of a call in ms, 0 for a call that is carried out in time. */
    fun latenessMs(): Long =
        if (world.now() < callsLateUntil && world.chance(LATE_SHARE)) world.random.nextLong(MIN_LATE_MS, MAX_LATE_MS) else 0L

    private companion object {
        const val STOP_LOSS = 0.95
        const val MESSAGE_LOSS = 0.3
        const val LATE_SHARE = 0.3
        const val MIN_LATE_MS = 60L
        const val MAX_LATE_MS = 3_000L
    }
}

/** Makes [action] happen outside the calling VM. Returns its result, or null if that has not arrived within [timeoutMs]. */
private suspend fun <T> SimulationWorld.exchange(timeoutMs: Long, faults: WorkerCallFaults?, action: suspend () -> T): T? {
    val answer = CompletableDeferred<T>()
    val isLost = faults?.losesMessage() == true
    val latenessMs = faults?.latenessMs() ?: 0L
    if (!isLost) {
        scope.launch {
            delay(hopMs() + latenessMs)
            val result = action()
            hop()
            if (latenessMs == 0L && faults?.losesMessage() != true) answer.complete(result)
        }
    }
    return withTimeoutOrNull(timeoutMs) { answer.await() }
}

/** The workers as the VM [vm] calls them. [originOf] returns the VM that dispatched the run of an order. */
internal class SimulatedWorkerPort(
    private val world: SimulationWorld,
    private val workerOf: (String) -> SimulatedWorker,
    private val vm: String,
    private val faults: WorkerCallFaults,
    private val originOf: (StartOrder) -> String,
) : WorkerPort {
    override suspend fun start(worker: WorkerEntry, order: StartOrder, timeoutMs: Long): StartOutcome {
        val origin = originOf(order)
        return world.exchange(timeoutMs, faults) { workerOf(worker.id).start(order, vm, origin) } ?: StartOutcome.Unknown("lost")
    }

    override suspend fun stop(worker: WorkerEntry, run: TaskRun, token: Long, timeoutMs: Long): Boolean {
        val isLost = faults.losesStop()
        world.record(run.task.jobId, "stop of ${run.describe()} sent by $vm to ${worker.id}${if (isLost) ", lost" else ""}")
        if (isLost) {
            delay(timeoutMs)
            return false
        }
        return world.exchange(timeoutMs, faults) { workerOf(worker.id).stop(run, token) } ?: false
    }

    override suspend fun lease(worker: WorkerEntry, call: LeaseCall, timeoutMs: Long): LeaseOutcome =
        world.exchange(timeoutMs, faults) { workerOf(worker.id).lease(call) } ?: LeaseOutcome.NoAnswer("lost")
}

/** Present faults of the path between each VM and the shared store. */
internal class StoreFaults(private val world: SimulationWorld) {
    private val cutUntil = HashMap<String, Long>()

    /** Longest wait of a VM for an answer of the store, in ms. */
    var timeoutMs = DEFAULT_TIMEOUT_MS

    /** Called with the name of the VM when the store has applied one of its claims, before the answer leaves. */
    var onClaim: (String) -> Unit = {}

    /** Carries nothing between the VM [vm] and the store for [ms]; what is under way arrives afterwards. */
    fun cut(vm: String, ms: Long) {
        cutUntil.merge(vm, world.now() + ms, ::maxOf)
    }

    suspend fun awaitPath(vm: String) {
        while (world.now() < (cutUntil[vm] ?: 0L)) delay(cutUntil.getValue(vm) - world.now() + world.hopMs())
    }

    private companion object {
        const val DEFAULT_TIMEOUT_MS = 500L
    }
}

/** The shared store [rows] as the VM [vm] calls it. */
internal class SimulatedStore(
    private val world: SimulationWorld,
    private val rows: SharedRows,
    private val vm: String,
    private val faults: StoreFaults,
) : SharedRows {
    override suspend fun read(table: String, from: String, to: String): Either<StoreError, RowsRead> =
        exchange { rows.read(table, from, to) } ?: LOST.left()

    override suspend fun changes(table: String, version: Long, waitMs: Long): Either<StoreError, RowChanges> =
        exchange(waitMs) { rows.changes(table, version, waitMs) } ?: LOST.left()

    override suspend fun write(table: String, key: String, value: ByteArray?, expected: Long?): Either<StoreError, WriteResult> =
        exchange { rows.write(table, key, value, expected) } ?: LOST.left()

    override suspend fun writeAll(table: String, writes: List<RowWrite>): Either<StoreError, WriteResult> = exchange {
        rows.writeAll(table, writes).also { if (it.getOrNull() is WriteResult.Written && writes.any(::isClaim)) faults.onClaim(vm) }
    } ?: LOST.left()

    /** A claim contains its token only from the first renewal on. */
    private fun isClaim(write: RowWrite) = write.value?.decodeToString()?.contains("\"token\":0") == true

    private suspend fun <T> exchange(waitMs: Long = 0, action: suspend () -> T): T? = world.exchange(waitMs + faults.timeoutMs, null) {
        faults.awaitPath(vm)
        action().also { faults.awaitPath(vm) }
    }

    private companion object {
        val LOST = StoreError.OutcomeUnknown("no answer")
    }
}
