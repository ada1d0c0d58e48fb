package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.POOL
import dandelionpoint.coordination.fleet.order
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.FreeCapacity
import dandelionpoint.protocol.peer.VmIdentity
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards against a sum of the capacities in heartbeats that overflows, by which all jobs of a pool would be refused. */
internal class RemoteCapacityTest :
    DescribeSpec({
        it("the cores of many or large workers add up to a positive number") {
            val large = List(3) { FreeCapacity(Demand(Int.MAX_VALUE / 2), speed = 1f) }
            val cores = mapOf("p" to Int.MAX_VALUE)
            val vm = VmIdentity("vm-1", "incarnation-1", "north", "akl-a", "127.0.0.1", 1)
            val remote = RemoteCapacity()
            remote.update(vm, FleetHeartbeat(freeCapacity = mapOf("p" to large), cores = cores))
            remote.update(vm.copy(name = "vm-2"), FleetHeartbeat(cores = cores))
            remote.cores("p", hasOwnCell = true) shouldBeGreaterThan 0.0
            remote.cores("p", hasOwnCell = false) shouldBeGreaterThan 0.0
        }

        it("workers of the own data centre are used before those of others, whose bytes and latency cost more") {
            val remote = RemoteCapacity("akl-a", Random(1))
            val free = mapOf(POOL to List(4) { FreeCapacity(Demand(7_000, 64), speed = 1f) })
            val near = VmIdentity("near", "incarnation-near", "north", "akl-a", "127.0.0.1", 1)
            val far = near.copy(name = "far", incarnation = "incarnation-far", dataCentre = "ham-a")
            remote.update(near, FleetHeartbeat(freeCapacity = free))
            remote.update(far, FleetHeartbeat(freeCapacity = free))
            List(4) { remote.reserve(order(index = it))?.first } shouldBe List(4) { near }
            remote.reserve(order(index = 4))?.first shouldBe far
        }

        // Guards against capacity that stays reserved, or a VM that stays full, while its owner keeps reporting the same free capacity.
        it("a heartbeat that reports no change frees what was reserved or marked as full since the last one") {
            val remote = RemoteCapacity()
            val vm = VmIdentity("vm-1", "incarnation-1", "north", "akl-a", "127.0.0.1", 1)
            val heartbeat = FleetHeartbeat(freeCapacity = mapOf(POOL to listOf(FreeCapacity(Demand(7_000, 64), speed = 1f))))
            val changes = listOf<(VmIdentity) -> Unit>({ remote.reserve(order()) }, { remote.markFull(it) }, { remote.remove(it) }, { })
            val random = Random(19)
            repeat(200) {
                remote.update(vm, heartbeat)
                repeat(random.nextInt(4)) { changes.random(random)(vm) }
                remote.update(vm, heartbeat)
                remote.reserve(order())?.first shouldBe vm
                remote.reserve(order()) shouldBe null
            }
        }
    })
