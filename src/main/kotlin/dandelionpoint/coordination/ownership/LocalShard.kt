/* State of one shard in this VM: the grant to start ids, the shard row as last read, and the entries of submissions. */
package dandelionpoint.coordination.ownership

import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.state.record.RecordEntry
import dandelionpoint.state.record.RecordShard
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Whether an id may start on this VM. */
internal sealed interface StartEvaluation {
    /** The id is running or finished: [entry] decides. */
    data class Known(val entry: RecordEntry) : StartEvaluation

    /** The id has no entry or only an intent: the [verdict] of [OwnershipRules] decides. */
    data class ByRules(val verdict: Verdict) : StartEvaluation
}

/** State of one shard under one lock. A start checks the grant and marks the id within one critical section. */
internal class LocalShard(val number: Int, private val rules: OwnershipRules, private val settings: OwnershipSettings) {
    val records = RecordShard(settings.resultMemoryBytes)

    /** Wakes the [ShardController] of this shard. */
    val wakeController = Channel<Unit>(Channel.CONFLATED)

    /** Wakes the [RecordWriter] of this shard. */
    val wakeRecords = Channel<Unit>(Channel.CONFLATED)

    private val lock = ReentrantLock()
    private val changeCount = MutableStateFlow(0L)
    private var currentGrant: Grant? = null
    private var lastSeenRow: SeenRow? = null
    private var highestStarted = Long.MIN_VALUE
    private var lastEpoch = 0L
    private var claimRequested = false
    private var releaseRequested = false

    /** Number of state changes so far that can turn a [Verdict.Wait] into another verdict. */
    val changes: StateFlow<Long> get() = changeCount

    val grant: Grant? get() = lock.withLock { currentGrant }

    val seen: SeenRow? get() = lock.withLock { lastSeenRow }

    /** Whether the [ShardController] is to hand the shard over to another VM. */
    val isReleaseRequested: Boolean get() = lock.withLock { releaseRequested }

    /** Whether the [ShardController] is to take the shard as soon as it is free. */
    val isClaimRequested: Boolean get() = lock.withLock { claimRequested }

    /** Marks [id] as running if the rules allow it now; in mode `commit` as intended, until [confirmStart] marks it as running. */
    fun tryStart(id: SubmissionId, digest: String): StartEvaluation = lock.withLock {
        val evaluation = evaluate(id)
        if (evaluation is StartEvaluation.ByRules && evaluation.verdict == Verdict.MayStart) markStarted(id, digest)
        evaluation
    }

    private fun markStarted(id: SubmissionId, digest: String) {
        when (settings.mode) {
            StartMode.HORIZON -> records.start(id, digest)
            StartMode.COMMIT -> records.addIntent(id, digest, lastEpoch)
        }
        highestStarted = maxOf(highestStarted, id.createdAtMs)
    }

    /**
     * Marks [id], whose intent is durable, as running. Returns false and removes the intent if this VM has lost or released the
     * shard since the intent was added.
     */
    fun confirmStart(id: SubmissionId, intent: RecordEntry.Intended): Boolean = lock.withLock {
        val mayStart = records.find(id) === intent && rules.mayConfirm(currentGrant, intent.epoch)
        if (mayStart) records.start(id, intent.digest) else records.withdraw(id, intent)
        changeCount.value++
        mayStart
    }

    /**
     * Removes the mark of a start whose caller was cancelled before it received the decision, or whose intent did not become durable
     * in time.
     */
    fun withdrawStart(id: SubmissionId) = lock.withLock {
        records.find(id)?.let { records.withdraw(id, it) }
        changeCount.value++
    }

    /** Evaluates [id] without changing its state. */
    fun evaluate(id: SubmissionId): StartEvaluation = lock.withLock {
        when (val entry = records.find(id)) {
            null -> StartEvaluation.ByRules(rules.evaluate(id.createdAtMs, currentGrant, lastSeenRow))
            is RecordEntry.Intended -> StartEvaluation.ByRules(rules.evaluateIntended(entry.epoch, currentGrant, lastSeenRow))
            else -> StartEvaluation.Known(entry)
        }
    }

