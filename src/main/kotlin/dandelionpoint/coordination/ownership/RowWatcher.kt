/* Reads the shard rows, and decides which free shards this VM takes and which of its shards it hands over. */
package dandelionpoint.coordination.ownership

import arrow.core.getOrElse
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.Table
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

internal class RowWatcher(private val shards: List<LocalShard>, private val table: Table, private val context: ShardContext) {
    /** Asks for a read of the rows before the usual time. */
    val wake = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    var live: Set<VmIdentity> = emptySet()

    /** A VM that stops takes no shards. */
    @Volatile
    var isDraining = false

    private val settings = context.settings
    private val freeSinceNs = HashMap<Int, Long>()
    private var startedNs = 0L
    private var balancedNs = 0L

    suspend fun run() {
        startedNs = context.clock.nanos()
        balancedNs = startedNs
        while (true) {
            if (readRows() && !isDraining) {
                claimFree()
                balance()
            }
            delay(settings.nudgeEveryMs)
            wake.awaitAtMost(settings.watchEveryMs - settings.nudgeEveryMs)
        }
    }

    private suspend fun readRows(): Boolean {
        val askedNs = context.clock.nanos()
        var after: String? = null
        do {
            val page = withTimeoutOrNull(settings.callTimeoutMs) { table.scan(OwnershipKeys.SHARDS, after) }
                ?.getOrElse { null } ?: return false
            page.rows.forEach { observe(it, askedNs) }
            after = page.next
        } while (after != null)
        return true
    }

    private fun observe(row: Row, askedNs: Long) {
        val shard = row.key.removePrefix(OwnershipKeys.SHARDS).toIntOrNull()?.let { shards.getOrNull(it) } ?: return
        shard.observe(ownershipJson.decodeFromString(row.value), row.version, askedNs, context.clock.nanos())
        if (shard.isUnclaimedEpoch(shard.seen?.row ?: return, context.self)) shard.wakeRow.trySend(Unit)
    }

    private fun claimFree() {
        val nowNs = context.clock.nanos()
        val free = shards.filter { isClaimable(it, nowNs) }
        freeSinceNs.keys.retainAll(free.map { it.number }.toSet())
        free.forEach { freeSinceNs.putIfAbsent(it.number, nowNs) }
        val releasers = free.mapNotNull { shard -> shard.seen?.let { shard.number to it.row.owner } }.toMap()
        val preferred = ShardBalance.assign(free.map { it.number }, ownedCounts(), live + context.self, shards.size, releasers)
        free.forEach { shard ->
            val isOverdue = nowNs - freeSinceNs.getValue(shard.number) > settings.preferredTakeoverMs * OwnershipRules.NS_PER_MS
            shard.wantClaim(preferred[shard.number] == context.self || isOverdue)
        }
    }

    private fun isClaimable(shard: LocalShard, nowNs: Long): Boolean {
        val seen = shard.seen
        val isStarting = nowNs - startedNs < settings.startupDelayMs * OwnershipRules.NS_PER_MS
        return shard.grant == null && context.rules.isFree(seen) && !(seen == null && isStarting)
    }

    private fun balance() {
        val nowNs = context.clock.nanos()
        if (nowNs - balancedNs < settings.balanceEveryMs * OwnershipRules.NS_PER_MS) return
        balancedNs = nowNs
        val held = shards.filter { it.grant != null }
        // One handover at a time, and none of a shard whose previous owner is still finishing.
        if (held.any { it.grant?.role == ShardRole.PREVIOUS || it.isReleaseWanted }) return
        val mine = held.filter { it.grant?.row?.previous == null }.map { it.number }.toSet()
        val surplus = ShardBalance.surplusShard(context.self, mine, ownedCounts(), live + context.self, shards.size) ?: return
        shards[surplus].wantRelease()
    }

    private fun ownedCounts(): Map<VmIdentity, Int> =
        shards.mapNotNull { it.seen }.filterNot { context.rules.isFree(it) }.groupingBy { it.row.owner }.eachCount()
}
