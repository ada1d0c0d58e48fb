package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.FleetConfiguration
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.peer.VmIdentity
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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val OPERATOR = "operator"
private const val KEY = "configuration"

/** Reads documents that consist of the configuration's version in digits. */
private object NumberDocuments : DocumentReader {
    override fun worker(id: String, bytes: ByteArray): WorkerEntry? = null

    override fun configuration(bytes: ByteArray): FleetConfiguration? =
        bytes.decodeToString().toLongOrNull()?.let { FleetConfiguration(it, emptyList()) }
}

private object NoEvents : TableEvents {
    override fun configured() = Unit

    override fun workersChanged() = Unit

    override fun vmFound(address: PeerAddress) = Unit
}

/** A VM's tables on an in-memory store. */
private class TablesFixture : AutoCloseable {
    val store = MemoryRows()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val ports = FleetPorts(store, SharedTables("workers", OPERATOR, KEY), NumberDocuments, MemoryWorkers(), canConnect = { true })
    val tables = FleetTables(ports, NoEvents, Clock.System, FleetRules())

    fun operatorWrites(document: String) = store.put(OPERATOR, KEY, document.encodeToByteArray())

    fun peerOffers(document: String) = tables.applyConfiguration(document.encodeToByteArray(), source = "peer")

    fun follow() = tables.start(scope, VmIdentity("vm-1", "incarnation-1", "north", "akl-a", "127.0.0.1", 1))

    suspend fun awaitVersion(version: Long) = eventually(2.seconds) { tables.configurationVersion shouldBe version }

    override fun close() = scope.cancel()
}

/**
 * Guards against a VM that serves with an outdated configuration: because it misses a write after the store has dropped its change history,
 * because a delayed read or a peer brings an older version back, or because an unreadable document replaces the one in force.
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
    })
