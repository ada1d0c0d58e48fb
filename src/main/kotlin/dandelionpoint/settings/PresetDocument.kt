package dandelionpoint.settings

import dandelionpoint.coordination.configuration.Preset
import dandelionpoint.coordination.configuration.TeamQuota

/** Presets and team quotas in a file. [activePreset] is a key of [presets], or null to keep the preset that is in force. */
internal data class PresetDocument(val activePreset: String?, val presets: Map<String, Preset>, val teams: Map<String, TeamQuota>)
