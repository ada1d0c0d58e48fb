/* Rules of shard ownership as pure functions. */
package dandelionpoint.coordination.ownership

import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.peer.VmIdentity

/** Role of this VM for a shard. */
internal enum class ShardRole {
    OWNER,

    /** The owner until its release: it still finishes the ids below its lowered horizon. */
    PREVIOUS,
}

/**
 * Right of this VM to start ids of a shard.
 *
 * @property row the row that this VM wrote last under its epoch
 * @property version the version of [row]
 * @property limit the lowest creation time, in ms, of ids that must not start under this grant
 * @property confirmedNs when the last successful write of the row was sent, on the monotonic clock
 * @property loaded the records of earlier epochs are in memory
 * @property closed no id starts: the epoch is about to complete, or it is not certain that this VM still holds it
 */
internal data class Grant(
    val row: ShardRow,
    val version: Long,
    val limit: Long,
    val confirmedNs: Long,
    val role: ShardRole = ShardRole.OWNER,
    val loaded: Boolean = false,
    val closed: Boolean = false,
)

/**
 * A shard row as this VM last read or wrote it. Times are on the monotonic clock.
 *
 * @property firstSeenNs when the first answer that showed this version was received
 * @property sentNs when the latest call that showed it was sent
 * @property lastSeenNs when the answer of that call was received
 */
internal data class SeenRow(val row: ShardRow, val version: Long, val firstSeenNs: Long, val sentNs: Long, val lastSeenNs: Long)

/** What may be done with an id that is neither running nor finished in the memory of this VM. */
internal sealed interface Verdict {
    /** The id has not started anywhere and may start here. */
    data object MayStart : Verdict

    /** Not known before the state of the shard changes. */
    data object Wait : Verdict

    /** The id may have started under an earlier epoch, and its outcome is unknown. */
    data object OwnerLost : Verdict

    /** The VM [to] decides on the id. */
    data class Forward(val to: VmIdentity) : Verdict
}

/** Decisions of one VM, [self], on its own and other VMs' shards. */
internal class OwnershipRules(private val self: VmIdentity, private val settings: OwnershipSettings) {
    /** Refuses ids outside the time window in which records are kept. */
    fun checkTime(createdAtMs: Long, nowMs: Long): Refusal? = when {
        createdAtMs < nowMs - settings.recordLifetimeMs -> Refusal(ResultCode.ID_EXPIRED)
        createdAtMs > nowMs + settings.futureToleranceMs -> Refusal(ResultCode.ID_FROM_FUTURE)
        else -> null
    }

    /**
     * Row that a new owner writes. After a release the previous owner keeps its ids; without one the outcome of its unrecorded ids is
     * unknown.
     */
    fun takeOver(old: ShardRow?, nowMs: Long): ShardRow {
        val horizon = nowMs + settings.horizonMs
        return when {
            old == null -> ShardRow(epoch = 1, owner = self, horizon = horizon)

            settings.mode == StartMode.COMMIT ->
                ShardRow(
                    epoch = old.epoch + 1,
                    owner = self,
                    horizon = maxOf(horizon, old.horizon),
                    previous = if (old.released) old.previous else null,
                    unknownBelow = old.unknownBelow,
                )

            old.released ->
                ShardRow(
                    epoch = old.epoch + 1,
                    owner = self,
                    horizon = maxOf(horizon, old.horizon),
                    previous = old.previous,
                    lowerBound = old.horizon,
                    earlierRecordsComplete = false,
                    unknownBelow = old.unknownBelow,
                )

            else ->
                ShardRow(
                    epoch = old.epoch + 1,
                    owner = self,
                    horizon = maxOf(horizon, old.horizon),
                    lowerBound = old.horizon,
                    earlierRecordsComplete = false,
                    unknownBelow = old.horizon,
                )
        }
    }

