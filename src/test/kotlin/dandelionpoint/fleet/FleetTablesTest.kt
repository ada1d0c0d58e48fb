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

/** Configurations are their version in digits. */
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

/** A VM's tables over a store in memory. */
private class TrialTables : AutoCloseable {
    val store = MemoryRows()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val ports = FleetPorts(store, SharedTables("workers", OPERATOR, KEY), NumberDocuments, MemoryWorkers(), canConnect = { true })
    val tables = FleetTables(ports, NoEvents, Clock.System, FleetRules())

    fun operatorWrites(document: String) = store.put(OPERATOR, KEY, document.encodeToByteArray())

    fun peerOffers(document: String) = tables.offerConfiguration(document.encodeToByteArray(), source = "peer")

    fun follow() = tables.start(scope, VmIdentity("vm-1", "incarnation-1", "north", "akl-a", "127.0.0.1", 1))

    suspend fun awaitVersion(version: Long) = eventually(2.seconds) { tables.configurationVersion shouldBe version }

    override fun close() = scope.cancel()
}

internal class FleetTablesTest :
    DescribeSpec({
        describe("the configuration in force") {
            it("follows the operator's writes within two seconds, also after the store has dropped its history") {
                TrialTables().use { trial ->
                    trial.operatorWrites("1")
                    trial.follow()
                    trial.awaitVersion(1)
                    trial.operatorWrites("2")
                    trial.awaitVersion(2)
                    trial.store.forgetHistory()
                    trial.operatorWrites("3")
                    trial.awaitVersion(3)
                }
            }

            it("never goes back, whatever a peer or a stale read shows") {
                TrialTables().use { trial ->
                    trial.operatorWrites("7")
                    trial.follow()
                    trial.awaitVersion(7)
                    trial.peerOffers("6")
                    trial.operatorWrites("5")
                    continually(300.milliseconds) { trial.tables.configurationVersion shouldBe 7 }
                }
            }

            it("comes from a peer while the store does not answer") {
                TrialTables().use { trial ->
                    trial.store.isDown = true
                    trial.follow()
                    trial.peerOffers("4")
                    trial.tables.configurationVersion shouldBe 4
                }
            }

            it("stays when a document cannot be read") {
                TrialTables().use { trial ->
                    listOf("3", "not a configuration", "").forEach { trial.peerOffers(it) }
                    trial.tables.configurationVersion shouldBe 3
                }
            }
        }
    })
