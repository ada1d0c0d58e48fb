/* Writes one shard's row: takeover, renewal, release, and the end of the previous owner's epoch. */
package dandelionpoint.coordination.ownership

import arrow.core.getOrElse
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.store.Check
import dandelionpoint.protocol.store.Put
import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.Transaction
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.encodeToString

private val logger = KotlinLogging.logger {}

/** Collaborators of the loops that serve one shard. */
internal class ShardContext(
    val self: VmIdentity,
    val rules: OwnershipRules,
    val settings: OwnershipSettings,
    val clock: Clock,
    val writer: ConditionalWriter,
    val reader: RecordReader,
    val isPresent: (VmIdentity) -> Boolean,
    val nextWriteId: () -> String,
)

/** The only writer of its shard's row in this VM; its steps run one after the other. */
internal class RowKeeper(private val shard: LocalShard, private val context: ShardContext) {
    private val settings = context.settings
    private val rules = context.rules
    private val key = OwnershipKeys.shard(shard.number)
    private var renewedNs = 0L
    private var triedNs = 0L
    private var releasedNs: Long? = null
    private var previousSinceNs: Long? = null
    private var previousPresentNs: Long? = null
    private var previousLoad: Deferred<Boolean>? = null

    suspend fun run(scope: CoroutineScope) {
        while (true) {
            shard.wakeRow.awaitAtMost(pauseMs())
            step(scope)
        }
    }

    private fun pauseMs(): Long {
        val grant = shard.grant ?: return settings.renewEveryMs
        val quick = grant.role == ShardRole.PREVIOUS || grant.row.previous != null || shard.isReleaseWanted
        val untilRenewal = maxOf(settings.renewEveryMs - sinceMs(renewedNs), settings.renewRetryMs - sinceMs(triedNs))
        return if (quick) settings.nudgeEveryMs else untilRenewal.coerceAtLeast(1)
    }

    private suspend fun step(scope: CoroutineScope) {
        val grant = shard.grant
        when {
            grant == null -> claim(scope)

            grant.role == ShardRole.PREVIOUS -> completeEpoch(grant)

            shard.isReleaseWanted && grant.row.previous == null -> release(grant)

            else -> {
                if (grant.row.previous != null) resolvePrevious(grant, grant.row.previous, scope)
                renewIfDue()
            }
        }
    }

    private suspend fun claim(scope: CoroutineScope) {
        val seen = shard.seen
        if (seen != null && shard.isUnclaimedEpoch(seen.row, context.self)) {
            // When the takeover was applied is not known, so its lease counts as run out until the first renewal.
            val longAgoNs = context.clock.nanos() - settings.takeoverAfterMs * OwnershipRules.NS_PER_MS
            adopt(seen.row, seen.version, longAgoNs, scope)
        } else if (shard.isClaimWanted && rules.isFree(seen)) {
            takeOver(seen, scope)
        }
    }

    private suspend fun takeOver(seen: SeenRow?, scope: CoroutineScope) {
        val askedNs = context.clock.nanos()
        val row = rules.takeOver(seen?.row, context.clock.wallMs())
        val puts = listOf(put(row), epochPut(row.epoch, EpochState.OPEN)) + closedEpochs(seen?.row)
        val checks = listOf(Check(key, seen?.version ?: 0L), Check(epochKey(row.epoch), 0L))
        val outcome = context.writer.write(key, Transaction(context.nextWriteId(), checks, puts))
        shard.wantClaim(false)
        when (outcome) {
            is WriteOutcome.Applied -> {
                shard.observe(row, outcome.version, askedNs, context.clock.nanos())
                adopt(row, outcome.version, askedNs, scope)
            }

            is WriteOutcome.Refused -> observe(outcome.current, askedNs)

            // If it was applied, the next read of the rows shows this VM as the owner.
            WriteOutcome.NotApplied, WriteOutcome.Unknown -> Unit
        }
    }

    /** After a takeover without a release, no earlier owner writes another record. */
    private fun closedEpochs(old: ShardRow?): List<Put> = if (old == null || old.released) {
        emptyList()
    } else {
        listOfNotNull(old.epoch, (old.epoch - 1).takeIf { old.previous != null }).map { epochPut(it, EpochState.CLOSED) }
    }

