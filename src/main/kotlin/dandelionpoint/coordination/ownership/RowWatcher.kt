/* Polls the shard rows, and decides which free shards this VM takes and which of its shards it hands over. */
package dandelionpoint.coordination.ownership

import arrow.core.getOrElse
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.Table
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

private val logger = KotlinLogging.logger {}

/** Passes the rows to [shards] and requests claims and releases from their [ShardController]s. */
internal class RowWatcher(private val shards: List<LocalShard>, private val table: Table, private val context: ShardContext) {
    /** Triggers a read of the rows before [OwnershipSettings.watchEveryMs] has passed. */
    val wake = Channel<Unit>(Channel.CONFLATED)

    /** VMs that answer heartbeats and can own shards. */
    @Volatile
    var live: Set<VmIdentity> = emptySet()

    /** True during a planned stop: this VM takes no more shards. */
    @Volatile
    var isDraining = false

    private val settings = context.settings
    private val freeSinceNs = HashMap<Int, Long>()
    private var startedNs = 0L
    private var balancedNs = 0L

    /** Reads the rows and acts on them until cancelled. */
    suspend fun run() {
        startedNs = context.clock.nanos()
        balancedNs = startedNs
        while (true) {
            if (readRows() && !isDraining) {
                claimFree()
                balance()
            }
            delay(settings.minPollIntervalMs)
            wake.awaitAtMost(settings.watchEveryMs - settings.minPollIntervalMs)
        }
    }

    /** Reads all shard rows. Returns false if a read failed. */
    private suspend fun readRows(): Boolean {
        val sentNs = context.clock.nanos()
        var after: String? = null
        do {
            val page = withTimeoutOrNull(settings.callTimeoutMs) { table.scan(OwnershipKeys.SHARDS, after) }
                ?.getOrElse { null } ?: return false
            page.rows.forEach { observe(it, sentNs) }
            after = page.next
        } while (after != null)
        return true
    }

    private fun observe(row: Row, sentNs: Long) {
        val shard = row.key.removePrefix(OwnershipKeys.SHARDS).toIntOrNull()?.let { shards.getOrNull(it) } ?: return
        val content = runCatching { ownershipJson.decodeFromString<ShardRow>(row.value) }.getOrElse { failure ->
            logger.warn { "shard ${shard.number}: row ${row.key} of version ${row.version} cannot be read and is left out: $failure" }
            return
        }
        shard.observe(content, row.version, sentNs, context.clock.nanos())
        if (shard.isUnacknowledgedTakeover(shard.seen?.row ?: return, context.self)) shard.wakeController.trySend(Unit)
    }

    /** Requests a claim of each free shard that is assigned to this VM or that its preferred VM has not taken in time. */
    private fun claimFree() {
        val nowNs = context.clock.nanos()
        val free = shards.filter { isClaimable(it, nowNs) }
        freeSinceNs.keys.retainAll(free.map { it.number }.toSet())
        free.forEach { freeSinceNs.putIfAbsent(it.number, nowNs) }
        val releasers = free.mapNotNull { shard -> shard.seen?.let { shard.number to it.row.owner } }.toMap()
        val preferred = ShardBalance.assign(free.map { it.number }, ownedCounts(), live + context.self, shards.size, releasers)
        free.forEach { shard ->
            val isOverdue = nowNs - freeSinceNs.getValue(shard.number) > settings.preferredTakeoverMs * OwnershipRules.NS_PER_MS
            shard.setClaimRequested(preferred[shard.number] == context.self || isOverdue)
        }
    }

    private fun isClaimable(shard: LocalShard, nowNs: Long): Boolean {
        val seen = shard.seen
        val isStarting = nowNs - startedNs < settings.startupDelayMs * OwnershipRules.NS_PER_MS
        return shard.grant == null && context.rules.isFree(seen) && !(seen == null && isStarting)
    }

    /** Requests a release of one shard if this VM has more than its share. */
    private fun balance() {
        val nowNs = context.clock.nanos()
        if (nowNs - balancedNs < settings.balanceEveryMs * OwnershipRules.NS_PER_MS) return
        balancedNs = nowNs
        val held = shards.filter { it.grant != null }
        // One handover at a time, and none of a shard whose previous owner is still finishing its submissions.
        if (held.any { it.grant?.role == ShardRole.PREVIOUS || it.isReleaseRequested }) return
        val ownShards = held.filter { it.grant?.row?.previous == null }.map { it.number }.toSet()
        val surplus = ShardBalance.surplusShard(context.self, ownShards, ownedCounts(), live + context.self, shards.size) ?: return
        shards[surplus].requestRelease()
    }

    private fun ownedCounts(): Map<VmIdentity, Int> =
        shards.mapNotNull { it.seen }.filterNot { context.rules.isFree(it) }.groupingBy { it.row.owner }.eachCount()
}
