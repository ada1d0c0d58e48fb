/*
 * Experiment: processor time of the choice of a worker on a VM with 16 workers of its own and 250 that other VMs have announced, in
 * microseconds. It needs no network. Run it with -XX:TieredStopAtLevel=1, as deploy/system.toml does.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Cell
import dandelionpoint.coordination.fleet.POOL
import dandelionpoint.coordination.fleet.candidates
import dandelionpoint.coordination.fleet.choose
import dandelionpoint.coordination.fleet.order
import dandelionpoint.coordination.fleet.receiveRunLists
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.FreeCapacity
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.peer.labelCode
import java.lang.management.ManagementFactory
import kotlin.random.Random

private const val OWN_WORKERS = 16
private const val VMS = 42
private const val PER_VM = 6
private const val CALLS = 200_000

private fun measure(name: String, call: (Int) -> Unit) {
    val threads = ManagementFactory.getThreadMXBean()
    repeat(CALLS) { call(it) }
    val begin = threads.currentThreadCpuTime
    repeat(CALLS) { call(it) }
    println("%-60s %.2f".format(name, (threads.currentThreadCpuTime - begin) / 1_000.0 / CALLS))
}

private fun remote(freeMilli: Int): RemoteCapacity = RemoteCapacity("dc-0", Random(1)).apply {
    repeat(VMS) { vm ->
        val free = List(PER_VM) { FreeCapacity(Demand(freeMilli, 64_000), 1f, listOf(labelCode("rack-$vm"), labelCode("kind-$it"))) }
        val identity = VmIdentity("vm-$vm", "incarnation-$vm", "north", "dc-${vm % 3}", "127.0.0.1", 1)
        update(identity, FleetHeartbeat(freeCapacity = mapOf(POOL to free)))
    }
}

private fun cell(runsPerWorker: Int): Cell = Cell("akl-a", 1).apply {
    receiveRunLists(*Array(OWN_WORKERS) { "w$it" })
    repeat(OWN_WORKERS * runsPerWorker) { place(order("job-$it"), 0) }
}

internal fun main() {
    val small = order("small").copy(demand = Demand(1, 0))
    val large = order("large").copy(demand = Demand(16_000, 64))
    val full = remote(freeMilli = 9_000)
    val free = remote(freeMilli = Int.MAX_VALUE / 2)
    measure("other VMs, none has the capacity") { full.reserve(large) }
    measure("other VMs, all have") { free.reserve(small) }
    val busy = cell(runsPerWorker = 2)
    val half = cell(runsPerWorker = 1)
    measure("own workers with 2 runs each, none has the capacity") { busy.query { it.candidates(large, 0, null) }.choose { it } }
    measure("own workers with 1 run each, all have") { half.query { it.candidates(small, 0, null) }.choose { it } }
}