    /**
     * Row of a renewal. [ShardRow.unknownBelow] rises to the expiry time before any record below it is deleted, so that an id
     * whose record was deleted can never start, whatever the clock of a later owner shows.
     */
    fun renew(row: ShardRow, nowMs: Long): ShardRow = row.copy(
        horizon = maxOf(row.horizon, nowMs + settings.horizonMs),
        unknownBelow = maxOf(row.unknownBelow, nowMs - settings.recordLifetimeMs - settings.futureToleranceMs),
    )

    /** Grant of an epoch that this VM has just acquired. */
    fun grantOf(row: ShardRow, version: Long, confirmedNs: Long): Grant = Grant(row, version, limitOf(row), confirmedNs)

    /** Limit of a grant. In mode `commit` starts are limited by intents, not by the horizon. */
    fun limitOf(row: ShardRow): Long = if (settings.mode == StartMode.COMMIT) Long.MAX_VALUE else row.horizon

    /** Lowered horizon of a handover, in ms: above each id that was started, and not above the durable horizon. */
    fun handoverLimit(grant: Grant, highestStartedMs: Long, nowMs: Long): Long = when (settings.mode) {
        StartMode.HORIZON -> minOf(grant.limit, maxOf(nowMs + settings.handoverLeadMs, highestStartedMs + 1, grant.row.lowerBound))
        StartMode.COMMIT -> Long.MIN_VALUE
    }

    /** Row that the owner writes to release the shard: [limit] becomes the horizon, except in mode `commit`. */
    fun release(row: ShardRow, limit: Long): ShardRow =
        row.copy(horizon = if (settings.mode == StartMode.COMMIT) row.horizon else limit, released = true, previous = self)

    /** Row after the previous owner has completed its epoch. */
    fun previousComplete(row: ShardRow): ShardRow = row.copy(previous = null, earlierRecordsComplete = true)

    /** Row after the epoch of the previous owner was closed before it was complete: the outcome of its unrecorded ids is unknown. */
    fun previousLost(row: ShardRow): ShardRow = when (settings.mode) {
        StartMode.HORIZON -> row.copy(previous = null, earlierRecordsComplete = false, unknownBelow = row.lowerBound)
        StartMode.COMMIT -> row.copy(previous = null)
    }

    /** Whether a VM other than the owner may take the shard: the row is absent, released, or unchanged for a whole lease. */
    fun isFree(seen: SeenRow?): Boolean = seen == null || seen.row.released || isExpired(seen)

    /** Whether the row was unchanged for a whole lease and [OwnershipSettings.takeoverMarginMs], as measured by this VM. */
    fun isExpired(seen: SeenRow): Boolean = seen.lastSeenNs - seen.firstSeenNs >= settings.takeoverAfterMs * NS_PER_MS

    /**
     * The grant after [row] was read in [version], null if it is lost. An owner that reads a later epoch has lost the shard, unless
     * the row names it as the previous owner: then its release was applied although the answer was lost. A later version of its
     * own epoch is a write of this VM that was applied late.
     */
    fun grantAfter(grant: Grant, row: ShardRow, version: Long): Grant? {
        val isPrevious = row.previous == self && row.epoch <= grant.row.epoch + 1
        return when {
            version <= grant.version || row.epoch < grant.row.epoch -> grant

            isPrevious && grant.role == ShardRole.PREVIOUS -> grant

            isPrevious ->
                grant.copy(
                    role = ShardRole.PREVIOUS,
                    limit = minOf(grant.limit, if (row.epoch == grant.row.epoch) row.horizon else row.lowerBound),
                )

            row.epoch > grant.row.epoch -> null

            else -> grant.copy(row = row, version = version)
        }
    }

    /** Whether the lease of [grant] has not expired by this VM's monotonic clock, so that no other VM can have taken the shard. */
    fun isLeaseValid(grant: Grant, nowNs: Long): Boolean =
        grant.role == ShardRole.OWNER && nowNs - grant.confirmedNs < settings.horizonMs * NS_PER_MS

