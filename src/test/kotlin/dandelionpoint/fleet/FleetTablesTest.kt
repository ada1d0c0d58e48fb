package dandelionpoint.fleet

import arrow.core.Either
import arrow.core.left
import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.platform.VALID_WORKER
import dandelionpoint.platform.decodeConfiguration
import dandelionpoint.platform.decodeWorker
import dandelionpoint.platform.nestedArrays
import dandelionpoint.platform.nestedObjects
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.FleetConfiguration
import dandelionpoint.protocol.fleet.RowChanges
import dandelionpoint.protocol.fleet.RowsRead
import dandelionpoint.protocol.fleet.SharedRows
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.peer.EvacuatedDataCentres
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.standin.fleet.MemoryRows
import dandelionpoint.standin.fleet.MemoryWorkers
import dandelionpoint.transport.peer.PeerAddress
import io.kotest.assertions.nondeterministic.continually
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val WORKERS = "workers"
private const val OPERATOR = "operator"
private const val KEY = "configuration"
private const val EVACUATION_PREFIX = "evacuation/"

private val PEER = VmIdentity("vm-2", "incarnation-2", "north", "akl-a", "127.0.0.1", 2)

/** Reads documents that consist of the configuration's version in digits. */
private object NumberDocuments : DocumentReader {
    override fun worker(id: String, bytes: ByteArray): WorkerEntry? = null

    override fun configuration(bytes: ByteArray): FleetConfiguration? =
        bytes.decodeToString().toLongOrNull()?.let { FleetConfiguration(it, emptyList()) }
}

/** Reads the same documents and counts how often. */
private class CountingDocuments : DocumentReader by NumberDocuments {
    val configurations = AtomicInteger()

    override fun configuration(bytes: ByteArray): FleetConfiguration? {
        configurations.incrementAndGet()
        return NumberDocuments.configuration(bytes)
    }
}

/** Reads the platform's documents; fails for the worker [FAILING]. */
private object PlatformDocuments : DocumentReader {
    const val FAILING = "failing"

    override fun worker(id: String, bytes: ByteArray): WorkerEntry? =
        if (id == FAILING) throw StackOverflowError("injected fault") else decodeWorker(id, bytes)

    override fun configuration(bytes: ByteArray): FleetConfiguration? = decodeConfiguration(bytes)
}

private class Events(private val onWorkersChanged: () -> Unit = {}) : TableEvents {
    override fun configured() = Unit

    override fun workersChanged() = onWorkersChanged()

    override fun evacuationChanged() = Unit

    override fun vmFound(address: PeerAddress) = Unit
}

/** A VM's tables on an in-memory store, or on [rows] that wrap it. */
private class TablesFixture(
    documents: DocumentReader = NumberDocuments,
    events: TableEvents = Events(),
    rows: (MemoryRows) -> SharedRows = { it },
) : AutoCloseable {
    val store = MemoryRows()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val ports =
        FleetPorts(rows(store), SharedTables(WORKERS, OPERATOR, KEY, EVACUATION_PREFIX), documents, MemoryWorkers(), canConnect = { true })
    val tables = FleetTables(ports, events, Clock.System, FleetRules())

    fun workerWrites(id: String, document: String = VALID_WORKER) = store.put(WORKERS, id, document.encodeToByteArray())

    suspend fun awaitWorkers(vararg ids: String) = eventually(5.seconds) { tables.workers().map { it.id }.toSet() shouldBe ids.toSet() }

    suspend fun awaitDraining(vararg ids: String) =
        eventually(5.seconds) { tables.workers().filter { it.isDraining }.map { it.id }.toSet() shouldBe ids.toSet() }

    fun evacuate(dataCentre: String, value: ByteArray = "{}".encodeToByteArray()) =
        store.put(OPERATOR, EVACUATION_PREFIX + dataCentre, value)

    fun endEvacuation(dataCentre: String) = store.delete(OPERATOR, EVACUATION_PREFIX + dataCentre)

    fun peerKnows(version: Long, vararg dataCentres: String) =
        tables.onPeerEvacuations(EvacuatedDataCentres(version, dataCentres.toSet()), from = PEER)

    fun operatorWrites(document: String) = store.put(OPERATOR, KEY, document.encodeToByteArray())

    fun peerOffers(document: String) = tables.applyConfiguration(document.encodeToByteArray(), source = "peer")

    fun follow() = tables.start(scope, VmIdentity("vm-1", "incarnation-1", "north", "akl-a", "127.0.0.1", 1))

    suspend fun awaitVersion(version: Long) = eventually(2.seconds) { tables.configurationVersion shouldBe version }

    override fun close() = scope.cancel()
}

