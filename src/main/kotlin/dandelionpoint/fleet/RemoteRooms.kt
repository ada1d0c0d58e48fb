package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.RunPlace
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.peer.FleetBeat
import dandelionpoint.protocol.peer.VmIdentity

/** Free rooms in the cells of other VMs, from their last beats less what was lent since. */
internal class RemoteRooms {
    private class Room(val vm: VmIdentity, val cell: String, val pool: String, var free: Demand, val speed: Float)

    private val lock = Any()
    private val rooms = HashMap<VmIdentity, List<Room>>()
    private val total = HashMap<VmIdentity, Map<String, Int>>()

    fun heard(vm: VmIdentity, beat: FleetBeat) = synchronized(lock) {
        total[vm] = beat.cells.flatMap { it.cores.entries }.groupBy({ it.key }) { it.value }.mapValues { it.value.sum() }
        rooms[vm] = if (beat.isStopping) {
            emptyList()
        } else {
            beat.cells.flatMap { cell ->
                cell.rooms.flatMap { (pool, rooms) -> rooms.map { Room(vm, cell.cell, pool, it.free, it.speed) } }
            }
        }
    }

    /** [vm] has no room until its next beat. */
    fun exhausted(vm: VmIdentity) {
        synchronized(lock) { rooms.remove(vm) }
    }

    /** [vm] is lost. */
    fun forget(vm: VmIdentity) {
        synchronized(lock) {
            rooms.remove(vm)
            total.remove(vm)
        }
    }

    /** Takes room for [order] on the fastest worker that fits; null if there is none. */
    fun take(order: RunOrder): Pair<VmIdentity, RunPlace.Remote>? = synchronized(lock) {
        val fitting = rooms.values.flatten().filter { it.pool == order.pool && it.free.covers(order.demand) }
        val room = fitting.maxByOrNull { it.speed } ?: return@synchronized null
        room.free -= order.demand
        room.vm to RunPlace.Remote(room.vm.incarnation, room.cell)
    }

    /** Cores of [pool] in the cells of other VMs that this VM may count on: what is free, and without a cell of its own a share of all. */
    fun cores(pool: String, hasOwnCell: Boolean): Double = synchronized(lock) {
        val free = rooms.values.flatten().filter { it.pool == pool }.sumOf { it.free.cpuMilli } / MILLI
        val share = if (hasOwnCell) 0.0 else total.values.sumOf { it[pool] ?: 0 }.toDouble() / (total.size + 1)
        maxOf(free, share)
    }

    private companion object {
        const val MILLI = 1_000.0
    }
}
