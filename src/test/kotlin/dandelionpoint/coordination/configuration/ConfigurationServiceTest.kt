package dandelionpoint.coordination.configuration

import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.peer.PeerMessage
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.CancellationException
import kotlin.random.Random

/**
 * Guards against changes that are lost, made twice or reported with the wrong outcome, and against VMs that go back to an older version or
 * do not notice that theirs is outdated. These failures arise when several VMs write at once, when the table's answer to a write is lost
 * or late, and when a data centre is cut off or the table is down, so that VMs learn of changes only from each other.
 */
class ConfigurationServiceTest :
    DescribeSpec({
        describe("a first start") {
            it("creates version 1 once, although several VMs start together") {
                val cluster = Cluster(size = 2)
                cluster.table.beforeWrite = { cluster.vms[1].refresh() }
                cluster.vms[0].current() shouldBe null
                cluster.vms[0].refresh()
                cluster.vms.map { it.current() } shouldBe listOf(Configuration.first(), Configuration.first())
                cluster.table.rows[ConfigurationRows.HEAD]?.version shouldBe 1
            }
            it("writes every value of a preset, so that releases with other defaults agree on a version") {
                val cluster = Cluster(size = 1).started()
                cluster.table.rows["preset/ordinary"]?.value.orEmpty() shouldContain "\"ejectMs\":5000"
            }
            it("creates no configuration if a peer already has one, since that would revert it to the defaults") {
                val cluster = Cluster(size = 1)
                cluster.vms[0].onPeerVersion(cluster.identity(5), version = 40)
                cluster.vms[0].refresh()
                cluster.vms[0].current() shouldBe null
                cluster.table.rows.size shouldBe 0
            }
        }

        describe("two operators who change the configuration at once") {
            it("get exactly one success, and the refusal names the version and author of the change that came first, not of a later one") {
                val cluster = Cluster(size = 2).started()
                cluster.table.beforeWrite = { cluster.vms[1].change(team("a", 2), 1, author = "ana").isRight() shouldBe true }
                val refusal = cluster.vms[0].change(team("a", 3), expectedVersion = 1, author = "ben").leftOrNull()
                refusal?.code shouldBe ResultCode.VERSION_CONFLICT
                (refusal?.winningVersion to refusal?.winningAuthor) shouldBe (2L to "ana")
                cluster.vms.map { it.current()?.teams?.get("a")?.weight } shouldBe listOf(2, 2)
                cluster.vms[0].change(team("a", 4), expectedVersion = null, author = "cy")
                val later = cluster.vms[0].change(team("a", 3), expectedVersion = 1, author = "ben").leftOrNull()
                (later?.winningAuthor to later?.currentVersion) shouldBe ("ana" to 3L)
            }
            it("both succeed, one after the other, without an expected version") {
                val cluster = Cluster(size = 2).started()
                cluster.table.beforeWrite = { cluster.vms[1].change(team("a", 2), expectedVersion = null, author = "ana") }
                cluster.vms[0].change(team("b", 3), expectedVersion = null, author = "ben").getOrNull()?.version shouldBe 3
            }
        }

        describe("a write to the table that returns an error") {
            it("is resolved by its change id: a change that took effect is reported as accepted, and made once") {
                val cluster = Cluster(size = 1).started()
                cluster.table.writeFaults += WriteFault.LOST_AFTER_EFFECT
                cluster.vms[0].change(team("a", 2), expectedVersion = 1, author = "ana").getOrNull()?.version shouldBe 2
                cluster.vms[0].history(10).getOrNull()?.size shouldBe 1
            }
            it("is not reported as accepted when another change became that version") {
                val cluster = Cluster(size = 2).started()
                cluster.table.writeFaults += WriteFault.DELAYED
                repeat(4) { cluster.table.writeFaults += WriteFault.LOST_BEFORE_EFFECT }
                val unanswered = cluster.vms[0].change(team("a", 2), expectedVersion = 1, author = "ana")
                unanswered.leftOrNull()?.code shouldBe ResultCode.CHANGE_UNKNOWN
                cluster.vms[1].change(team("a", 9), expectedVersion = 1, author = "ben").isRight() shouldBe true
                cluster.table.deliverDelayed()
                cluster.vms.forEach { it.refresh() }
                cluster.vms.map { it.current()?.teams?.get("a")?.weight } shouldBe listOf(9, 9)
            }
            it("is not reported as accepted when a concurrent change came first, although the version then exists") {
                val cluster = Cluster(size = 2).started()
                cluster.table.beforeWrite = {
                    cluster.vms[1].change(team("a", 9), expectedVersion = 1, author = "ben")
                    cluster.table.writeFaults += WriteFault.LOST_BEFORE_EFFECT
                }
                val refusal = cluster.vms[0].change(team("a", 2), expectedVersion = 1, author = "ana").leftOrNull()
                refusal?.winningAuthor shouldBe "ben"
            }
            it("is repeated, and takes effect only once even if the first copy arrives later") {
                val cluster = Cluster(size = 1).started()
                cluster.table.writeFaults += WriteFault.DELAYED
                cluster.vms[0].change(team("a", 2), expectedVersion = 1, author = "ana").getOrNull()?.version shouldBe 2
                cluster.table.deliverDelayed()
                cluster.vms[0].refresh()
                cluster.vms[0].current()?.version shouldBe 2
            }
            it("is reported as not made if it certainly was not applied") {
                val cluster = Cluster(size = 1).started()
                cluster.table.writeFaults += WriteFault.REFUSED
                cluster.vms[0].change(team("a", 2), null, "ana").leftOrNull()?.code shouldBe ResultCode.CHANGE_UNAVAILABLE
            }
        }

        describe("a VM that is behind") {
            it("applies each change, and starts from the snapshot row with few reads if it is far behind") {
                val cluster = Cluster(size = 2, table = FakeTable(maxPageRows = 40)).started()
                repeat(30) { cluster.vms[0].change(team("a", it), null, "ana") }
                cluster.vms[1].refresh()
                cluster.vms[1].current() shouldBe cluster.vms[0].current()
                repeat(500) { cluster.vms[0].change(team("t${it % 20}", it), null, "ana") }
                val readsBefore = cluster.table.reads
                cluster.vms[1].refresh()
                cluster.vms[1].current() shouldBe cluster.vms[0].current()
                (cluster.table.reads - readsBefore) shouldBeLessThan 5
            }
            it("pulls from the peer with the highest version, and gets only the changes that it lacks") {
                val cluster = Cluster(size = 2).started()
                repeat(5) { cluster.vms[0].change(team("a", it), null, "ana") }
                cluster.table.isDown = true
                cluster.heartbeat(from = 0, to = 1)
                cluster.vms[1].current() shouldBe cluster.vms[0].current()
                cluster.vms[0].changesAfter(afterVersion = 6)?.document shouldBe """{"confirmedAgeMs":0,"changes":[],"full":null}"""
            }
        }

        describe("a peer's document") {
            it("is dropped if it is not valid, and leaves the configuration unchanged") {
                val vm = Cluster(size = 1).started().vms[0]
                val unknown = ChangeRecord(2, "id", ConfigurationChange.ActivatePreset("none"), "ana", 0)
                listOf("{", """{ "changes": [${ConfigurationRows.json.encodeToString(unknown)}] }""").forEach {
                    vm.apply(PeerMessage.ConfigChanges(version = 2, document = it))
                }
                vm.current() shouldBe Configuration.first()
            }
        }

        describe("a start during an outage of the platform") {
            it("uses the highest version among the peers, and has no configuration while it reaches none") {
                val cluster = Cluster(size = 3)
                cluster.vms[0].refresh()
                cluster.vms[1].refresh()
                cluster.vms[1].change(team("a", 7), null, "ana")
                cluster.table.isDown = true
                val starting = cluster.vms[2]
                starting.refresh().isLeft() shouldBe true
                (starting.nextPullTarget() to starting.current()) shouldBe (null to null)
                listOf(0, 1).forEach { starting.onPeerVersion(cluster.identity(it), version = it + 1L) }
                starting.nextPullTarget() shouldBe cluster.identity(1)
                cluster.vms[1].changesAfter(afterVersion = 0)?.let { starting.apply(it) }
                starting.current() shouldBe cluster.vms[1].current()
            }
        }

        describe("the age of the confirmation") {
            it("grows on VMs that confirm each other without the table, so that a cut-off data centre is detected") {
                val cluster = Cluster(size = 2).started()
                cluster.table.isDown = true
                repeat(100) {
                    cluster.nowMs += 250
                    cluster.heartbeat(from = 0, to = 1)
                    cluster.heartbeat(from = 1, to = 0)
                }
                cluster.vms.map { it.confirmationAgeMs() } shouldBe listOf(25_000L, 25_000L)
            }
            it("stays low on a VM that reaches a peer which reaches the table") {
                val cluster = Cluster(size = 2).started()
                repeat(100) {
                    cluster.nowMs += 250
                    if (it % 8 == 0) cluster.vms[0].refresh()
                    cluster.heartbeat(from = 0, to = 1)
                }
                cluster.vms[1].confirmationAgeMs() shouldBeLessThanOrEqualTo 10_000L
            }
        }

        describe("the propagation of a change") {
            it("lists the VMs that confirmed it and those that did not, with data centre and time since the last contact") {
                val cluster = Cluster(size = 1).started()
                cluster.vms[0].onPeerVersion(cluster.identity(1), version = 1)
                cluster.vms[0].onPeerVersion(cluster.identity(2), version = 2)
                cluster.nowMs += 700
                cluster.vms[0].change(team("a", 1), null, "ana")
                val propagation = cluster.vms[0].propagation(version = 2)
                propagation.inForce.map { it.vm.name } shouldBe listOf("vm-0", "vm-2")
                propagation.unconfirmed.map { it.vm.dataCentre to it.lastContactMs } shouldBe listOf("dc-1" to 700L)
                cluster.vms[0].removePeer(cluster.identity(1))
                cluster.vms[0].propagation(version = 2).unconfirmed shouldBe emptyList()
            }
        }

        describe("the read loop") {
            it("reads at intervals that vary around 2 s, continues after a failed read, and ends when it is cancelled") {
                val table = FakeTable()
                val pauses = mutableListOf<Long>()
                val settings = ConfigurationSettings(Cluster(size = 1).identity(0))
                val vm =
                    ConfigurationService(table, TestClock { pauses.sum() }, settings, Random(3), pause = {
                        pauses += it
                        table.isDown = pauses.size in 5..9
                        if (pauses.size == 20) throw CancellationException("end of the test")
                    })
                shouldThrow<CancellationException> { vm.run() }
                pauses.forEach { it shouldBeInRange 1_800L..2_200L }
                pauses.distinct().size shouldBeGreaterThan 10
                vm.confirmationAgeMs() shouldBe pauses.last()
            }
        }

        describe("changes") {
            it("are refused if the preset is unknown or values are out of range") {
                val vm = Cluster(size = 1).started().vms[0]
                vm.change(ConfigurationChange.ActivatePreset("none"), null, "ana").leftOrNull()?.code shouldBe ResultCode.UNKNOWN_PRESET
                val preset = ConfigurationChange.PutPreset(Preset("p", retryBudget = 2.0))
                vm.change(preset, null, "ana").leftOrNull()?.let { it.detail shouldContain "retryBudget: 2.0" } shouldNotBe null
            }
            it("are serialized on one VM, so that none fails because of another, and reach listeners in order") {
                val cluster = Cluster(size = 1)
                val seen = mutableListOf<Long>()
                cluster.vms[0].onChange { seen += it.version }
                cluster.vms[0].refresh()
                repeat(20) { cluster.vms[0].change(team("a", it), null, "ana").isRight() shouldBe true }
                seen shouldBe (1L..21L).toList()
            }
        }
    })