/**
 * Guards against a VM that serves with an outdated configuration: because it misses a write after the store has dropped its change history,
 * because a delayed read or a peer brings an older version back, or because an unreadable document replaces the one in force. Also guards
 * against a list of workers that is no longer followed because of one row.
 */
internal class FleetTablesTest :
    DescribeSpec({
        describe("the configuration in force") {
            it("follows the operator's writes within two seconds, also after the store has dropped its history") {
                TablesFixture().use { fixture ->
                    fixture.operatorWrites("1")
                    fixture.follow()
                    fixture.awaitVersion(1)
                    fixture.operatorWrites("2")
                    fixture.awaitVersion(2)
                    fixture.store.discardHistory()
                    fixture.operatorWrites("3")
                    fixture.awaitVersion(3)
                }
            }

            it("is never replaced by a lower version, neither from a peer nor from a stale read") {
                TablesFixture().use { fixture ->
                    fixture.operatorWrites("7")
                    fixture.follow()
                    fixture.awaitVersion(7)
                    fixture.peerOffers("6")
                    fixture.operatorWrites("5")
                    continually(300.milliseconds) { fixture.tables.configurationVersion shouldBe 7 }
                }
            }

            it("comes from a peer while the store does not answer") {
                TablesFixture().use { fixture ->
                    fixture.store.isDown = true
                    fixture.follow()
                    fixture.peerOffers("4")
                    fixture.tables.configurationVersion shouldBe 4
                }
            }

            it("stays in force when a new document cannot be read") {
                TablesFixture().use { fixture ->
                    listOf("3", "not a configuration", "").forEach { fixture.peerOffers(it) }
                    fixture.tables.configurationVersion shouldBe 3
                }
            }
        }

        // Each loss of the store's history, and each peer that answered, made a VM decode a configuration of 1,200 routes again.
        describe("a configuration that is read again") {
            it("is decoded once") {
                val documents = CountingDocuments()
                TablesFixture(documents).use { fixture ->
                    repeat(5) { fixture.peerOffers("3") }
                    fixture.tables.configurationVersion shouldBe 3
                    documents.configurations.get() shouldBe 1
                }
            }
        }

        describe("the evacuations") {
            it("make the workers of their data centre draining while their row exists, also if it reappears") {
                TablesFixture(PlatformDocuments).use { fixture ->
                    fixture.workerWrites("here")
                    fixture.workerWrites("there", VALID_WORKER.replace("akl-a", "ham-a"))
                    fixture.follow()
                    fixture.awaitWorkers("here", "there")
                    fixture.awaitDraining()
                    repeat(2) {
                        fixture.evacuate("ham-a")
                        fixture.awaitDraining("there")
                        fixture.endEvacuation("ham-a")
                        fixture.awaitDraining()
                    }
                }
            }

            it("end if a full read after the loss of the history does not show their row") {
                TablesFixture(PlatformDocuments).use { fixture ->
                    fixture.workerWrites("w")
                    fixture.evacuate("akl-a")
                    fixture.follow()
                    fixture.awaitWorkers("w")
                    fixture.awaitDraining("w")
                    fixture.store.isDown = true
                    fixture.store.discardHistory()
                    fixture.endEvacuation("akl-a")
                    fixture.store.isDown = false
                    fixture.awaitDraining()
                }
            }

            it("stay in force while the store is away, unless a peer knows a later state") {
                TablesFixture(PlatformDocuments).use { fixture ->
                    fixture.workerWrites("w")
                    fixture.evacuate("akl-a")
                    fixture.follow()
                    fixture.awaitWorkers("w")
                    fixture.awaitDraining("w")
                    fixture.store.isDown = true
                    fixture.peerKnows(1)
                    continually(300.milliseconds) { fixture.tables.workers().single().isDraining shouldBe true }
                    fixture.peerKnows(100)
                    fixture.awaitDraining()
                    fixture.peerKnows(101, "akl-a")
                    fixture.awaitDraining("w")
                }
            }

            // Guards against one row that ends the coroutine which follows the configuration.
            it("are followed, like the configuration, beside rows that name no or an unknown data centre or have an odd value") {
                TablesFixture(PlatformDocuments).use { fixture ->
                    fixture.workerWrites("w")
                    listOf("", " ", "\u0000", "x".repeat(10_000), "unknown", "akl-a/", "AKL-A").forEach { fixture.evacuate(it) }
                    fixture.follow()
                    fixture.awaitWorkers("w")
                    fixture.awaitDraining()
                    listOf(byteArrayOf(), byteArrayOf(-1, -2), nestedArrays(30_000).encodeToByteArray()).forEach { value ->
                        fixture.evacuate("akl-a", value)
                        fixture.awaitDraining("w")
                        fixture.endEvacuation("akl-a")
                        fixture.awaitDraining()
                    }
                }
            }

            it("are read, or heard of from a peer, before any worker is used") {
                TablesFixture(PlatformDocuments, rows = { WithoutOperatorTable(it) }).use { fixture ->
                    fixture.workerWrites("w")
                    fixture.follow()
                    fixture.awaitWorkers("w")
                    fixture.awaitDraining("w")
                    fixture.tables.onPeerEvacuations(peers = null, from = PEER)
                    fixture.awaitDraining()
                }
            }
        }

        describe("the list of workers") {
            // Guards against one entry that ends the coroutine which follows the list, so that it no longer changes.
            ODD_ENTRIES.forEach { (kind, document) ->
                it("is followed, and the other workers are used, when one entry is $kind") {
                    TablesFixture(PlatformDocuments).use { fixture ->
                        fixture.workerWrites("i-1")
                        fixture.workerWrites("odd", document)
                        fixture.follow()
                        fixture.awaitWorkers("i-1")
                        fixture.workerWrites("odd", document)
                        fixture.workerWrites("i-2")
                        fixture.awaitWorkers("i-1", "i-2")
                        fixture.store.discardHistory()
                        fixture.workerWrites("i-3")
                        fixture.awaitWorkers("i-1", "i-2", "i-3")
                    }
                }
            }

            // Guards against a worker that is missed because its row is taken for one that was decoded before.
            it("shows a worker again whose row was removed and written anew with the same content") {
                TablesFixture(PlatformDocuments).use { fixture ->
                    fixture.workerWrites("w")
                    fixture.workerWrites("v")
                    fixture.follow()
                    fixture.awaitWorkers("v", "w")
                    fixture.store.write(WORKERS, "w", value = null, expected = null)
                    fixture.awaitWorkers("v")
                    fixture.workerWrites("w")
                    fixture.awaitWorkers("v", "w")
                }
            }

            // Guards against an error of the decoder that ends the coroutine, whatever its cause.
            it("is followed when an entry cannot be decoded because of an error") {
                TablesFixture(PlatformDocuments).use { fixture ->
                    fixture.workerWrites(PlatformDocuments.FAILING)
                    fixture.workerWrites("i-1")
                    fixture.follow()
                    fixture.awaitWorkers("i-1")
                    fixture.workerWrites(PlatformDocuments.FAILING)
                    fixture.workerWrites("i-2")
                    fixture.awaitWorkers("i-1", "i-2")
                }
            }

            it("is followed when applying a change to the VM has failed") {
                TablesFixture(PlatformDocuments, Events { error("injected fault") }).use { fixture ->
                    fixture.workerWrites("i-1")
                    fixture.follow()
                    fixture.awaitWorkers("i-1")
                    fixture.workerWrites("i-2")
                    fixture.awaitWorkers("i-1", "i-2")
                }
            }

            it("is followed when a call to the store has failed with an exception") {
                TablesFixture(PlatformDocuments, rows = { FailingRows(it) }).use { fixture ->
                    fixture.workerWrites("i-1")
                    fixture.follow()
                    fixture.awaitWorkers("i-1")
                    fixture.workerWrites("i-2")
                    fixture.awaitWorkers("i-1", "i-2")
                }
            }
        }
    })

