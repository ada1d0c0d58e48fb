package dandelionpoint.coordination.ownership

import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.store.Row
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.ExperimentalCoroutinesApi

/**
 * Guards against a submission that runs twice, and against a refusal as 'not run' of one that has run, when the ownership of its shard
 * changes. This happens if two VMs both believe that they own a shard, for example after a pause longer than the lease or a lost
 * write, or if a new owner does not know what an earlier one has started. Also checks that a fault of one VM does not leave shards
 * without an owner.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class ShardOwnershipTest :
    DescribeSpec({
        fun codeOf(decision: StartDecision?): ResultCode = decision.shouldBeInstanceOf<StartDecision.Refused>().refusal.code

        describe("a cluster without shard rows") {
            it("assigns every shard to one VM and starts ids within 1 s") {
                val cluster = SimulatedCluster(settings = OwnershipSettings())
                val vms = List(7) { cluster.boot("vm$it") }
                cluster.run(1_000)
                vms.flatMap { it.ownership.ownedShards() }.sorted() shouldContainExactly (0..15).toList()
                vms.forEach { it.ownership.ownedShards().size shouldBeInRange 1..3 }
                val id = cluster.newId()
                vms.map { it.submitNow(id) }.count { it == StartDecision.Start } shouldBe 1
            }
        }

        describe("a shard row that cannot be read") {
            // Guards against one row that keeps a VM from reading the others, so that it claims no shard.
            listOf("not JSON", """{"epoch":1e400}""", "[".repeat(30_000), "{}", "").forEach { content ->
                it("is left out, and the other shards are owned: ${content.take(20)}") {
                    val cluster = SimulatedCluster()
                    cluster.platform.rows["shard/1"] = Row("shard/1", content, version = 1, writeId = "other writer")
                    val vm = cluster.boot("a")
                    cluster.run(1_000)
                    vm.ownership.ownedShards() shouldBe setOf(0, 2, 3)
                }
            }
        }

        describe("a VM with more than its share of shards") {
            it("hands shards over to VMs with fewer until the shares are nearly equal") {
                val cluster = SimulatedCluster(settings = OwnershipSettings())
                val vms = mutableListOf(cluster.boot("first"))
                cluster.run(1_000)
                repeat(3) { vms += cluster.boot("vm$it") }
                cluster.run(60_000)
                vms.sumOf { it.ownership.ownedShards().size } shouldBe 16
                vms.forEach { it.ownership.ownedShards().size shouldBeInRange 3..5 }
            }
        }

        describe("an id") {
            val cluster = SimulatedCluster()
            val vm = cluster.boot("a")
            cluster.run(1_000)

            it("starts once, is then running, and in the end has its result") {
                val id = cluster.newId()
                vm.submitNow(id) shouldBe StartDecision.Start
                vm.submitNow(id) shouldBe StartDecision.Running
                vm.lookupNow(id) shouldBe Lookup.Running
                vm.finishNow(id) shouldBe true
                vm.submitNow(id).shouldBeInstanceOf<StartDecision.Finished>().record.view.results shouldBe listOf("done")
            }
            it("is refused when it has expired, is from the future or is reused for another submission") {
                codeOf(vm.submitNow(cluster.newId(ageMs = 3_600_001))) shouldBe ResultCode.ID_EXPIRED
                codeOf(vm.submitNow(cluster.newId(ageMs = -5_001))) shouldBe ResultCode.ID_FROM_FUTURE
                val id = cluster.newId()
                vm.submitNow(id)
                codeOf(vm.submitNow(id, "other digest")) shouldBe ResultCode.ID_REUSED
            }
            it("can start later if the first caller was cancelled before it received the decision") {
                val cancelling = SimulatedCluster(settings = OwnershipSettings(shards = 4, mode = StartMode.COMMIT))
                val owner = cancelling.boot("a")
                cancelling.run(1_000)
                val id = cancelling.newId()
                val first = owner.submit(id)
                cancelling.run(1)
                first.cancel()
                cancelling.run(10)
                owner.submitNow(id) shouldBe StartDecision.Start
            }
            it("starts after the next renewal if its creation time is up to 5 s ahead of the clock") {
                vm.submitNow(cluster.newId(ageMs = -4_950)) shouldBe StartDecision.Start
            }
        }

        describe("a killed owner") {
            it("is replaced after its lease; its records are found, and its unrecorded ids have an unknown outcome and never start again") {
                val cluster = SimulatedCluster()
                val a = cluster.boot("a")
                cluster.run(1_000)
                val recorded = cluster.newId()
                val running = cluster.newId()
                listOf(recorded, running).forEach { a.submitNow(it) shouldBe StartDecision.Start }
                a.finishNow(recorded) shouldBe true
                val b = cluster.boot("b")
                a.kill()
                cluster.run(6_000)
                val early = cluster.newId()
                b.ownership.ownedShards() shouldBe emptySet()
                cluster.run(3_000)
                b.ownership.ownedShards().size shouldBe 4
                b.submitNow(recorded).shouldBeInstanceOf<StartDecision.Finished>()
                codeOf(b.submitNow(running)) shouldBe ResultCode.OWNER_LOST
                b.lookupNow(running) shouldBe Lookup.OwnerLost
                b.submitNow(early) shouldBe StartDecision.Start
            }
        }

        describe("an owner that was paused past its lease") {
            it("starts no id that the new owner may start, reports no such id as not run, and writes no more records") {
                val cluster = SimulatedCluster()
                val a = cluster.boot("a")
                cluster.run(1_000)
                val running = cluster.newId()
                a.submitNow(running)
                a.pause()
                val b = cluster.boot("b")
                cluster.run(9_000)
                val id = cluster.newId()
                b.submitNow(id) shouldBe StartDecision.Start
                // Without the table the resumed owner cannot learn that it has lost the shard.
                cluster.platform.isDown = true
                a.resume()
                codeOf(a.submitNow(id)) shouldBe ResultCode.FORWARD_LOST
                a.lookupNow(id) shouldBe Lookup.OwnerLost
                cluster.platform.isDown = false
                a.finishNow(running) shouldBe false
                a.ownership.ownedShards() shouldBe emptySet()
                a.submitNow(id) shouldBe StartDecision.Forward(b.identity)
            }
        }

        describe("an outage of the table") {
            it("lets ids below the horizon start; others are refused as not run and, after the lease has expired, as unknown") {
                val cluster = SimulatedCluster()
                val vm = cluster.boot("a")
                cluster.run(1_000)
                cluster.platform.isDown = true
                cluster.run(2_000)
                vm.submitNow(cluster.newId()) shouldBe StartDecision.Start
                codeOf(vm.submitNow(cluster.newId(ageMs = -4_900))) shouldBe ResultCode.TABLE_UNAVAILABLE
                val finished = cluster.newId()
                vm.submitNow(finished)
                vm.finishNow(finished) shouldBe false
                cluster.run(6_000)
                val late = cluster.newId()
                vm.ownership.ownerOf(late) shouldBe ShardOwner.None
                codeOf(vm.submitNow(late)) shouldBe ResultCode.FORWARD_LOST
                cluster.platform.isDown = false
                cluster.run(1_000)
                vm.submitNow(late) shouldBe StartDecision.Start
                vm.lookupNow(finished).shouldBeInstanceOf<Lookup.Finished>().record.view.recorded shouldBe true
            }
        }

        describe("lost write answers") {
            it("are resolved by reading the row back, so that takeovers, renewals and records continue") {
                val cluster = SimulatedCluster()
                cluster.platform.lostAnswers = 1.0
                val vm = cluster.boot("a")
                cluster.run(20_000)
                val id = cluster.newId()
                vm.submitNow(id) shouldBe StartDecision.Start
                vm.finishNow(id) shouldBe true
            }
        }

        describe("writes that are applied after the call has timed out") {
            it("are recognised as own writes, so that the VM does not lose the shard by its own takeover or renewal") {
                val cluster = SimulatedCluster()
                val vm = cluster.boot("a")
                repeat(2) {
                    cluster.platform.lateWrites = 1.0
                    cluster.run(6_000)
                    cluster.platform.lateWrites = 0.0
                    cluster.run(3_000)
                    vm.submitNow(cluster.newId()) shouldBe StartDecision.Start
                }
            }
        }

        describe("a released shard") {
            StartMode.entries.forEach { mode ->
                it("is taken at once; running ids finish at the previous owner and others can start at the new one, in mode $mode") {
                    val cluster = SimulatedCluster(settings = OwnershipSettings(shards = 4, mode = mode))
                    val a = cluster.boot("a")
                    cluster.run(1_000)
                    val b = cluster.boot("b")
                    val running = cluster.newId()
                    val unsent = cluster.newId()
                    a.submitNow(running) shouldBe StartDecision.Start
                    val stopped = a.stop()
                    cluster.run(1_000)
                    b.ownership.ownedShards().size shouldBe 4
                    b.submitNow(running) shouldBe StartDecision.Forward(a.identity)
                    b.submitNow(cluster.newId()) shouldBe StartDecision.Start
                    stopped.isCompleted shouldBe false
                    a.finishNow(running) shouldBe true
                    cluster.run(1_000)
                    stopped.isCompleted shouldBe true
                    b.submitNow(unsent) shouldBe StartDecision.Start
                    b.submitNow(running).shouldBeInstanceOf<StartDecision.Finished>()
                }
            }
        }

        describe("a previous owner that is killed while its last ids are running") {
            it("loses its epoch as fast as a killed owner is replaced, so that callers of these ids learn that the outcome is unknown") {
                val cluster = SimulatedCluster()
                val a = cluster.boot("a")
                cluster.run(1_000)
                val b = cluster.boot("b")
                val running = cluster.newId()
                a.submitNow(running) shouldBe StartDecision.Start
                a.stop()
                cluster.run(5_000)
                b.lookupNow(running) shouldBe Lookup.Forward(a.identity)
                a.kill()
                cluster.run(8_000)
                b.lookupNow(running) shouldBe Lookup.OwnerLost
            }
        }

        describe("an intent that becomes durable after a handover") {
            it("does not start its id, since the next owner may have read the intents before this one was written") {
                val cluster = SimulatedCluster(settings = OwnershipSettings(shards = 1, mode = StartMode.COMMIT))
                val a = cluster.boot("a")
                cluster.run(1_000)
                val b = cluster.boot("b")
                // Keeps the epoch of the previous owner open.
                a.submitNow(cluster.newId()) shouldBe StartDecision.Start
                cluster.platform.lateWrites = 1.0
                cluster.platform.lateMs = 800
                val id = cluster.newId()
                val late = a.submit(id)
                cluster.run(2)
                cluster.platform.lateWrites = 0.0
                a.stop()
                cluster.run(600)
                b.submitNow(id) shouldBe StartDecision.Start
                cluster.run(1_000)
                late.getCompleted() shouldNotBe StartDecision.Start
            }
        }

        describe("a restart of all VMs") {
            it("finds the earlier records, and starts new ids after the earlier leases have expired") {
                val cluster = SimulatedCluster()
                val old = List(2) { cluster.boot("old$it") }
                cluster.run(1_000)
                val id = cluster.newId()
                val owner = old.first { it.submitNow(id) == StartDecision.Start }
                owner.finishNow(id, listOf("x".repeat(5_000))) shouldBe true
                old.forEach { it.kill() }
                val new = List(2) { cluster.boot("new$it") }
                cluster.run(9_000)
                new.map { it.submitNow(id) }.filterIsInstance<StartDecision.Finished>().single().record.view.results shouldBe
                    listOf("x".repeat(5_000))
                new.map { it.submitNow(cluster.newId()) }.count { it is StartDecision.Refused } shouldBe 0
            }
        }

        describe("results") {
            it("above the inline limit stay unrecorded during an outage of the object store, and do not delay other records") {
                val cluster = SimulatedCluster()
                val vm = cluster.boot("a")
                cluster.run(1_000)
                cluster.platform.objects.isDown = true
                val (large, small) = generateSequence { cluster.newId() }.filter { it.shard(4) == 0 }.take(2).toList()
                listOf(large, small).forEach { vm.submitNow(it) }
                vm.finishNow(large, listOf("x".repeat(5_000))) shouldBe false
                vm.finishNow(small)
                cluster.run(300)
                val isRecorded = { id: SubmissionId -> vm.lookupNow(id).shouldBeInstanceOf<Lookup.Finished>().record.view.recorded }
                listOf(large, small).map(isRecorded) shouldBe listOf(false, true)
                cluster.platform.objects.isDown = false
                cluster.run(500)
                isRecorded(large) shouldBe true
            }
            it("beyond the memory limit are dropped and read again from their row") {
                val cluster = SimulatedCluster(settings = OwnershipSettings(shards = 1, resultMemoryBytes = 10_000))
                val vm = cluster.boot("a")
                cluster.run(1_000)
                val ids = List(10) { cluster.newId() }
                ids.forEach {
                    vm.submitNow(it)
                    cluster.run(10)
                    vm.finishNow(it, listOf(it.text.repeat(100))) shouldBe true
                }
                val readsBefore = cluster.platform.readUnits["record"] ?: 0
                ids.forEach {
                    vm.lookupNow(it).shouldBeInstanceOf<Lookup.Finished>().record.view.results shouldBe
                        listOf(it.text.repeat(100))
                }
                cluster.platform.readUnits["record"] shouldBe readsBefore + 8
            }
        }

        describe("an id whose record was deleted after its lifetime") {
            it("never starts again, even at a VM whose clock is behind") {
                val cluster = SimulatedCluster()
                val a = cluster.boot("a")
                cluster.run(1_000)
                val id = cluster.newId()
                a.submitNow(id)
                a.finishNow(id)
                cluster.run(3_700_000)
                cluster.platform.rows.keys.none { it.startsWith("record/") } shouldBe true
                val late = cluster.boot("late", wallOffsetMs = -600_000)
                a.stop()
                cluster.run(8_000)
                codeOf(late.submitNow(id)) shouldBe ResultCode.OWNER_LOST
            }
        }

        describe("the cost of an idle shard") {
            it("is half a row write per second and, for each VM, two reads per second for all shards") {
                val cluster = SimulatedCluster(settings = OwnershipSettings())
                repeat(7) { cluster.boot("vm$it") }
                cluster.run(10_000)
                cluster.platform.rowWrites.clear()
                cluster.platform.readUnits.clear()
                cluster.run(30_000)
                println("rows written ${cluster.platform.rowWrites}, reads ${cluster.platform.readUnits} in 30 s")
                cluster.platform.rowWrites.values.sum() shouldBeInRange 220..260
                cluster.platform.readUnits.values.sum() shouldBeInRange 400..450
            }
        }
    })
