package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.POOL
import dandelionpoint.coordination.fleet.order
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.peer.FleetHeartbeat
import dandelionpoint.protocol.peer.FreeCapacity
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.peer.labelCode
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThan
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

        describe("a run that needs a label") {
            fun announced(label: String, speed: Float = 1f) =
                FleetHeartbeat(freeCapacity = mapOf(POOL to List(3) { FreeCapacity(Demand(16_000, 64), speed, listOf(labelCode(label))) }))

            fun vm(name: String, dataCentre: String) = VmIdentity(name, "incarnation-$name", "north", dataCentre, "127.0.0.1", 1)
            val near = vm("near", "akl-a")
            val far = vm("far", "ham-a")

            // Guards against requests that the other VM can only refuse, or let wait.
            it("is never sent to an owner without a worker that has it, however much capacity that owner announces") {
                val remote = RemoteCapacity("akl-a", Random(3))
                remote.update(near, announced("accelerated"))
                List(20) { remote.reserve(order(index = it).copy(requiredLabel = "large-memory")) } shouldBe List(20) { null }
                remote.update(far, announced("large-memory"))
                remote.reserve(order().copy(requiredLabel = "large-memory"))?.first shouldBe far
            }

            // Guards against runs that take twice as long because only the own data centre was looked at.
            it("as its rack is sent to the rack in another data centre") {
                (1..20).forEach { seed ->
                    val remote = RemoteCapacity("akl-a", Random(seed))
                    remote.update(near, announced("rack-1"))
                    remote.update(far, announced("rack-2"))
                    remote.offer(order().copy(rack = "rack-2"))?.source?.vm shouldBe far
                }
            }

            it("as its rack runs outside the rack only if workers there are faster by more than the penalty") {
                listOf(1.5 to near, 3.0 to far).forEach { (penalty, expected) ->
                    val remote = RemoteCapacity("akl-a", Random(4), remotePenalty = penalty)
                    remote.update(near, announced("rack-1", speed = 1.7f))
                    remote.update(far, announced("rack-2", speed = 0.7f))
                    remote.offer(order(estimateMs = 900).copy(rack = "rack-2"))?.source?.vm shouldBe expected
                }
            }
        }

        // Guards against VMs that all send their runs to the same worker, since they all know the same free capacity.
        it("VMs with the same information spread their runs over the announced workers") {
            val vms = List(8) { VmIdentity("vm-$it", "incarnation-$it", "north", "akl-a", "127.0.0.1", 1) }
            val chosen = (1..200).map { seed ->
                val remote = RemoteCapacity("akl-a", Random(seed))
                vms.forEach { remote.update(it, FleetHeartbeat(freeCapacity = mapOf(POOL to listOf(FreeCapacity(Demand(7_000, 64), 1f))))) }
                remote.reserve(order())?.first
            }
            vms.forEach { vm -> chosen.count { it == vm } shouldBeGreaterThan 10 }
        }

        it("no more is reserved on a worker than it has announced, for any demands and heartbeats") {
            val random = Random(23)
            val vms = List(5) { VmIdentity("vm-$it", "incarnation-$it", "north", "dc-${it % 2}", "127.0.0.1", 1) }
            val remote = RemoteCapacity("dc-0", random)
            repeat(2_000) {
                val announced = List(1 + random.nextInt(4)) { FreeCapacity(Demand(random.nextInt(32_000), 64), 1f) }
                if (random.nextInt(4) == 0) remote.update(vms.random(random), FleetHeartbeat(freeCapacity = mapOf(POOL to announced)))
                val order = order(index = it).copy(demand = Demand(1 + random.nextInt(20_000), 1))
                remote.offer(order)?.let { offer ->
                    remote.reserve(order, offer)
                    offer.source.free.covers(Demand(0, 0)) shouldBe true
                }
            }
        }
    })
