/* Start rights of one entry VM: which submissions it may start, and what is known of those that were started. */
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
 * Ownership of shards by this VM. [run] must be active for shards to be taken, renewed and handed over. Safety depends on no
 * clock: an id starts only below a horizon that this VM wrote under its epoch (mode `HORIZON`) or after a durable intent.
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

    /** VMs that answer heartbeats, draining ones included. */
    @Volatile
    private var present: Set<VmIdentity> = emptySet()
    private val context =
        ShardContext(self, rules, settings, clock, writer, reader, { it in present }) { "$writeIdPrefix-${writeCount.incrementAndGet()}" }
    private val watcher: RowWatcher = RowWatcher(shards, table, context)
    private val cleaner = RecordCleaner(shards, table, context)
    private val keepers = shards.map { RowKeeper(it, context) }
    private val intentLogs = if (settings.mode == StartMode.COMMIT) shards.map { IntentLog(it, context) } else emptyList()
    private val recordWriters = shards.map { RecordWriter(it, objects, writer, settings, clock, context.nextWriteId) }

    /** The VM to which a call for [id] belongs, by what was last read. Does not wait. */
    fun ownerOf(id: SubmissionId): ShardOwner {
        val shard = shardOf(id)
        return when (val attempt = shard.look(id)) {
            is StartAttempt.Known -> ShardOwner.Self

            is StartAttempt.Judged ->
                when (val verdict = attempt.verdict) {
                    Verdict.MayStart, Verdict.OwnerLost -> ShardOwner.Self
                    is Verdict.Forward -> ShardOwner.Other(verdict.to)
                    Verdict.Wait -> if (isClaimed(shard, id)) ShardOwner.Self else ShardOwner.None
                }
        }
    }

    private fun isClaimed(shard: LocalShard, id: SubmissionId): Boolean {
        val grant = shard.grant ?: return false
        return !grant.closed && (id.createdAtMs < grant.limit || rules.isLeaseValid(grant, clock.nanos()))
    }

    /**
     * Decides whether the submission starts now; [StartDecision.Start] is given once for an id. Waits up to
     * [OwnershipSettings.startWaitMs] for a renewal, a takeover or the load of records. A refusal after that has the code
     * `TABLE_UNAVAILABLE` (not run) if it is proved that the id has not started anywhere, and `FORWARD_LOST` (outcome unknown,
     * submit again under the same id) if it is not, for example because another VM may have taken the shard in an outage.
     */
    suspend fun decideStart(id: SubmissionId, digest: String): StartDecision {
        rules.checkTime(id.createdAtMs, clock.wallMs())?.let { return StartDecision.Refused(it) }
        val shard = shardOf(id)
        val sinceNs = clock.nanos()
        var attempt: StartAttempt? = null
        try {
            return decide(shard, id, digest, sinceNs) { shard.tryStart(id, digest).also { attempt = it } }
        } catch (cancelled: CancellationException) {
            // The caller is gone and starts nothing; without this the id would count as running for ever.
            if ((attempt as? StartAttempt.Judged)?.verdict == Verdict.MayStart) shard.withdrawStart(id)
            throw cancelled
        }
    }

    private suspend fun decide(
        shard: LocalShard,
        id: SubmissionId,
        digest: String,
        sinceNs: Long,
        tryStart: () -> StartAttempt,
    ): StartDecision = when (val attempt = settle(shard, tryStart)) {
        is StartAttempt.Known -> onKnown(attempt.entry, digest)

        is StartAttempt.Judged ->
            when (val verdict = attempt.verdict) {
                Verdict.MayStart -> if (settings.mode == StartMode.COMMIT) commitStart(shard, id, sinceNs) else StartDecision.Start
                is Verdict.Forward -> StartDecision.Forward(verdict.to)
                Verdict.OwnerLost -> StartDecision.Refused(Refusal(ResultCode.OWNER_LOST))
                Verdict.Wait -> StartDecision.Refused(refuse(shard, id, sinceNs))
            }
    }

    private suspend fun commitStart(shard: LocalShard, id: SubmissionId, sinceNs: Long): StartDecision {
        val intent = shard.records.find(id) as? RecordEntry.Intended ?: return StartDecision.Refused(refuse(shard, id, sinceNs))
        val isDurable = withTimeoutOrNull(settings.startWaitMs) { intentLogs[shard.number].append(id, intent.digest) } ?: false
        if (isDurable && shard.confirmStart(id, intent)) return StartDecision.Start
        shard.withdrawStart(id)
        return when (val verdict = (shard.look(id) as? StartAttempt.Judged)?.verdict) {
            is Verdict.Forward -> StartDecision.Forward(verdict.to)
            else -> StartDecision.Refused(refuse(shard, id, sinceNs))
        }
    }

    private suspend fun onKnown(entry: RecordEntry, digest: String): StartDecision = when {
        entry.digest != digest -> StartDecision.Refused(Refusal(ResultCode.ID_REUSED))
        entry is RecordEntry.Finished -> StartDecision.Finished(reader.withResults(entry))
        else -> StartDecision.Running
    }

    private fun refuse(shard: LocalShard, id: SubmissionId, sinceNs: Long): Refusal {
        val isProved = shard.isProvedNotStarted(id, sinceNs, clock.nanos())
        return Refusal(if (isProved) ResultCode.TABLE_UNAVAILABLE else ResultCode.FORWARD_LOST)
    }

    /** Repeats [attempt] after each change of the shard until its verdict is not to wait, or the time is over. */
    private suspend fun settle(shard: LocalShard, attempt: () -> StartAttempt): StartAttempt {
        var last = attempt()
        if (!isWait(last)) return last
        withTimeoutOrNull(settings.startWaitMs) {
            while (isWait(last)) {
                val count = shard.changes.value
                last = attempt()
                if (!isWait(last)) break
                // The row may have another owner by now.
                if (shard.grant?.role != ShardRole.OWNER) watcher.wake.trySend(Unit)
                shard.changes.first { it != count }
            }
        }
        return last
    }

    private fun isWait(attempt: StartAttempt): Boolean = attempt is StartAttempt.Judged && attempt.verdict == Verdict.Wait

    /**
     * Notes the outcome of a submission that was started here. Returns whether its record is durable, after at most
     * [OwnershipSettings.durableWaitMs]; if not, it is still written later if that is possible.
     */
    suspend fun finish(record: Record): Boolean {
        val shard = shardOf(record.id)
        shard.records.finish(record)
        shard.wakeRecords.trySend(Unit)
        return recordWriters[shard.number].awaitDurable(record)
    }

    /** What is known of [id]. Waits as [decideStart] does while the records of the shard are being loaded. */
    suspend fun lookup(id: SubmissionId): Lookup {
        val shard = shardOf(id)
        val sinceNs = clock.nanos()
        val isNotStarted = { shard.isProvedNotStarted(id, sinceNs, clock.nanos()) }
        // An id that has certainly not started is unknown without a wait for a renewal.
        val attempt = if (isNotStarted()) shard.look(id) else settle(shard) { shard.look(id) }
        return when (attempt) {
            is StartAttempt.Known -> onKnown(attempt.entry)

            is StartAttempt.Judged ->
                when (val verdict = attempt.verdict) {
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

    /** Sets the VMs that answer heartbeats: [live] ones, which can own shards, and [draining] ones. This VM is always counted. */
    fun updatePeers(live: Set<VmIdentity>, draining: Set<VmIdentity> = emptySet()) {
        watcher.live = live
        present = live + draining
    }

    /** Runs the loops that read, take, renew and hand over shards and write records, until cancelled. */
    suspend fun run(): Unit = coroutineScope {
        launch { repeatAfterFault("watch") { watcher.run() } }
        launch { repeatAfterFault("clean") { cleaner.run() } }
        keepers.forEach { keeper -> launch { repeatAfterFault("row") { keeper.run(this) } } }
        recordWriters.forEach { writer -> launch { repeatAfterFault("records") { writer.run() } } }
        intentLogs.forEach { log -> launch { repeatAfterFault("intents") { log.run() } } }
    }

    private suspend fun CoroutineScope.repeatAfterFault(name: String, loop: suspend CoroutineScope.() -> Unit) {
        while (true) {
            try {
                loop()
            } catch (fault: CancellationException) {
                throw fault
            } catch (fault: Exception) {
                logger.error(fault) { "the loop '$name' failed and is started again" }
                delay(settings.startWaitMs)
            }
        }
    }

    /**
     * Hands all shards over for a planned stop and takes no more. Returns when the last records are durable and the epochs are
     * complete, or after [OwnershipSettings.releaseTimeoutMs]. [run] must be active meanwhile.
     */
    suspend fun releaseAll() {
        watcher.isDraining = true
        shards.forEach { it.wantClaim(false) }
        withTimeoutOrNull(settings.releaseTimeoutMs) {
            while (shards.any { it.grant != null }) {
                shards.filter { it.grant?.role == ShardRole.OWNER && !it.isReleaseWanted }.forEach { it.wantRelease() }
                delay(RELEASE_POLL_MS)
            }
        }
    }

    /** Shards that this VM owns; not those that it only finishes after a release. */
    fun ownedShards(): Set<Int> = shards.filter { it.grant?.role == ShardRole.OWNER }.map { it.number }.toSet()

    private fun shardOf(id: SubmissionId): LocalShard = shards[id.shard(settings.shards)]

    private companion object {
        const val RELEASE_POLL_MS = 20L
    }
}
