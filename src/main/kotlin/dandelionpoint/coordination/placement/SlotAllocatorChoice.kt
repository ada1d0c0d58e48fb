/* Selects the slot allocator of a worker. */
package dandelionpoint.coordination.placement

import dandelionpoint.protocol.peer.VmIdentity

/** Rendezvous hashing over the live entry VMs. VMs in the worker's data centre are preferred, then those in its region. */
internal class SlotAllocatorChoice(live: Set<VmIdentity>) {
    private class Candidate(val vm: VmIdentity) {
        val seed = mix(vm.name.hashCode().toLong() shl Int.SIZE_BITS xor vm.incarnation.hashCode().toLong())
    }

    private val all = live.sortedWith(compareBy({ it.name }, { it.incarnation })).map { Candidate(it) }
    private val byDataCentre = all.groupBy { it.vm.dataCentre }
    private val byRegion = all.groupBy { it.vm.region }

    /** Allocator of the worker, or null if there is no live VM. Every VM with the same live set chooses the same one. */
    fun choose(workerId: String, dataCentre: String, region: String): VmIdentity? {
        val candidates = byDataCentre[dataCentre] ?: byRegion[region] ?: all
        val key = workerId.hashCode().toLong()
        return candidates.maxByOrNull { mix(it.seed xor mix(key)) }?.vm
    }

    private companion object {
        /** The finalizer of SplitMix64. */
        fun mix(value: Long): Long {
            val first = (value xor (value ushr 30)) * -0x40a7b892e31b1a47L
            val second = (first xor (first ushr 27)) * -0x6b2fb644ecceee15L
            return second xor (second ushr 31)
        }
    }
}
