/* Rows of the configuration in the table. One transaction writes the head row and every other row that a change affects. */
package dandelionpoint.coordination.configuration

import dandelionpoint.protocol.store.Check
import dandelionpoint.protocol.store.Put
import dandelionpoint.protocol.store.Row
import dandelionpoint.protocol.store.Transaction
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The row `config/head`. [author] made the last change; a concurrent change that is refused reports this name. */
@Serializable
internal data class ConfigurationHead(val version: Long, val activePreset: String, val changeId: String, val author: String)

/** The head and the version of its row. The transaction of the next change is conditional on that version. */
internal data class HeadRow(val head: ConfigurationHead, val rowVersion: Long)

/** Keys, contents and transactions of the configuration rows. */
internal object ConfigurationRows {
    const val HEAD = "config/head"
    const val SNAPSHOT = "config/snapshot"
    const val CHANGE_PREFIX = "config/change/"
    private const val VERSION_DIGITS = 16

    /**
     * Ignores unknown members, so that VMs of an older release read the rows of a newer one, and writes defaults, so that VMs of
     * two releases with different defaults agree on the content of a version.
     */
    val json =
        Json {
            ignoreUnknownKeys = true
            encodeDefaults = true
        }

    /** Key of the change that made [version], zero-padded so that keys sort by version. */
    fun changeKey(version: Long): String = CHANGE_PREFIX + version.toString().padStart(VERSION_DIGITS, '0')

    fun head(row: Row): HeadRow = HeadRow(json.decodeFromString(row.value), row.version)

    fun change(row: Row): ChangeRecord = json.decodeFromString(row.value)

    fun snapshot(row: Row): Configuration = json.decodeFromString(row.value)

    /** Creates version 1, on condition that there is no head row, so that only one of several VMs succeeds. */
    fun create(first: Configuration, writeId: String, author: String): Transaction = Transaction(
        writeId = writeId,
        checks = listOf(Check(HEAD, version = 0)),
        puts =
        listOf(head(first, writeId, author), snapshot(first)) +
            first.presets.values.map { preset(it) } +
            first.teams.values.map { team(it) },
    )

    /** Writes version [next], which [record] made from the version in [head]. Deletes the change that is now too old for the history. */
    fun advance(head: HeadRow, next: Configuration, record: ChangeRecord, settings: ConfigurationSettings): Transaction = Transaction(
        writeId = record.changeId,
        checks = listOf(Check(HEAD, head.rowVersion)),
        puts =
        listOfNotNull(
            head(next, record.changeId, record.author),
            Put(changeKey(record.version), json.encodeToString(record)),
            changedRow(record.change),
            snapshot(next).takeIf { next.version % settings.snapshotEvery == 0L },
        ),
        deletes = listOf(record.version - settings.historyRows).filter { it > 1 }.map { changeKey(it) },
    )
}

private fun changedRow(change: ConfigurationChange): Put? = when (change) {
    is ConfigurationChange.PutPreset -> preset(change.preset)
    is ConfigurationChange.PutTeam -> team(change.team)
    is ConfigurationChange.ActivatePreset -> null
}

private fun head(configuration: Configuration, changeId: String, author: String): Put {
    val head = ConfigurationHead(configuration.version, configuration.activePreset, changeId, author)
    return Put(ConfigurationRows.HEAD, ConfigurationRows.json.encodeToString(head))
}

private fun snapshot(configuration: Configuration) = Put(ConfigurationRows.SNAPSHOT, ConfigurationRows.json.encodeToString(configuration))

private fun preset(preset: Preset) = Put("preset/${preset.name}", ConfigurationRows.json.encodeToString(preset))

private fun team(team: TeamQuota) = Put("team/${team.name}", ConfigurationRows.json.encodeToString(team))
