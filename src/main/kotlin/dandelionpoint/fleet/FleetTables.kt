/*
 * Follows the tables of the shared store that an entry VM needs: the operator's configuration and evacuations, the workers, and the other
 * entry VMs.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.FleetRules
import dandelionpoint.coordination.fleet.WorkerList
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.fleet.FleetConfiguration
import dandelionpoint.protocol.fleet.SharedRow
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.EvacuatedDataCentres
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.transport.peer.PeerAddress
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json

private val log = KotlinLogging.logger {}

/** Receives changes in the tables. */
internal interface TableEvents {
    /** A configuration with a higher version is in force. */
    fun configured()

    /** The list of workers, or which of them may be used, may have changed. */
    fun workersChanged()

    /** Other data centres are evacuated than before, or it is known for the first time which ones are. */
    fun evacuationChanged()

    /** Another entry VM has its peer port at [address]. */
    fun vmFound(address: PeerAddress)
}

/** The contents of the tables as this VM last read them. */
internal class FleetTables(private val ports: FleetPorts, private val events: TableEvents, private val clock: Clock, rules: FleetRules) {
    private val workerList = WorkerList(rules)
    private val evacuation = EvacuationTable(ports.tables.evacuationKeyPrefix) { workerList.current(clock.millis()) }

    /** The configuration in force; null before the first one was read. */
    @Volatile
    var configuration: FleetConfiguration? = null
        private set

    /** The document that was decoded last. */
    @Volatile
    private var lastDocument: ByteArray? = null

    val configurationVersion: Long get() = configuration?.version ?: -1

    /** Workers that may be used now. Those of evacuated data centres are draining. */
    fun workers(): List<WorkerEntry> = evacuation.withDraining(workerList.current(clock.millis()))

    /** What the heartbeats have to say of evacuations, null while none has been known. */
    fun evacuated(): EvacuatedDataCentres? = evacuation.announced()

    /** The peer [from], which has read the operator's table or heard of its contents, knows of the evacuations [peers]. */
    fun onPeerEvacuations(peers: EvacuatedDataCentres?, from: VmIdentity) {
        if (evacuation.onPeer(peers, from.name)) events.evacuationChanged()
    }

    /** Starts to follow the tables, and writes the row of [self], repeating the write until it succeeds. */
    fun start(scope: CoroutineScope, self: VmIdentity) {
        val watches = listOf(
            StoreWatch(ports.store, ports.tables.operator, OperatorListener(), WATCH_MS),
            StoreWatch(ports.store, ports.tables.workers, WorkerListener(), waitMs = 0, pauseMs = WATCH_MS),
            StoreWatch(ports.store, VMS, VmListener(), waitMs = VM_WATCH_MS),
        )
        watches.forEach { scope.launch { it.follow() } }
        scope.launch {
            val row = Json.encodeToString(VmIdentity.serializer(), self).encodeToByteArray()
            while (isActive && ports.store.write(VMS, self.name, row, expected = null).isLeft()) delay(ANNOUNCE_RETRY_MS)
        }
    }

    /**
     * Puts the configuration in [document], received from [source], in force unless its version is not higher than the current one's. A
     * document that was read before, as after the store has dropped its history, is not decoded again.
     */
    fun applyConfiguration(document: ByteArray, source: String) {
        if (document.contentEquals(lastDocument)) return
        val read = runCatching { ports.documents.configuration(document) }.getOrNull()
        if (read == null) {
            log.warn { "event=configuration_unreadable source=$source" }
        } else {
            lastDocument = document
            apply(read, source)
        }
    }

    @Synchronized
    private fun apply(read: FleetConfiguration, source: String) {
        if (read.version <= configurationVersion) return
        configuration = read
        log.info { "event=configuration version=${read.version} routes=${read.routes.size} source=$source" }
        events.configured()
    }

    private inner class OperatorListener : TableListener {
        override fun replaced(rows: List<SharedRow>, version: Long) {
            if (evacuation.onTableRead(rows, version)) events.evacuationChanged()
            applyConfigurationIn(rows)
        }

        override fun changed(rows: List<SharedRow>) {
            if (evacuation.onRowsChanged(rows)) events.evacuationChanged()
            applyConfigurationIn(rows)
        }

        private fun applyConfigurationIn(rows: List<SharedRow>) {
            rows.lastOrNull { it.key == ports.tables.configurationKey }?.value?.let { applyConfiguration(it, source = "store") }
        }
    }

    private inner class WorkerListener : TableListener {
        /** Ids of the rows that name no worker to use, so that each is logged once. */
        private val ignored = mutableSetOf<String>()

        /** Documents of the workers in use, by the rows' keys. Most changes of a row are heartbeats, which need not be decoded. */
        private val documents = HashMap<String, ByteArray>()

        override fun onStoreAnswer() {
            workerList.onStoreAnswer(clock.millis())
            events.workersChanged()
        }

        override fun replaced(rows: List<SharedRow>, version: Long) {
            documents.clear()
            workerList.replaceAll(rows.mapNotNull { read(it) }, clock.millis())
        }

        override fun changed(rows: List<SharedRow>) = rows.filterNot { isHeartbeat(it) }.forEach { row ->
            val entry = read(row)
            if (entry != null) workerList.put(entry) else workerList.onRemoved(row.key, clock.millis())
        }

        private fun isHeartbeat(row: SharedRow): Boolean {
            val known = documents[row.key] ?: return false
            return row.value?.let { ports.documents.isSameWorker(known, it) } ?: false
        }

        /** The worker in [row]; null if the row was deleted or names no worker to use. */
        private fun read(row: SharedRow): WorkerEntry? {
            val decoded = runCatching { row.value?.let { ports.documents.worker(row.key, it) } }
            val entry = decoded.getOrNull()
            if (entry != null && row.value != null) documents[row.key] = row.value else documents -= row.key
            if (entry != null || row.value == null) ignored -= row.key else logIgnored(row, decoded.exceptionOrNull())
            return entry
        }

        private fun logIgnored(row: SharedRow, failure: Throwable?) {
            if (ignored.size >= MAX_LOGGED_ROWS || !ignored.add(row.key)) return
            val reason = failure?.toString() ?: "incomplete, out of range or in an unknown state"
            log.warn { "event=worker_row_ignored worker=\"${row.key}\" bytes=${row.value?.size} reason=\"$reason\"" }
        }
    }

    private inner class VmListener : TableListener {
        override fun replaced(rows: List<SharedRow>, version: Long) = changed(rows)

        override fun changed(rows: List<SharedRow>) = rows.forEach { row ->
            row.value?.let { decode(row.key, it) }?.let { events.vmFound(PeerAddress(it.host, it.port)) }
        }

        private fun decode(name: String, bytes: ByteArray): VmIdentity? =
            runCatching { Json.decodeFromString(VmIdentity.serializer(), bytes.decodeToString()) }
                .onFailure { log.warn { "event=vm_row_unreadable vm=$name reason=\"${it.message}\"" } }
                .getOrNull()
    }

    private companion object {
        /** Table with a row for each entry VM. */
        const val VMS = "vms"

        /** Longest wait of a call for configuration changes, and the pause between two reads of the workers' changes, in ms. */
        const val WATCH_MS = 1_000L

        /** Longest wait of a call for changes of the entry VMs' table, in ms. */
        const val VM_WATCH_MS = 10_000L
        const val ANNOUNCE_RETRY_MS = 500L

        /** Number of rows without a usable worker that are logged. */
        const val MAX_LOGGED_ROWS = 1_000
    }
}
