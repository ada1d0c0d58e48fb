/* Control loop of one shard: takeover, renewal and release of the shard row, and the end of the previous owner's epoch. */
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

/** Dependencies shared by the loops of all shards of this VM. [isResponding]: whether a VM answers heartbeats, also while it drains. */
internal class ShardContext(
    val self: VmIdentity,
    val rules: OwnershipRules,
    val settings: OwnershipSettings,
    val clock: Clock,
    val writer: ConditionalWriter,
    val reader: RecordReader,
    val isResponding: (VmIdentity) -> Boolean,
    val nextWriteId: () -> String,
)

/** Acquires, renews and releases [shard]. It is the only writer of the shard's row in this VM, and its steps run one after the other. */
internal class ShardController(private val shard: LocalShard, private val context: ShardContext) {
    private val settings = context.settings
    private val rules = context.rules
    private val key = OwnershipKeys.shard(shard.number)

    // Times on the monotonic clock, in ns.
    private var renewedNs = 0L
    private var attemptedNs = 0L
    private var releasedNs: Long? = null
    private var previousWaitStartNs: Long? = null
    private var previousLastResponseNs: Long? = null

    private var previousLoad: Deferred<Boolean>? = null

    /** Runs steps until cancelled. Loads of records are started in [scope], so that renewals go on meanwhile. */
    suspend fun run(scope: CoroutineScope) {
        while (true) {
            shard.wakeController.awaitAtMost(pauseMs())
            step(scope)
        }
    }

    private fun pauseMs(): Long {
        val grant = shard.grant ?: return settings.renewEveryMs
        val isHandoverActive = grant.role == ShardRole.PREVIOUS || grant.row.previous != null || shard.isReleaseRequested
        val untilRenewal = maxOf(settings.renewEveryMs - sinceMs(renewedNs), settings.renewRetryMs - sinceMs(attemptedNs))
        return if (isHandoverActive) settings.minPollIntervalMs else untilRenewal.coerceAtLeast(1)
    }

    private suspend fun step(scope: CoroutineScope) {
        val grant = shard.grant
        when {
            grant == null -> claim(scope)

            grant.role == ShardRole.PREVIOUS -> completeEpoch(grant)

            shard.isReleaseRequested && grant.row.previous == null -> release(grant)

            else -> {
                if (grant.row.previous != null) resolvePrevious(grant, grant.row.previous, scope)
                renewIfDue()
            }
        }
    }

    private suspend fun claim(scope: CoroutineScope) {
        val seen = shard.seen
        if (seen != null && shard.isUnacknowledgedTakeover(seen.row, context.self)) {
            // The time at which the takeover was applied is unknown, so its lease counts as expired until the first renewal.
            val expiredNs = context.clock.nanos() - settings.takeoverAfterMs * OwnershipRules.NS_PER_MS
            beginEpoch(seen.row, seen.version, expiredNs, scope)
        } else if (shard.isClaimRequested && rules.isFree(seen)) {
            takeOver(seen, scope)
        }
    }

    private suspend fun takeOver(seen: SeenRow?, scope: CoroutineScope) {
        val sentNs = context.clock.nanos()
        val row = rules.takeOver(seen?.row, context.clock.wallMs())
        val puts = listOf(put(row), epochPut(row.epoch, EpochState.OPEN)) + closePuts(seen?.row)
        val checks = listOf(Check(key, seen?.version ?: 0L), Check(epochKey(row.epoch), 0L))
        val outcome = context.writer.write(key, Transaction(context.nextWriteId(), checks, puts))
        shard.setClaimRequested(false)
        when (outcome) {
            is WriteOutcome.Applied -> {
                shard.observe(row, outcome.version, sentNs, context.clock.nanos())
                beginEpoch(row, outcome.version, sentNs, scope)
            }

            is WriteOutcome.Refused -> observe(outcome.current, sentNs)

            // If the write was applied, the next read of the rows shows this VM as the owner.
            WriteOutcome.NotApplied, WriteOutcome.Unknown -> Unit
        }
    }

    /** Puts that close the epochs still open at a takeover without a release, so that no earlier owner writes another record. */
    private fun closePuts(old: ShardRow?): List<Put> = if (old == null || old.released) {
        emptyList()
    } else {
        listOfNotNull(old.epoch, (old.epoch - 1).takeIf { old.previous != null }).map { epochPut(it, EpochState.CLOSED) }
    }

