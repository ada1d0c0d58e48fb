package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.RunLocation
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.VmIdentity

/** Free capacity in the cells of other VMs: what their last heartbeats reported, minus what this VM has reserved since. */
internal class RemoteCapacity {
    private class RemoteWorker(val vm: VmIdentity, val cell: String, val pool: String, var free: Demand, val speed: Float)

    private val lock = Any()
    private val workers = HashMap<VmIdentity, List<RemoteWorker>>()
    private val cores = HashMap<VmIdentity, Map<String, Long>>()

    /** Replaces what is known of [vm] by its heartbeat. */
    fun update(vm: VmIdentity, heartbeat: FleetHeartbeat) = synchronized(lock) {
        cores[vm] =
            heartbeat.cells.flatMap {
                it.cores.entries
            }.groupBy({ it.key }) { it.value }.mapValues { it.value.sumOf { cores -> cores.toLong() } }
        workers[vm] = if (heartbeat.isStopping) {
            emptyList()
        } else {
            heartbeat.cells.flatMap { cell ->
                cell.freeCapacity.flatMap { (pool, free) -> free.map { RemoteWorker(vm, cell.cell, pool, it.free, it.speed) } }
            }
        }
    }

    /** [vm] refused a run for lack of capacity: counts it as full until its next heartbeat. */
    fun markFull(vm: VmIdentity) {
        synchronized(lock) { workers.remove(vm) }
    }

    /** Removes [vm], which is lost. */
    fun remove(vm: VmIdentity) {
        synchronized(lock) {
            workers.remove(vm)
            cores.remove(vm)
        }
    }

    /** Reserves capacity for [order] on the fastest worker that has enough; null if there is none. */
    fun reserve(order: RunOrder): Pair<VmIdentity, RunLocation.Remote>? = synchronized(lock) {
        val fitting = workers.values.flatten().filter { it.pool == order.pool && it.free.covers(order.demand) }
        val worker = fitting.maxByOrNull { it.speed } ?: return@synchronized null
        worker.free -= order.demand
        worker.vm to RunLocation.Remote(worker.vm.incarnation, worker.cell)
    }

    /**
     * Cores of [pool] in the cells of other VMs that this VM can expect to use: the free ones or, for a VM without a cell of its own, at
     * least an equal share of all.
     */
    fun cores(pool: String, hasOwnCell: Boolean): Double = synchronized(lock) {
        val free = workers.values.flatten().filter { it.pool == pool }.sumOf { it.free.cpuMilli.toLong() } / MILLI
        val share = if (hasOwnCell) 0.0 else cores.values.sumOf { it[pool] ?: 0L }.toDouble() / (cores.size + 1)
        maxOf(free, share)
    }

    private companion object {
        /** Thousandths of a core in a core. */
        const val MILLI = 1_000.0
    }
}
