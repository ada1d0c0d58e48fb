package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.RunPlace
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.peer.FleetBeat
import dandelionpoint.protocol.peer.VmIdentity

/** Free rooms in the cells of other VMs, from their last beats less what was lent since. */
internal class RemoteRooms {
    private class Room(val vm: VmIdentity, val cell: String, val pool: String, var free: Demand, val speed: Double)

    private val lock = Any()
    private val rooms = HashMap<VmIdentity, List<Room>>()

    fun heard(vm: VmIdentity, beat: FleetBeat) = synchronized(lock) {
        rooms[vm] = if (beat.isStopping) {
            emptyList()
        } else {
            beat.cells.flatMap { cell -> cell.rooms.map { Room(vm, cell.cell, it.pool, it.free, it.speed) } }
        }
    }

    fun forget(vm: VmIdentity) {
        synchronized(lock) { rooms.remove(vm) }
    }

    fun forget(vmIncarnation: String) {
        synchronized(lock) { rooms.keys.removeIf { it.incarnation == vmIncarnation } }
    }

    /** Takes room for [order] on the fastest worker that fits; null if there is none. */
    fun take(order: RunOrder): Pair<VmIdentity, RunPlace.Remote>? = synchronized(lock) {
        val fitting = rooms.values.flatten().filter { it.pool == order.pool && it.free.covers(order.demand) }
        val room = fitting.maxByOrNull { it.speed } ?: return@synchronized null
        room.free -= order.demand
        room.vm to RunPlace.Remote(room.vm.incarnation, room.cell)
    }

    /** Cores of the listed rooms of [pool]. */
    fun freeCores(pool: String): Double =
        synchronized(lock) { rooms.values.flatten().filter { it.pool == pool }.sumOf { it.free.cpuMilli } / MILLI }

    private companion object {
        const val MILLI = 1_000.0
    }
}