    private fun beginEpoch(row: ShardRow, version: Long, sentNs: Long, scope: CoroutineScope) {
        renewedNs = sentNs
        attemptedNs = sentNs
        releasedNs = null
        previousWaitStartNs = null
        previousLastResponseNs = null
        previousLoad = null
        shard.acquire(rules.grantOf(row, version, sentNs))
        logger.info {
            "shard ${shard.number}: owned under epoch ${row.epoch}, lower bound ${row.lowerBound} ms, previous owner ${row.previous?.name}"
        }
        scope.launch { loadEarlierEpochs(row.epoch) }
    }

    /** Loads the intents and records of earlier epochs; after a failed read it starts again. */
    private suspend fun loadEarlierEpochs(epoch: Long) {
        while (shard.grant?.row?.epoch == epoch) {
            if (loadIntents(epoch) && context.reader.load(OwnershipKeys.records(shard.number), ::loadRecords)) {
                shard.updateGrant(epoch) { it.copy(loaded = true) }
                return
            }
            delay(settings.minPollIntervalMs)
        }
    }

    private suspend fun loadIntents(epoch: Long): Boolean = settings.mode == StartMode.HORIZON ||
        context.reader.load(OwnershipKeys.intents(shard.number)) { row ->
            val intentEpoch = OwnershipKeys.epochOf(row.key)
            val intents = ownershipJson.decodeFromString<IntentBatch>(row.value).intents
            if (intentEpoch < epoch) intents.forEach { shard.records.addIntent(SubmissionId(it.id), it.digest, intentEpoch) }
        }

    private fun loadRecords(row: Row) {
        ownershipJson.decodeFromString<RecordBatch>(row.value).records.forEach { shard.records.load(it, row.key) }
    }

    private suspend fun renewIfDue() {
        val grant = shard.grant ?: return

        val isDue = sinceMs(renewedNs) >= settings.renewEveryMs && sinceMs(attemptedNs) >= settings.renewRetryMs
        if (!isDue) return
        val sentNs = context.clock.nanos()
        attemptedNs = sentNs
        if (writeRow(grant, rules.renew(grant.row, context.clock.wallMs())) { it.copy(limit = rules.limitOf(it.row)) }) renewedNs = sentNs
    }

    private suspend fun release(grant: Grant) {
        val lowered = shard.lowerLimit(grant.row.epoch, context.clock.wallMs()) ?: return
        val isDone = writeRow(lowered, rules.release(lowered.row, lowered.limit)) { it.copy(role = ShardRole.PREVIOUS, row = grant.row) }
        if (!isDone) return
        releasedNs = context.clock.nanos()
        logger.info { "shard ${shard.number}: released under epoch ${grant.row.epoch}, horizon ${lowered.limit} ms" }
    }

    /** Marks the epoch complete once no submission that it started is running or without a durable record. */
    private suspend fun completeEpoch(grant: Grant) {
        val epoch = grant.row.epoch
        // New ids below the horizon would keep the epoch busy, so it starts them only for a limited time.
        val since = releasedNs ?: context.clock.nanos().also { releasedNs = it }
        if (sinceMs(since) > settings.previousStartMs) shard.updateGrant(epoch) { it.copy(closed = true) }
        if (!shard.closeIfIdle(epoch)) return
        val epochKey = epochKey(epoch)
        val transaction =
            Transaction(context.nextWriteId(), listOf(Check(epochKey, EPOCH_OPEN_VERSION)), listOf(epochPut(epoch, EpochState.COMPLETE)))
        when (context.writer.write(epochKey, transaction)) {
            is WriteOutcome.Applied, is WriteOutcome.Refused -> {
                shard.updateGrant(epoch) { null }
                logger.info { "shard ${shard.number}: epoch $epoch is complete or was closed" }
            }

            WriteOutcome.NotApplied, WriteOutcome.Unknown -> Unit
        }
    }

