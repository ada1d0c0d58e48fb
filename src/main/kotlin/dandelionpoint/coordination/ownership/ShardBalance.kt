/* Assignment of shards to VMs: rendezvous hashing over the live VMs, bounded by the fair share. */
package dandelionpoint.coordination.ownership

import dandelionpoint.protocol.peer.VmIdentity

internal object ShardBalance {
    /**
     * The VM that should take each of the [free] shards. [owned] has the number of shards of each VM. A shard is assigned to the
     * live VM with the highest score among those below the fair share. [excluded] maps a shard to a VM that should not get it,
     * such as the one that has just released it, unless no other is live.
     */
    fun assign(
        free: List<Int>,
        owned: Map<VmIdentity, Int>,
        live: Set<VmIdentity>,
        shards: Int,
        excluded: Map<Int, VmIdentity> = emptyMap(),
    ): Map<Int, VmIdentity> {
        if (live.isEmpty()) return emptyMap()
        val share = (shards + live.size - 1) / live.size
        val counts = owned.toMutableMap()
        return free.sorted().associateWith { shard ->
            val candidates = (live - setOfNotNull(excluded[shard])).ifEmpty { live }
            val below = candidates.filter { counts.getOrDefault(it, 0) < share }
            val chosen = below.ifEmpty { candidates }.maxBy { score(shard, it) }
            counts.merge(chosen, 1, Int::plus)
            chosen
        }
    }

    /**
     * The shard that [self] should hand over: the one of [ownShards] with the highest score for a VM below the fair share. Null unless
     * [self] has more than the fair share plus one and there is such a VM.
     */
    fun surplusShard(self: VmIdentity, ownShards: Set<Int>, owned: Map<VmIdentity, Int>, live: Set<VmIdentity>, shards: Int): Int? {
        val fair = shards.toDouble() / live.size.coerceAtLeast(1)
        val below = live.filter { it != self && owned.getOrDefault(it, 0) < fair }
        if (ownShards.size <= fair + 1 || below.isEmpty()) return null
        return ownShards.maxBy { shard -> below.maxOf { score(shard, it) } }
    }

    /** Rendezvous score of a VM for a shard; a 64-bit finalizer spreads similar names. */
    private fun score(shard: Int, vm: VmIdentity): Long {
        var hash = shard * 0x9E3779B97F4A7C15uL.toLong()
        "${vm.name}/${vm.incarnation}".forEach { hash = mix(hash xor it.code.toLong()) }
        return hash
    }

    private fun mix(value: Long): Long {
        val once = (value xor (value ushr 33)) * -0xae502812aa7333L
        val twice = (once xor (once ushr 33)) * -0x3b314601e57a13adL
        return twice xor (twice ushr 33)
    }
}