    private fun adopt(row: ShardRow, version: Long, askedNs: Long, scope: CoroutineScope) {
        renewedNs = askedNs
        triedNs = askedNs
        releasedNs = null
        previousSinceNs = null
        previousPresentNs = null
        previousLoad = null
        shard.acquire(rules.grantOf(row, version, askedNs))
        logger.info { "shard ${shard.number}: owner under epoch ${row.epoch}, floor ${row.floor}, previous ${row.previous?.name}" }
        scope.launch { loadEarlier(row.epoch) }
    }

    private suspend fun loadEarlier(epoch: Long) {
        while (shard.grant?.row?.epoch == epoch) {
            if (loadIntents(epoch) && context.reader.load(OwnershipKeys.records(shard.number), ::takeRow)) {
                shard.updateGrant(epoch) { it.copy(loaded = true) }
                return
            }
            delay(settings.nudgeEveryMs)
        }
    }

    private suspend fun loadIntents(epoch: Long): Boolean = settings.mode == StartMode.HORIZON ||
        context.reader.load(OwnershipKeys.intents(shard.number)) { row ->
            val intentEpoch = OwnershipKeys.epochOf(row.key)
            val intents = ownershipJson.decodeFromString<IntentBatch>(row.value).intents
            if (intentEpoch < epoch) intents.forEach { shard.records.intend(SubmissionId(it.id), it.digest, intentEpoch) }
        }

    private fun takeRow(row: Row) {
        ownershipJson.decodeFromString<RecordBatch>(row.value).records.forEach { shard.records.load(it, row.key) }
    }

    private suspend fun renewIfDue() {
        val grant = shard.grant ?: return

        val isDue = sinceMs(renewedNs) >= settings.renewEveryMs && sinceMs(triedNs) >= settings.renewRetryMs
        if (!isDue) return
        val askedNs = context.clock.nanos()
        triedNs = askedNs
        if (writeRow(grant, rules.renew(grant.row, context.clock.wallMs())) { it.copy(limit = rules.limitOf(it.row)) }) renewedNs = askedNs
    }

    private suspend fun release(grant: Grant) {
        val lowered = shard.lowerLimit(grant.row.epoch, context.clock.wallMs()) ?: return
        val isDone = writeRow(lowered, rules.release(lowered.row, lowered.limit)) { it.copy(role = ShardRole.PREVIOUS, row = grant.row) }
        if (!isDone) return
        releasedNs = context.clock.nanos()
        logger.info { "shard ${shard.number}: released epoch ${grant.row.epoch} at horizon ${lowered.limit}" }
    }

    /** Marks the epoch complete once nothing that it started is running or unrecorded. */
    private suspend fun completeEpoch(grant: Grant) {
        val epoch = grant.row.epoch
        // New ids keep an epoch busy; after this time it drains.
        val since = releasedNs ?: context.clock.nanos().also { releasedNs = it }
        if (sinceMs(since) > settings.previousStartMs) shard.updateGrant(epoch) { it.copy(closed = true) }
        if (!shard.closeIfIdle(epoch)) return
        val epochKey = epochKey(epoch)
        val transaction =
            Transaction(context.nextWriteId(), listOf(Check(epochKey, EPOCH_OPEN_VERSION)), listOf(epochPut(epoch, EpochState.COMPLETE)))
        when (context.writer.write(epochKey, transaction)) {
            is WriteOutcome.Applied, is WriteOutcome.Refused -> {
                shard.updateGrant(epoch) { null }
                logger.info { "shard ${shard.number}: epoch $epoch ended" }
            }

            WriteOutcome.NotApplied, WriteOutcome.Unknown -> Unit
        }
    }

