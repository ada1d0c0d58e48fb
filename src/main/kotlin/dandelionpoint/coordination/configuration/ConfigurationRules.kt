/* Rules without I/O: which changes are accepted, and how accepted changes are applied in order. */
package dandelionpoint.coordination.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dandelionpoint.protocol.ResultCode

/** Returns the next version with [change] applied, or the reason for which it is refused. */
internal fun Configuration.accept(change: ConfigurationChange): Either<ChangeRefusal, Configuration> {
    val refusal =
        when (change) {
            is ConfigurationChange.PutPreset -> presetRefusal(change.preset)
            is ConfigurationChange.PutTeam -> teamRefusal(change.team)
            is ConfigurationChange.ActivatePreset -> activationRefusal(change.name)
        }
    return refusal?.left() ?: next(change).right()
}

private fun Configuration.presetRefusal(preset: Preset): ChangeRefusal? {
    val isFull = preset.name !in presets && presets.size >= ConfigurationLimits.PRESETS
    val faults = preset.faults() + listOfNotNull("there are already ${ConfigurationLimits.PRESETS} presets".takeIf { isFull })
    return faults.takeIf { it.isNotEmpty() }?.let { ChangeRefusal(ResultCode.BAD_PRESET, it.joinToString("; ")) }
}

private fun Configuration.teamRefusal(team: TeamQuota): ChangeRefusal? {
    val isFull = team.name !in teams && teams.size >= ConfigurationLimits.TEAMS
    val faults = team.faults() + listOfNotNull("there are already ${ConfigurationLimits.TEAMS} teams".takeIf { isFull })
    return faults.takeIf { it.isNotEmpty() }?.let { ChangeRefusal(ResultCode.BAD_BODY, it.joinToString("; ")) }
}

private fun Configuration.activationRefusal(name: String): ChangeRefusal? =
    ChangeRefusal(ResultCode.UNKNOWN_PRESET, "There is no preset '$name'; there are ${presets.keys.sorted().joinToString()}.")
        .takeIf { name !in presets }

/** The next version, with [change] applied. The change must have been accepted on this version. */
private fun Configuration.next(change: ConfigurationChange): Configuration = when (change) {
    is ConfigurationChange.PutPreset -> copy(version = version + 1, presets = presets + (change.preset.name to change.preset))
    is ConfigurationChange.ActivatePreset -> copy(version = version + 1, activePreset = change.name)
    is ConfigurationChange.PutTeam -> copy(version = version + 1, teams = teams + (change.team.name to change.team))
}

/** A configuration in memory with the most recent changes that led to it, newest last, for peers that lack only a few of them. */
internal data class HeldConfiguration(val configuration: Configuration, val recent: List<ChangeRecord> = emptyList()) {
    val version: Long get() = configuration.version

    /** Applies the records that follow this version without a gap. Records of this or an earlier version are ignored. */
    fun applyChanges(records: List<ChangeRecord>): HeldConfiguration =
        records.sortedBy { it.version }.fold(this) { held, record -> held.applyChange(record) }

    private fun applyChange(record: ChangeRecord): HeldConfiguration {
        if (record.version != version + 1) return this
        return HeldConfiguration(configuration.next(record.change), (recent + record).takeLast(RECENT_CHANGES))
    }

    /** The changes after [afterVersion], or null if some of them are no longer in memory. */
    fun changesAfter(afterVersion: Long): List<ChangeRecord>? {
        val missing = recent.filter { it.version > afterVersion }
        return missing.takeIf { it.size.toLong() == version - afterVersion }
    }

    companion object {
        /** Number of changes kept for peers. A burst of 10 changes/s replaces them all in 6 s, three times the interval between reads. */
        const val RECENT_CHANGES = 64
    }
}

/** Returns the one of two configurations with the higher version; a VM never goes back to a lower one. */
internal fun HeldConfiguration?.orNewer(other: HeldConfiguration): HeldConfiguration =
    if (this == null || other.version > version) other else this
