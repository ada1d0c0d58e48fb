package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.RemoteOffer
import dandelionpoint.coordination.fleet.RunLocation
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.isNearlyEqual
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.FreeCapacity
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.peer.labelCode
import kotlin.math.max
import kotlin.random.Random

/** A worker with free capacity that another VM has announced. */
internal class RemoteWorker(val vm: VmIdentity, announced: FreeCapacity) {
    var free: Demand = announced.free
    val speed: Float = announced.speed
    private val labels = announced.labels.toIntArray()

    fun hasLabel(code: Int): Boolean = code in labels
}

/**
 * Free capacity in the cells of other VMs: what their last heartbeats reported, minus what this VM has reserved since. [dataCentre] is that
 * of this VM: capacity in other data centres is used if there is none in its own, or if a run would end clearly earlier there.
 * [remotePenalty] is the factor on the run time outside the rack that a run names.
 */
internal class RemoteCapacity(
    private val dataCentre: String? = null,
    private val random: Random = Random.Default,
    private val remotePenalty: Double = 2.0,
) {
    /** Announced workers of a pool of one VM. [largestMilli] is an upper bound of the CPU that is free on any of them. */
    private class PoolCapacity(val workers: List<RemoteWorker>) {
        val largestMilli: Int = workers.maxOf { it.free.cpuMilli }
    }

    private class VmCapacity(val vm: VmIdentity, val isNear: Boolean, val pools: Map<String, PoolCapacity>)

    private val lock = Any()
    private val capacities = HashMap<VmIdentity, VmCapacity>()
    private val cores = HashMap<VmIdentity, Map<String, Int>>()

    /** Last heartbeats of the VMs on which nothing was reserved since. */
    private val unreserved = HashMap<VmIdentity, FleetHeartbeat>()

    /** Workers that fit an order; reused, since each task that fits on no own worker is looked up here. */
    private val fitting = List(Group.entries.size) { ArrayList<RemoteWorker>() }

    /** Workers that are equally good for an order but for their speed, in the order of preference. */
    private enum class Group { NEAR_IN_RACK, FAR_IN_RACK, NEAR, FAR }

    /** Replaces what is known of [vm] by its heartbeat. */
    fun update(vm: VmIdentity, heartbeat: FleetHeartbeat) = synchronized(lock) {
        // The same object is passed again while a peer reports no change.
        if (unreserved.put(vm, heartbeat) === heartbeat) return@synchronized
        cores[vm] = heartbeat.cores
        val announced = if (heartbeat.isStopping) emptyMap() else heartbeat.freeCapacity.filterValues { it.isNotEmpty() }
        val pools = announced.mapValues { (_, free) -> PoolCapacity(free.map { RemoteWorker(vm, it) }) }
        capacities[vm] = VmCapacity(vm, vm.dataCentre == dataCentre, pools)
    }

    /** [vm] refused a run for lack of capacity: counts it as full until its next heartbeat. */
    fun markFull(vm: VmIdentity) {
        synchronized(lock) {
            capacities.remove(vm)
            unreserved.remove(vm)
        }
    }

    /** Removes [vm], which is lost. */
    fun remove(vm: VmIdentity) {
        synchronized(lock) {
            capacities.remove(vm)
            cores.remove(vm)
            unreserved.remove(vm)
        }
    }

    /** Reserves capacity for [order] and returns the VM that has it; null if there is none. See [offer]. */
    fun reserve(order: RunOrder): Pair<VmIdentity, RunLocation.Remote>? = offer(order)?.let { reserve(order, it) }

    /** Reserves the capacity of [offer] for [order]. */
    fun reserve(order: RunOrder, offer: RemoteOffer<RemoteWorker>): Pair<VmIdentity, RunLocation.Remote> = synchronized(lock) {
        val worker = offer.source
        worker.free -= order.demand
        unreserved.remove(worker.vm)
        worker.vm to RunLocation.Remote(worker.vm.incarnation)
    }

    /**
     * A worker with free capacity for [order] and the required label, null if none is known. Of a few workers of each [Group] that are
     * chosen at random the one with the earliest expected end is taken, so that the VMs, which all know the same free capacity, do not all
     * choose the same worker. If the ends of two groups are nearly equal, the preferred group is used.
     */
    fun offer(order: RunOrder): RemoteOffer<RemoteWorker>? = synchronized(lock) {
        collectFitting(order)
        val offers = Group.entries.mapNotNull { offer(order, it) }
        val bestMs = offers.minOfOrNull { it.expectedMs } ?: return@synchronized null
        offers.first { isNearlyEqual(it.expectedMs, bestMs) }
    }

    private fun collectFitting(order: RunOrder) {
        fitting.forEach { it.clear() }
        val required = order.requiredLabel?.let(::labelCode)
        val rack = order.rack?.let(::labelCode)
        for (capacity in capacities.values) {
            val pool = capacity.pools[order.pool] ?: continue
            if (pool.largestMilli < order.demand.cpuMilli) continue
            for (worker in pool.workers) {
                if (!worker.free.covers(order.demand) || (required != null && !worker.hasLabel(required))) continue
                val isInRack = rack == null || worker.hasLabel(rack)
                fitting[group(capacity.isNear, isInRack).ordinal].add(worker)
            }
        }
    }

    private fun group(isNear: Boolean, isInRack: Boolean): Group = when {
        isInRack -> if (isNear) Group.NEAR_IN_RACK else Group.FAR_IN_RACK
        else -> if (isNear) Group.NEAR else Group.FAR
    }

    private fun offer(order: RunOrder, group: Group): RemoteOffer<RemoteWorker>? {
        val workers = fitting[group.ordinal].ifEmpty { return null }
        val isInRack = group == Group.NEAR_IN_RACK || group == Group.FAR_IN_RACK
        val penalty = if (isInRack) 1.0 else remotePenalty
        val pathMs = if (group == Group.NEAR_IN_RACK || group == Group.NEAR) NEAR_PATH_MS else FAR_PATH_MS
        val worker = if (workers.size == 1) workers.single() else List(CHOICES) { workers.random(random) }.maxBy { it.speed }
        return RemoteOffer(worker, max(1L, (order.estimateMs * penalty / worker.speed).toLong()) + pathMs, isInRack)
    }

    /**
     * Cores of [pool] in the cells of other VMs that this VM can expect to use: the free ones or, for a VM without a cell of its own, at
     * least an equal share of all.
     */
    fun cores(pool: String, hasOwnCell: Boolean): Double = synchronized(lock) {
        val free = capacities.values.sumOf { of -> of.pools[pool]?.workers.orEmpty().sumOf { it.free.cpuMilli.toLong() } } / MILLI
        val share = if (hasOwnCell) 0.0 else cores.values.sumOf { (it[pool] ?: 0).toLong() }.toDouble() / (cores.size + 1)
        maxOf(free, share)
    }

    private companion object {
        /** Number of workers of a group of which the fastest one is taken. */
        const val CHOICES = 4

        /** Time that the request and the answer of a remote run take, in ms, within the data centre and to another one. */
        const val NEAR_PATH_MS = 2L
        const val FAR_PATH_MS = 4L

        /** Thousandths of a core in a core. */
        const val MILLI = 1_000.0
    }
}