    /** What may be done with an id that has no entry in memory here. */
    fun evaluate(createdAtMs: Long, grant: Grant?, seen: SeenRow?): Verdict = when {
        grant == null -> evaluateWithoutGrant(createdAtMs, seen)
        createdAtMs >= grant.limit -> if (grant.role == ShardRole.PREVIOUS) forwardToOwner(createdAtMs, seen) else Verdict.Wait
        createdAtMs < grant.row.unknownBelow -> if (grant.loaded) Verdict.OwnerLost else Verdict.Wait
        createdAtMs < grant.row.lowerBound -> evaluateBelowLowerBound(grant)
        grant.closed || (settings.mode == StartMode.COMMIT && !grant.loaded) -> Verdict.Wait
        else -> Verdict.MayStart
    }

    /** What may be done with an id that has an intent of [epoch] and no record (mode `commit`). */
    fun evaluateIntended(epoch: Long, grant: Grant?, seen: SeenRow?): Verdict = when {
        grant == null -> forwardToOwner(Long.MIN_VALUE, seen)
        grant.row.epoch == epoch -> Verdict.Wait
        grant.row.previous != null && grant.row.epoch == epoch + 1 -> Verdict.Forward(grant.row.previous)
        else -> Verdict.OwnerLost
    }

    /** Whether a durable intent of [epoch] may start: the epoch is still held and not being handed over. */
    fun mayConfirm(grant: Grant?, epoch: Long): Boolean =
        grant != null && grant.row.epoch == epoch && grant.role == ShardRole.OWNER && !grant.closed && grant.limit == Long.MAX_VALUE

    /** Ids below the lower bound belong to the previous owner until its epoch has ended. */
    private fun evaluateBelowLowerBound(grant: Grant): Verdict = when {
        grant.row.previous != null -> Verdict.Forward(grant.row.previous)
        !grant.loaded || grant.closed -> Verdict.Wait
        grant.row.earlierRecordsComplete -> Verdict.MayStart
        else -> Verdict.OwnerLost
    }

    private fun evaluateWithoutGrant(createdAtMs: Long, seen: SeenRow?): Verdict {
        // After this VM has completed its epoch, the new owner forwards to it until it has read that. Waiting avoids a forwarding loop.
        val ownCompletionUnread = seen?.row?.previous == self && createdAtMs < seen.row.lowerBound
        return if (ownCompletionUnread) Verdict.Wait else forwardToOwner(createdAtMs, seen)
    }

    private fun forwardToOwner(createdAtMs: Long, seen: SeenRow?): Verdict = when {
        seen == null || seen.row.owner == self || isExpired(seen) -> Verdict.Wait
        seen.row.released && createdAtMs >= seen.row.horizon -> Verdict.Wait
        else -> Verdict.Forward(seen.row.owner)
    }

    /**
     * Whether an id without an entry is proved not to have started at some time after [sinceNs]: it is at or above a horizon that
     * was in force then, or in the range that only this VM can start. Without this proof a refusal must not say "not run".
     */
    fun isProvedNotStarted(createdAtMs: Long, grant: Grant?, seen: SeenRow?, sinceNs: Long, nowNs: Long): Boolean {
        if (settings.mode == StartMode.COMMIT) return grant != null && grant.loaded && isLeaseValid(grant, nowNs)
        val ownRange = grant != null && createdAtMs < grant.limit && createdAtMs >= maxOf(grant.row.lowerBound, grant.row.unknownBelow)
        val underValidLease = grant != null && createdAtMs >= grant.limit && isLeaseValid(grant, nowNs)
        val aboveSeenHorizon = seen != null && seen.sentNs >= sinceNs && createdAtMs >= seen.row.horizon
        return ownRange || underValidLease || aboveSeenHorizon
    }

    companion object {
        const val NS_PER_MS = 1_000_000L
    }
}
