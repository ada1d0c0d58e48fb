/* Shards owned by one entry VM: which submissions it may start, and the state of those that were started. */
package dandelionpoint.coordination.ownership

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.store.ObjectStore
import dandelionpoint.protocol.store.Table
import dandelionpoint.state.record.Record
import dandelionpoint.state.record.RecordEntry
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Ownership of shards by this VM. [run] must be active for shards to be taken, renewed and handed over. Safety does not depend on
 * clocks: an id starts only below a horizon that this VM wrote under its epoch (mode `HORIZON`) or after a durable intent (mode
 * `COMMIT`).
 */
internal class ShardOwnership(
    table: Table,
    objects: ObjectStore,
    self: VmIdentity,
    private val settings: OwnershipSettings,
    private val clock: Clock,
    random: Random,
) {
    private val rules = OwnershipRules(self, settings)
    private val shards = List(settings.shards) { LocalShard(it, rules, settings) }
    private val writeCount = AtomicLong()
    private val writer = ConditionalWriter(table, settings.callTimeoutMs)
    private val reader = RecordReader(table, objects, settings) { (watcher.live + self).size }
    private val writeIdPrefix = "${self.incarnation}-${random.nextInt().toUInt()}"

    /** VMs that answer heartbeats, including those that drain. */
    @Volatile
    private var responding: Set<VmIdentity> = emptySet()
    private val context =
        ShardContext(self, rules, settings, clock, writer, reader, { it in responding }) {
            "$writeIdPrefix-${writeCount.incrementAndGet()}"
        }
    private val watcher: RowWatcher = RowWatcher(shards, table, context)
    private val cleaner = RecordCleaner(shards, table, context)
    private val controllers = shards.map { ShardController(it, context) }
    private val intentLogs = if (settings.mode == StartMode.COMMIT) shards.map { IntentLog(it, context) } else emptyList()
    private val recordWriters = shards.map { RecordWriter(it, objects, writer, settings, clock, context.nextWriteId) }

    /** The VM that handles calls for [id], according to the shard row as last read. Does not wait. */
    fun ownerOf(id: SubmissionId): ShardOwner {
        val shard = shardOf(id)
        return when (val evaluation = shard.evaluate(id)) {
            is StartEvaluation.Known -> ShardOwner.Self

            is StartEvaluation.ByRules ->
                when (val verdict = evaluation.verdict) {
                    Verdict.MayStart, Verdict.OwnerLost -> ShardOwner.Self
                    is Verdict.Forward -> ShardOwner.Other(verdict.to)
                    Verdict.Wait -> if (isOwned(shard, id)) ShardOwner.Self else ShardOwner.None
                }
        }
    }

    /** Whether this VM still holds the shard for [id], as far as it knows: [id] is below its limit or its lease has not expired. */
    private fun isOwned(shard: LocalShard, id: SubmissionId): Boolean {
        val grant = shard.grant ?: return false
        return !grant.closed && (id.createdAtMs < grant.limit || rules.isLeaseValid(grant, clock.nanos()))
    }

    /**
     * Decides whether the submission starts now; [StartDecision.Start] is returned at most once for an id. Waits up to
     * [OwnershipSettings.startWaitMs] for a renewal, a takeover or the loading of records. A refusal after that has the code
     * `TABLE_UNAVAILABLE` (not run) if it is proved that the id has not started anywhere. Otherwise, for example if another VM may
     * have taken the shard during an outage, it has `FORWARD_LOST` (outcome unknown, submit again under the same id).
     */
    suspend fun decideStart(id: SubmissionId, digest: String): StartDecision {
        rules.checkTime(id.createdAtMs, clock.wallMs())?.let { return StartDecision.Refused(it) }
        val shard = shardOf(id)
        val sinceNs = clock.nanos()
        var evaluation: StartEvaluation? = null
        try {
            return decide(shard, id, digest, sinceNs) { shard.tryStart(id, digest).also { evaluation = it } }
        } catch (cancelled: CancellationException) {
            // The cancelled caller does not start the submission; without the withdrawal the id would count as running for ever.
            if ((evaluation as? StartEvaluation.ByRules)?.verdict == Verdict.MayStart) shard.withdrawStart(id)
            throw cancelled
        }
    }

    private suspend fun decide(
        shard: LocalShard,
        id: SubmissionId,
        digest: String,
        sinceNs: Long,
        tryStart: () -> StartEvaluation,
    ): StartDecision = when (val evaluation = awaitVerdict(shard, tryStart)) {
        is StartEvaluation.Known -> onKnown(evaluation.entry, digest)

        is StartEvaluation.ByRules ->
            when (val verdict = evaluation.verdict) {
                Verdict.MayStart -> if (settings.mode == StartMode.COMMIT) commitStart(shard, id, sinceNs) else StartDecision.Start
                is Verdict.Forward -> StartDecision.Forward(verdict.to)
                Verdict.OwnerLost -> StartDecision.Refused(Refusal(ResultCode.OWNER_LOST))
                Verdict.Wait -> StartDecision.Refused(refusalAfterWait(shard, id, sinceNs))
            }
    }

    /** Makes the intent of [id] durable, then starts it unless the shard was lost or released meanwhile. */
    private suspend fun commitStart(shard: LocalShard, id: SubmissionId, sinceNs: Long): StartDecision {
        val intent = shard.records.find(id) as? RecordEntry.Intended ?: return StartDecision.Refused(refusalAfterWait(shard, id, sinceNs))
        val isDurable = withTimeoutOrNull(settings.startWaitMs) { intentLogs[shard.number].append(id, intent.digest) } ?: false
        if (isDurable && shard.confirmStart(id, intent)) return StartDecision.Start
        shard.withdrawStart(id)
        return when (val verdict = (shard.evaluate(id) as? StartEvaluation.ByRules)?.verdict) {
            is Verdict.Forward -> StartDecision.Forward(verdict.to)
            else -> StartDecision.Refused(refusalAfterWait(shard, id, sinceNs))
        }
    }

    private suspend fun onKnown(entry: RecordEntry, digest: String): StartDecision = when {
        entry.digest != digest -> StartDecision.Refused(Refusal(ResultCode.ID_REUSED))
        entry is RecordEntry.Finished -> StartDecision.Finished(reader.withResults(entry))
        else -> StartDecision.Running
    }

    private fun refusalAfterWait(shard: LocalShard, id: SubmissionId, sinceNs: Long): Refusal {
        val isProved = shard.isProvedNotStarted(id, sinceNs, clock.nanos())
        return Refusal(if (isProved) ResultCode.TABLE_UNAVAILABLE else ResultCode.FORWARD_LOST)
    }

    /** Calls [evaluate] after each change of the shard while the verdict is [Verdict.Wait], at most [OwnershipSettings.startWaitMs]. */
    private suspend fun awaitVerdict(shard: LocalShard, evaluate: () -> StartEvaluation): StartEvaluation {
        var last = evaluate()
        if (!isWait(last)) return last
        withTimeoutOrNull(settings.startWaitMs) {
            while (isWait(last)) {
                val count = shard.changes.value
                last = evaluate()
                if (!isWait(last)) break
                // Another VM may have become the owner, so the rows are read again.
                if (shard.grant?.role != ShardRole.OWNER) watcher.wake.trySend(Unit)
                shard.changes.first { it != count }
            }
        }
        return last
    }

    private fun isWait(evaluation: StartEvaluation): Boolean = evaluation is StartEvaluation.ByRules && evaluation.verdict == Verdict.Wait

    /**
     * Records the outcome of a submission that was started here. Returns whether its record is durable, after at most
     * [OwnershipSettings.durableWaitMs]. If it is not, the record is still written later while this VM holds the epoch.
     */
    suspend fun finish(record: Record): Boolean {
        val shard = shardOf(record.id)
        shard.records.finish(record)
        shard.wakeRecords.trySend(Unit)
        return recordWriters[shard.number].awaitDurable(record)
    }

    /** The state of the submission [id]. Waits as [decideStart] does while the records of the shard are being loaded. */
    suspend fun lookup(id: SubmissionId): Lookup {
        val shard = shardOf(id)
        val sinceNs = clock.nanos()
        val isNotStarted = { shard.isProvedNotStarted(id, sinceNs, clock.nanos()) }
        // An id that is proved not to have started is unknown; there is no need to wait for a renewal.
        val evaluation = if (isNotStarted()) shard.evaluate(id) else awaitVerdict(shard) { shard.evaluate(id) }
        return when (evaluation) {
            is StartEvaluation.Known -> onKnown(evaluation.entry)

            is StartEvaluation.ByRules ->
                when (val verdict = evaluation.verdict) {
                    Verdict.MayStart ->
                        if (settings.mode == StartMode.HORIZON || isNotStarted()) Lookup.Unknown else Lookup.OwnerLost

                    is Verdict.Forward -> Lookup.Forward(verdict.to)

                    Verdict.OwnerLost -> Lookup.OwnerLost

                    Verdict.Wait ->
                        if (isNotStarted()) Lookup.Unknown else Lookup.OwnerLost
                }
        }
    }

    private suspend fun onKnown(entry: RecordEntry): Lookup = when (entry) {
        is RecordEntry.Running, is RecordEntry.Intended -> Lookup.Running
        is RecordEntry.Finished -> Lookup.Finished(reader.withResults(entry))
    }

    /** Sets the VMs that answer heartbeats: the [live] ones can own shards, the [draining] ones cannot. This VM counts as live. */
    fun updatePeers(live: Set<VmIdentity>, draining: Set<VmIdentity> = emptySet()) {
        watcher.live = live
        responding = live + draining
    }

    /** Runs the loops that read, take, renew and hand over shards and write records, until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { repeatAfterFault("watch") { watcher.run() } }
        launch { repeatAfterFault("clean") { cleaner.run() } }
        controllers.forEach { controller -> launch { repeatAfterFault("row") { controller.run(this) } } }
        recordWriters.forEach { writer -> launch { repeatAfterFault("records") { writer.run() } } }
        intentLogs.forEach { log -> launch { repeatAfterFault("intents") { log.run() } } }
    }

    /** Runs [loop] and starts it again after an exception, so that one fault does not stop the renewals for good. */
    private suspend fun CoroutineScope.repeatAfterFault(name: String, loop: suspend CoroutineScope.() -> Unit) {
        while (true) {
            try {
                loop()
            } catch (fault: CancellationException) {
                throw fault
            } catch (fault: Exception) {
                logger.error(fault) { "shard ownership: loop '$name' failed and is being restarted" }
                delay(settings.startWaitMs)
            }
        }
    }

    /**
     * Hands all shards over for a planned stop and takes no more. Returns when all records are durable and the epochs are
     * complete, or after [OwnershipSettings.releaseTimeoutMs]. [run] must be active meanwhile.
     */
    suspend fun releaseAll() {
        watcher.isDraining = true
        shards.forEach { it.setClaimRequested(false) }
        withTimeoutOrNull(settings.releaseTimeoutMs) {
            while (shards.any { it.grant != null }) {
                shards.filter { it.grant?.role == ShardRole.OWNER && !it.isReleaseRequested }.forEach { it.requestRelease() }
                delay(RELEASE_POLL_MS)
            }
        }
    }

    /** Shards that this VM owns, without those that it has released and whose last submissions it only finishes. */
    fun ownedShards(): Set<Int> = shards.filter { it.grant?.role == ShardRole.OWNER }.map { it.number }.toSet()

    private fun shardOf(id: SubmissionId): LocalShard = shards[id.shard(settings.shards)]

    private companion object {
        const val RELEASE_POLL_MS = 20L
    }
}