    /** See [OwnershipRules.isProvedNotStarted]; false for an id that has an entry. Times are on the monotonic clock, in ns. */
    fun isProvedNotStarted(id: SubmissionId, sinceNs: Long, nowNs: Long): Boolean = lock.withLock {
        records.find(id) == null && rules.isProvedNotStarted(id.createdAtMs, currentGrant, lastSeenRow, sinceNs, nowNs)
    }

    /** Replaces the grant by the result of [change], if the grant is still that of [epoch]. */
    fun updateGrant(epoch: Long, change: (Grant) -> Grant?) = lock.withLock {
        val held = currentGrant
        if (held != null && held.row.epoch == epoch) setGrant(change(held))
    }

    /** Sets the grant of a new epoch and clears the requests for a claim or release. */
    fun acquire(grant: Grant) = lock.withLock {
        claimRequested = false
        releaseRequested = false
        lastEpoch = grant.row.epoch
        setGrant(grant)
        wakeRecords.trySend(Unit)
    }

    /** Requests the [ShardController] to take the shard, or withdraws the request. */
    fun setClaimRequested(requested: Boolean) = lock.withLock {
        claimRequested = requested
        if (requested) wakeController.trySend(Unit)
    }

    /** Whether [row] shows that a takeover by this VM was applied although its answer was lost. */
    fun isUnacknowledgedTakeover(row: ShardRow, self: VmIdentity): Boolean =
        lock.withLock { currentGrant == null && row.owner == self && !row.released && row.epoch > lastEpoch }

    /** Removes entries that are not running and have expired, or all of them once another VM owns a later epoch. Returns how many. */
    fun dropOldRecords(): Int = lock.withLock {
        val row = lastSeenRow?.row ?: return 0
        val isTakenOver = currentGrant == null && row.epoch > lastEpoch
        records.dropEnded { isTakenOver || it.createdAtMs < row.unknownBelow }
    }

    /** Requests the [ShardController] to hand the shard over. Has no effect without a grant. */
    fun requestRelease() = lock.withLock {
        releaseRequested = currentGrant != null
        wakeController.trySend(Unit)
    }

    /** Lowers the limit of the grant for a handover. From here on no id at or above it starts, even if the write of the release fails. */
    fun lowerLimit(epoch: Long, nowMs: Long): Grant? = lock.withLock {
        updateGrant(epoch) { it.copy(limit = rules.handoverLimit(it, highestStarted, nowMs)) }
        currentGrant
    }

    /** Stops all starts under [epoch] and returns true if no submission is running or without a durable record. */
    fun closeIfIdle(epoch: Long): Boolean = lock.withLock {
        val idle = records.runningCount() == 0 && records.unwrittenCount() == 0
        if (idle) updateGrant(epoch) { it.copy(closed = true) }
        idle
    }

    /** Records the row as read or written. The request was sent at [sentNs] and answered at [nowNs], on the monotonic clock. */
    fun observe(row: ShardRow, version: Long, sentNs: Long, nowNs: Long) = lock.withLock {
        val known = lastSeenRow
        // Responses can arrive out of order; an older version is ignored.
        if (known != null && version < known.version) return@withLock
        val firstSeenNs = if (known != null && known.version == version) known.firstSeenNs else nowNs
        lastSeenRow = SeenRow(row, version, firstSeenNs, maxOf(sentNs, known?.sentNs ?: sentNs), nowNs)
        currentGrant?.let { held -> setGrant(rules.grantAfter(held, row, version)) }
        changeCount.value++
    }

    private fun setGrant(grant: Grant?) {
        currentGrant = grant
        if (grant == null) releaseRequested = false
        changeCount.value++
    }
}
