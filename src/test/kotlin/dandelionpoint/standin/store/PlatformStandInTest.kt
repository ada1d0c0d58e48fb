package dandelionpoint.standin.store

import arrow.core.Either
import arrow.core.right
import dandelionpoint.coordination.store.ResolvingTable
import dandelionpoint.protocol.store.Check
import dandelionpoint.protocol.store.Put
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.protocol.store.Table
import dandelionpoint.protocol.store.Transaction
import dandelionpoint.protocol.store.TransactionResult
import dandelionpoint.standin.upstream.UpstreamStandIn
import dandelionpoint.standin.upstream.UpstreamStandInSettings
import dandelionpoint.transport.store.HttpObjectStore
import dandelionpoint.transport.store.HttpPlatformDirectory
import dandelionpoint.transport.store.HttpTable
import dandelionpoint.transport.store.PlatformClient
import dandelionpoint.transport.store.PlatformClientSettings
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.util.UUID

private suspend fun Table.put(key: String, value: String, version: Long): Either<StoreError, TransactionResult> =
    transact(Transaction(UUID.randomUUID().toString(), listOf(Check(key, version)), listOf(Put(key, value))))

/**
 * Guards against tests that pass by mistake because the platform stand-in has no atomic transactions, rate limits or faults. Also guards
 * against a change that the HTTP clients report as not applied although it may have been, which can happen when its answer is lost or it
 * takes effect after the caller's timeout.
 */
class PlatformStandInTest :
    DescribeSpec({
        val clock = ManualClock()
        val platform = autoClose(PlatformStandIn(clock = clock).start())
        val settings = PlatformClientSettings(platform.baseUrl, dataCentre = "akl-a", timeoutMs = 10_000)
        val client = autoClose(PlatformClient(settings))
        val table = HttpTable(client)
        val shortTimeoutTable = HttpTable(autoClose(PlatformClient(settings.copy(timeoutMs = 200))))

        beforeEach { clock.advance(ms = 60_000) }
        afterEach { platform.faults = PlatformFaults() }

        describe("transactions") {
            it("change nothing if one of their checks fails") {
                table.put("atomic/a", "1", version = 0).getOrNull().shouldBeInstanceOf<TransactionResult.Committed>()
                val checks = listOf(Check("atomic/a", 1), Check("atomic/b", 7))
                val failing = Transaction("failing", checks, listOf(Put("atomic/a", "2"), Put("atomic/c", "2")), listOf("atomic/a"))
                table.transact(failing) shouldBe TransactionResult.Conflict("atomic/b", 0).right()
                table.scan("atomic/").getOrNull()?.rows?.map { it.key to it.value } shouldBe listOf("atomic/a" to "1")
            }
            it("let exactly one of several writers of the same version succeed") {
                val results = coroutineScope { (1..20).map { async { table.put("race", "$it", version = 0) } }.awaitAll() }
                results.count { it.getOrNull() is TransactionResult.Committed } shouldBe 1
                results.count { it.getOrNull() is TransactionResult.Conflict } shouldBe 19
            }
            it("write rows that scans return in pages") {
                (1..5).forEach { table.put("page/$it", "", version = 0) }
                val first = checkNotNull(table.scan("page/", limit = 3).getOrNull())
                first.rows.map { it.key } shouldBe listOf("page/1", "page/2", "page/3")
                val second = checkNotNull(table.scan("page/", after = first.next, limit = 3).getOrNull())
                second.rows.map { it.key } shouldBe listOf("page/4", "page/5")
                second.next shouldBe null
            }
        }

        describe("rate limits") {
            it("refuse writes above the limit without effect until the clock advances") {
                val results = coroutineScope { (1..130).map { async { table.put("rate/$it", "", version = 0) } }.awaitAll() }
                results.count { it.leftOrNull() is StoreError.NotApplied } shouldBe 30
                table.scan("rate/").getOrNull()?.rows.orEmpty() shouldHaveSize 100
                clock.advance(ms = 10)
                (1..5).map { table.put("rate/later-$it", "", version = 0).isRight() } shouldBe listOf(true, true, true, true, false)
            }
            it("admit the configured rate over time, even for calls of several units") {
                val limit = RateLimit(perSecond = 400, clock)
                var units = 0
                repeat(10_000) {
                    clock.advance(ms = 1)
                    if (limit.tryAdmit()) {
                        limit.charge(6)
                        units += 7
                    }
                }
                (units in 4_000..4_110) shouldBe true
            }
        }

        describe("faults") {
            it("give a write whose answer is lost an unknown outcome, which reading the row resolves") {
                platform.faults = PlatformFaults(lostAnswerShare = 1.0)
                table.put("lost/a", "1", version = 0).leftOrNull().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
                table.get("lost/a").getOrNull()?.version shouldBe 1
                ResolvingTable(table).put("lost/b", "1", version = 0) shouldBe TransactionResult.Committed(mapOf("lost/b" to 1)).right()
                ResolvingTable(table).put("lost/b", "2", version = 0) shouldBe TransactionResult.Conflict("lost/b", 1).right()
            }
            it("refuse calls without effect in an outage, or leave them unanswered") {
                platform.faults = PlatformFaults(table = Outage.REFUSE)
                table.put("outage", "", version = 0).leftOrNull().shouldBeInstanceOf<StoreError.NotApplied>()
                table.get("outage").leftOrNull().shouldBeInstanceOf<StoreError.NotApplied>()
                platform.faults = PlatformFaults(table = Outage.SILENT)
                shortTimeoutTable.put("outage", "", version = 0).leftOrNull().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
                platform.faults = PlatformFaults()
                table.get("outage") shouldBe null.right()
            }
            it("cut off one data centre without affecting another") {
                val other = autoClose(PlatformClient(settings.copy(dataCentre = "ham-a")))
                platform.faults = PlatformFaults(cutDataCentres = setOf("akl-a"))
                shortTimeoutTable.put("cut", "", version = 0).leftOrNull().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
                HttpTable(other).get("cut") shouldBe null.right()
            }
            it("let a delayed write take effect after the caller's timeout") {
                platform.faults = PlatformFaults(addedLatencyMs = 500.0)
                shortTimeoutTable.put("late", "1", version = 0).leftOrNull().shouldBeInstanceOf<StoreError.OutcomeUnknown>()
                platform.faults = PlatformFaults()
                ResolvingTable(table).put("late", "2", version = 0).isRight() shouldBe true
                table.get("late").getOrNull()?.version shouldBe 1
            }
        }

        describe("the lists and objects") {
            it("show a registered worker only after the lag") {
                val upstreamSettings = UpstreamStandInSettings(workers = 8, platformUrl = platform.baseUrl)
                val directory = HttpPlatformDirectory(client)
                UpstreamStandIn(upstreamSettings).start().use {
                    directory.vms() shouldBe emptyList<Nothing>().right()
                    clock.advance(ms = 1_000)
                    directory.vms().getOrNull().orEmpty().map { it.id } shouldBe (0..7).map { "worker-000$it" }
                }
            }
            it("return an object as it was stored, and null for a missing one") {
                val objects = HttpObjectStore(client)
                objects.put("result/1/a b", byteArrayOf(0, -1, 13)) shouldBe Unit.right()
                objects.get("result/1/a b").getOrNull()?.toList() shouldBe listOf<Byte>(0, -1, 13)
                objects.get("result/2") shouldBe null.right()
                platform.stats().objects.writes shouldBe mapOf("result" to 1L)
            }
        }
    })
