package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.RunLocation
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.VmIdentity
import kotlin.random.Random

/**
 * Free capacity in the cells of other VMs: what their last heartbeats reported, minus what this VM has reserved since. [dataCentre] is that
 * of this VM: capacity in other data centres is used only if there is none in its own.
 */
internal class RemoteCapacity(private val dataCentre: String? = null, private val random: Random = Random.Default) {
    private class RemoteWorker(val vm: VmIdentity, val pool: String, var free: Demand, val speed: Float)

    private val lock = Any()
    private val workers = HashMap<VmIdentity, List<RemoteWorker>>()
    private val cores = HashMap<VmIdentity, Map<String, Int>>()

    /** Last heartbeats of the VMs on which nothing was reserved since. */
    private val unreserved = HashMap<VmIdentity, FleetHeartbeat>()

    /** Replaces what is known of [vm] by its heartbeat. */
    fun update(vm: VmIdentity, heartbeat: FleetHeartbeat) = synchronized(lock) {
        // The same object is passed again while a peer reports no change.
        if (unreserved.put(vm, heartbeat) === heartbeat) return@synchronized
        cores[vm] = heartbeat.cores
        workers[vm] = if (heartbeat.isStopping) {
            emptyList()
        } else {
            heartbeat.freeCapacity.flatMap { (pool, free) -> free.map { RemoteWorker(vm, pool, it.free, it.speed) } }
        }
    }

    /** [vm] refused a run for lack of capacity: counts it as full until its next heartbeat. */
    fun markFull(vm: VmIdentity) {
        synchronized(lock) {
            workers.remove(vm)
            unreserved.remove(vm)
        }
    }

    /** Removes [vm], which is lost. */
    fun remove(vm: VmIdentity) {
        synchronized(lock) {
            workers.remove(vm)
            cores.remove(vm)
            unreserved.remove(vm)
        }
    }

    /**
     * Reserves capacity for [order] and returns the VM that has it; null if there is none. Of a few workers that are chosen at random
     * the fastest one is taken, so that the VMs, which all know the same free capacity, do not all choose the same worker.
     */
    fun reserve(order: RunOrder): Pair<VmIdentity, RunLocation.Remote>? = synchronized(lock) {
        val fitting = workers.values.flatMap { free -> free.filter { it.pool == order.pool && it.free.covers(order.demand) } }
        if (fitting.isEmpty()) return@synchronized null
        val near = fitting.filter { it.vm.dataCentre == dataCentre }.ifEmpty { fitting }
        val worker = List(CHOICES) { near.random(random) }.maxBy { it.speed }
        worker.free -= order.demand
        unreserved.remove(worker.vm)
        worker.vm to RunLocation.Remote(worker.vm.incarnation)
    }

    /**
     * Cores of [pool] in the cells of other VMs that this VM can expect to use: the free ones or, for a VM without a cell of its own, at
     * least an equal share of all.
     */
    fun cores(pool: String, hasOwnCell: Boolean): Double = synchronized(lock) {
        val free = workers.values.sumOf { of -> of.sumOf { if (it.pool == pool) it.free.cpuMilli.toLong() else 0L } } / MILLI
        val share = if (hasOwnCell) 0.0 else cores.values.sumOf { (it[pool] ?: 0).toLong() }.toDouble() / (cores.size + 1)
        maxOf(free, share)
    }

    private companion object {
        /** Number of workers of which the fastest one is taken. */
        const val CHOICES = 4

        /** Thousandths of a core in a core. */
        const val MILLI = 1_000.0
    }
}