    /** Reads whether the previous owner has completed its epoch, and takes over the ids below the floor then. */
    private suspend fun resolvePrevious(grant: Grant, previous: VmIdentity, scope: CoroutineScope) {
        val since = previousSinceNs ?: context.clock.nanos().also { previousSinceNs = it }
        val presentNs = previousPresentNs?.takeUnless { context.isPresent(previous) } ?: context.clock.nanos()
        previousPresentNs = presentNs
        val epoch = grant.row.epoch - 1
        val state = context.writer.read(epochKey(epoch)).getOrElse { return }
        val value = state?.value?.let { ownershipJson.decodeFromString<EpochState>(it) } ?: EpochState.CLOSED
        when (value) {
            EpochState.COMPLETE -> {
                if (isPreviousLoaded(epoch, scope)) writeRow(grant, rules.previousComplete(grant.row)) { it }
            }

            EpochState.CLOSED -> writeRow(grant, rules.previousLost(grant.row)) { it }

            EpochState.OPEN ->
                if (sinceMs(since) > settings.previousTimeoutMs || sinceMs(presentNs) > settings.previousAbsentMs) {
                    logger.warn { "shard ${shard.number}: previous owner ${previous.name} did not complete epoch $epoch" }
                    val checks = listOf(Check(epochKey(epoch), EPOCH_OPEN_VERSION))
                    writeRow(grant, rules.previousLost(grant.row), checks, listOf(epochPut(epoch, EpochState.CLOSED))) { it }
                }
        }
    }

    /** Loads the records of the completed [epoch]. A load can take longer than a lease, so renewals go on meanwhile. */
    private suspend fun isPreviousLoaded(epoch: Long, scope: CoroutineScope): Boolean {
        val load =
            previousLoad
                ?: scope.async { context.reader.load(OwnershipKeys.records(shard.number, epoch), ::takeRow) }.also { previousLoad = it }
        if (!load.isCompleted) return false
        val isLoaded = load.await()
        if (!isLoaded) previousLoad = null
        return isLoaded
    }

    /** Writes [row] on condition that it is unchanged since [grant]; [onDone] adapts the grant. A conflict ends the grant. */
    private suspend fun writeRow(
        grant: Grant,
        row: ShardRow,
        checks: List<Check> = emptyList(),
        puts: List<Put> = emptyList(),
        onDone: (Grant) -> Grant,
    ): Boolean {
        val askedNs = context.clock.nanos()
        val transaction = Transaction(context.nextWriteId(), listOf(Check(key, grant.version)) + checks, listOf(put(row)) + puts)
        return when (val outcome = context.writer.write(key, transaction)) {
            is WriteOutcome.Applied -> {
                shard.observe(row, outcome.version, askedNs, context.clock.nanos())
                shard.updateGrant(row.epoch) { onDone(it.copy(row = row, version = outcome.version, confirmedNs = askedNs)) }
                true
            }

            is WriteOutcome.Refused -> {
                onRefused(grant, outcome.current, askedNs)
                false
            }

            WriteOutcome.NotApplied, WriteOutcome.Unknown -> false
        }
    }

    /**
     * After a conflict nothing starts here until the row is read again. If it shows a late write of this VM, the grant goes on
     * from there; otherwise the shard is lost.
     */
    private fun onRefused(grant: Grant, current: Row?, askedNs: Long) {
        shard.updateGrant(grant.row.epoch) { it.copy(closed = true) }
        observe(current, askedNs)
        val isOwn = current != null && ownershipJson.decodeFromString<ShardRow>(current.value).epoch == grant.row.epoch
        if (isOwn) shard.updateGrant(grant.row.epoch) { it.copy(closed = false) }
        if (shard.grant == null) logger.warn { "shard ${shard.number}: lost epoch ${grant.row.epoch}" }
    }

    private fun observe(current: Row?, askedNs: Long) {
        if (current == null) return
        shard.observe(ownershipJson.decodeFromString(current.value), current.version, askedNs, context.clock.nanos())
    }

    private fun put(row: ShardRow) = Put(key, ownershipJson.encodeToString(row))

    private fun epochKey(epoch: Long) = OwnershipKeys.epoch(shard.number, epoch)

    private fun epochPut(epoch: Long, state: EpochState) = Put(epochKey(epoch), ownershipJson.encodeToString(state))

    private fun sinceMs(ns: Long): Long = (context.clock.nanos() - ns) / OwnershipRules.NS_PER_MS
}