    /** Reads the state of the previous owner's epoch. Once it has ended, this owner takes over the ids below the lower bound. */
    private suspend fun resolvePrevious(grant: Grant, previous: VmIdentity, scope: CoroutineScope) {
        val since = previousWaitStartNs ?: context.clock.nanos().also { previousWaitStartNs = it }
        val lastResponseNs = previousLastResponseNs?.takeUnless { context.isResponding(previous) } ?: context.clock.nanos()
        previousLastResponseNs = lastResponseNs
        val epoch = grant.row.epoch - 1
        val state = context.writer.read(epochKey(epoch)).getOrElse { return }
        val value = state?.value?.let { ownershipJson.decodeFromString<EpochState>(it) } ?: EpochState.CLOSED
        when (value) {
            EpochState.COMPLETE -> {
                if (isPreviousLoaded(epoch, scope)) writeRow(grant, rules.previousComplete(grant.row)) { it }
            }

            EpochState.CLOSED -> writeRow(grant, rules.previousLost(grant.row)) { it }

            EpochState.OPEN ->
                if (sinceMs(since) > settings.previousTimeoutMs || sinceMs(lastResponseNs) > settings.previousAbsentMs) {
                    logger.warn {
                        "shard ${shard.number}: previous owner ${previous.name} did not complete epoch $epoch in time; closing it"
                    }
                    val checks = listOf(Check(epochKey(epoch), EPOCH_OPEN_VERSION))
                    writeRow(grant, rules.previousLost(grant.row), checks, listOf(epochPut(epoch, EpochState.CLOSED))) { it }
                }
        }
    }

    /**
     * Whether the records of the completed [epoch] are loaded. The first call starts the load, which can take longer than a lease, so
     * that renewals go on meanwhile; a failed load is started again by the next call.
     */
    private suspend fun isPreviousLoaded(epoch: Long, scope: CoroutineScope): Boolean {
        val load =
            previousLoad
                ?: scope.async { context.reader.load(OwnershipKeys.records(shard.number, epoch), ::loadRecords) }.also { previousLoad = it }
        if (!load.isCompleted) return false
        val isLoaded = load.await()
        if (!isLoaded) previousLoad = null
        return isLoaded
    }

    /** Writes [row] if the stored row still has the version of [grant]; [onDone] adapts the grant. On a conflict see [onRefused]. */
    private suspend fun writeRow(
        grant: Grant,
        row: ShardRow,
        checks: List<Check> = emptyList(),
        puts: List<Put> = emptyList(),
        onDone: (Grant) -> Grant,
    ): Boolean {
        val sentNs = context.clock.nanos()
        val transaction = Transaction(context.nextWriteId(), listOf(Check(key, grant.version)) + checks, listOf(put(row)) + puts)
        return when (val outcome = context.writer.write(key, transaction)) {
            is WriteOutcome.Applied -> {
                shard.observe(row, outcome.version, sentNs, context.clock.nanos())
                shard.updateGrant(row.epoch) { onDone(it.copy(row = row, version = outcome.version, confirmedNs = sentNs)) }
                true
            }

            is WriteOutcome.Refused -> {
                onRefused(grant, outcome.current, sentNs)
                false
            }

            WriteOutcome.NotApplied, WriteOutcome.Unknown -> false
        }
    }

    /**
     * After a conflict no id starts here until the row has been read again. If it still has this VM's epoch, an earlier write of
     * this VM was applied late and the grant continues with that row; otherwise the shard is lost.
     */
    private fun onRefused(grant: Grant, current: Row?, sentNs: Long) {
        shard.updateGrant(grant.row.epoch) { it.copy(closed = true) }
        observe(current, sentNs)
        val isOwn = current != null && ownershipJson.decodeFromString<ShardRow>(current.value).epoch == grant.row.epoch
        if (isOwn) shard.updateGrant(grant.row.epoch) { it.copy(closed = false) }
        if (shard.grant == null) logger.warn { "shard ${shard.number}: lost ownership under epoch ${grant.row.epoch}" }
    }

    private fun observe(current: Row?, sentNs: Long) {
        if (current == null) return
        shard.observe(ownershipJson.decodeFromString(current.value), current.version, sentNs, context.clock.nanos())
    }

    private fun put(row: ShardRow) = Put(key, ownershipJson.encodeToString(row))

    private fun epochKey(epoch: Long) = OwnershipKeys.epoch(shard.number, epoch)

    private fun epochPut(epoch: Long, state: EpochState) = Put(epochKey(epoch), ownershipJson.encodeToString(state))

    private fun sinceMs(ns: Long): Long = (context.clock.nanos() - ns) / OwnershipRules.NS_PER_MS
}