/** Entries that another writer may leave. */
private val ODD_ENTRIES = mapOf(
    "nested deeply in arrays" to VALID_WORKER.replace("\"1.2\"", nestedArrays(30_000)),
    "nested deeply in objects and arrays" to VALID_WORKER.replace("\"1.2\"", nestedObjects(20_000)),
    "a number too large" to VALID_WORKER.replace("\"cpu\":16000", "\"cpu\":1e400"),
    "at a port out of range" to VALID_WORKER.replace(":8080", ":65536"),
    "at a host with a space" to VALID_WORKER.replace("10.0.0.9", "10.0.0.9 x"),
    "empty" to "",
)

/** Does not answer calls for the operator's table. */
private class WithoutOperatorTable(private val rows: SharedRows) : SharedRows by rows {
    override suspend fun read(table: String, from: String, to: String): Either<StoreError, RowsRead> =
        if (table == OPERATOR) StoreError.NotApplied("injected fault").left() else rows.read(table, from, to)
}

/** Fails every second call with an exception. */
private class FailingRows(private val rows: SharedRows) : SharedRows by rows {
    private val calls = AtomicInteger()

    private fun failSometimes() = check(calls.incrementAndGet() % 2 == 0) { "injected fault" }

    override suspend fun read(table: String, from: String, to: String): Either<StoreError, RowsRead> {
        failSometimes()
        return rows.read(table, from, to)
    }

    override suspend fun changes(table: String, version: Long, waitMs: Long): Either<StoreError, RowChanges> {
        failSometimes()
        return rows.changes(table, version, waitMs)
    }
}
