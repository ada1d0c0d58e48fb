/*
 * The configuration of this VM: kept in memory, changed through the table, and updated from the table and from peers.
 * A version is replaced only by a higher one, whatever the order in which answers arrive.
 */
package dandelionpoint.coordination.configuration

import arrow.core.Either
import arrow.core.raise.either
import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.SharedRandom
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.store.StoreError
import dandelionpoint.protocol.store.Table
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlin.random.Random

/** Configuration service of one entry VM. [pause] suspends for a number of ms. */
internal class ConfigurationService(
    table: Table,
    private val clock: Clock,
    private val settings: ConfigurationSettings,
    private val random: Random,
    private val pause: suspend (Long) -> Unit = { delay(it) },
) {
    private val store = ConfigurationStore(table, settings)
    private val peers = PeerVersions(settings, SharedRandom(random.nextLong()))
    private val held = ConfigurationHolder(clock)
    private val changer = ConfigurationChanger(store, settings, held, clock, SharedRandom(random.nextLong()), pause)

    /** The configuration in force on this VM; null while it has none, in the state `starting`. */
    fun current(): Configuration? = held.current()?.configuration

    /** Time in ms since this VM was last known to have the newest version; [Long.MAX_VALUE] if it never was. */
    fun confirmationAgeMs(): Long = held.confirmationAgeMs()

    /** The preset in force, or the defaults while there is no configuration. */
    fun activePreset(): Preset = current()?.active ?: Preset(Configuration.ORDINARY)

    /**
     * Makes [change] the next version. With [expectedVersion] it is refused unless that is the newest version; without,
     * it is applied to the newest version, whichever that is.
     */
    suspend fun change(change: ConfigurationChange, expectedVersion: Long?, author: String): Either<ChangeRefusal, Configuration> =
        changer.change(change, expectedVersion, author, refresh = { refresh() })

    /** The last [limit] changes, newest first, as the table has them. */
    suspend fun history(limit: Int): Either<StoreError, List<ChangeRecord>> = either {
        val wanted = limit.toLong().coerceIn(1, settings.historyRows)
        val version = refresh().bind()?.head?.version ?: 0
        val oldest = (version - wanted).coerceAtLeast(0)
        store.changesAfter(oldest, wanted.toInt()).bind().asReversed()
    }

    /** Records that [vm] reported [version] in a heartbeat. */
    fun onPeerVersion(vm: VmIdentity, version: Long) = peers.onHeartbeat(vm, version, clock.millis())

    /** Removes [vm], which has shut down as planned, from the VMs that are listed with their version. */
    fun removePeer(vm: VmIdentity) = peers.remove(vm)

    /**
     * The peer to send a `ConfigPull` to, or null if no pull is due: a peer with a newer version than this VM's, or any peer when the
     * version has not been confirmed for some seconds. A returned peer counts as pulled from, which limits the rate of pulls.
     */
    fun nextPullTarget(): VmIdentity? = peers.choosePullTarget(held.version, held.confirmationAgeMs(), clock.millis())

    /**
     * The changes after [afterVersion], or the whole configuration if not all of them are in memory, with the age of this VM's
     * confirmation; null while there is no configuration.
     */
    fun changesAfter(afterVersion: Long = 0): PeerMessage.ConfigChanges? {
        val now = held.current() ?: return null
        val changes = if (afterVersion >= now.version) emptyList() else now.changesAfter(afterVersion)
        val full = now.configuration.takeIf { changes == null }
        val document = PeerDocument(held.confirmationAgeMs().takeIf { it != Long.MAX_VALUE }, changes.orEmpty(), full)
        return PeerMessage.ConfigChanges(now.version, ConfigurationRows.json.encodeToString(document))
    }

    /** Applies the changes that a peer sent. A lower version changes nothing, and a document that is not valid is dropped. */
    fun apply(document: PeerMessage.ConfigChanges) {
        try {
            apply(ConfigurationRows.json.decodeFromString<PeerDocument>(document.document), document.version)
        } catch (failure: IllegalArgumentException) {
            log.warn { "a peer's configuration document of version ${document.version} is not valid: ${failure.message}" }
        }
    }

    private fun apply(content: PeerDocument, version: Long) {
        content.full?.let { held.install(HeldConfiguration(it)) }
        held.current()?.let { held.install(it.applyChanges(content.changes)) }
        // The peer knew its version to be the newest one at that time, so this VM, if it has at least that version, was up to date too.
        val age = content.confirmedAgeMs
        if (age != null && held.version >= version) held.confirm(clock.millis() - age.coerceAtLeast(0))
    }

    /** The VMs on which [version] or a later one is in force, by their heartbeats, and those that have not confirmed it. */
    fun propagation(version: Long): ChangePropagation {
        val propagation = peers.propagation(version, clock.millis())
        val own = VmConfigurationVersion(settings.vm, held.version, lastContactMs = 0)
        return if (own.version >=
            version
        ) {
            propagation.copy(inForce = listOf(own) + propagation.inForce)
        } else {
            propagation.copy(unconfirmed = listOf(own) + propagation.unconfirmed)
        }
    }

    /** Reads the head row periodically until cancelled and applies new changes. Logs the first of several failures, and the recovery. */
    suspend fun run() {
        var isFailing = false
        while (currentCoroutineContext().isActive) {
            val fault = readFault()
            if (fault != null && !isFailing) log.warn { "the configuration cannot be read from the table: $fault" }
            if (fault == null && isFailing) log.info { "the configuration can be read from the table again" }
            isFailing = fault != null
            pause(nextReadMs())
        }
    }

    private suspend fun readFault(): String? = try {
        refresh().leftOrNull()?.reason
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Exception) {
        failure.toString()
    }

    /** Calls [listener] with the present configuration, if any, and with each later one, in ascending order of versions. */
    fun onChange(listener: (Configuration) -> Unit) = held.onChange(listener)

    /** Time in ms to the next read of the head row, with jitter so that the reads of the VMs spread out. */
    internal fun nextReadMs(): Long {
        val spread = settings.readIntervalMs * settings.readJitter
        return (settings.readIntervalMs + spread * (2 * random.nextDouble() - 1)).toLong()
    }

    /** Reads the head row once and catches up with its version. Returns the head row, or null if there is none. */
    internal suspend fun refresh(mayCreate: Boolean = true): Either<StoreError, HeadRow?> = either {
        val requestedAtMs = clock.millis()
        val versionAtRequest = held.version
        val row = store.head().bind()
        when {
            row == null -> if (mayCreate) createFirst().bind() else null
            row.head.version < versionAtRequest -> row.also { logOlderTable(it.head.version, versionAtRequest) }
            else -> row.also { catchUp(it.head.version, requestedAtMs).bind() }
        }
    }

    private suspend fun catchUp(version: Long, requestedAtMs: Long): Either<StoreError, Unit> = either {
        if (version > held.version) store.catchUp(held.current(), version).bind()?.let { held.install(it) }
        if (held.version >= version) held.confirm(requestedAtMs)
    }

    private fun logOlderTable(version: Long, versionInForce: Long) =
        log.error { "the table has configuration version $version, below version $versionInForce in force; it is ignored" }

    /**
     * Creates version 1. If this VM or a peer already has a configuration, the table has lost its rows: then it creates none, since
     * that would revert the configuration to the defaults.
     */
    private suspend fun createFirst(): Either<StoreError, HeadRow?> {
        if (held.version > 0 || peers.highestVersion() > 0) {
            log.warn { "the table has no configuration although version ${maxOf(held.version, peers.highestVersion())} is in force" }
            return Either.Right(null)
        }
        val created = store.transact(ConfigurationRows.create(Configuration.first(), changer.newChangeId(), author = settings.vm.name))
        return if (created is Either.Left) created else refresh(mayCreate = false)
    }

    private companion object {
        val log = KotlinLogging.logger {}
    }
}

/**
 * Content of [PeerMessage.ConfigChanges]. [full] is the whole configuration, set if the sender no longer has all the [changes] that the
 * receiver lacks. [confirmedAgeMs] is the time since the sender's confirmation, null if it never had one.
 */
@Serializable
private data class PeerDocument(
    val confirmedAgeMs: Long? = null,
    val changes: List<ChangeRecord> = emptyList(),
    val full: Configuration? = null,
)
