/* Schema of presets and team quotas, in files and in the bodies of administration calls. */
package dandelionpoint.settings

import dandelionpoint.coordination.configuration.ConfigurationLimits
import dandelionpoint.coordination.configuration.Preset
import dandelionpoint.coordination.configuration.PresetRanges
import dandelionpoint.coordination.configuration.TeamQuota

internal fun Fields.presetDocument(): PresetDocument {
    val document =
        PresetDocument(
            activePreset = optionalText("activePreset", ConfigurationLimits.NAME_RULE) { ConfigurationLimits.isName(it) },
            presets = map("presets") { name, fields -> fields.preset(name) },
            teams = map("teams") { name, fields -> fields.teamQuota(name) },
        )
    checkNames("presets", document.presets.keys, ConfigurationLimits.PRESETS)
    checkNames("teams", document.teams.keys, ConfigurationLimits.TEAMS)
    if (document.activePreset != null && document.activePreset !in document.presets) {
        fault("activePreset", "'${document.activePreset}' is not in presets", "one of ${document.presets.keys.joinToString()}")
    }
    return document
}

/** Reads the values of the preset [name]; absent values take their defaults. */
internal fun Fields.preset(name: String): Preset {
    val defaults = Preset(name)
    return Preset(
        name = name,
        admissionSafety = decimal("admissionSafety", PresetRanges.ADMISSION_SAFETY, "factor", defaults.admissionSafety),
        queueTasksPerTeam = integer("queueTasksPerTeam", PresetRanges.QUEUE_TASKS, "tasks", defaults.queueTasksPerTeam),
        retryBudget = decimal("retryBudget", PresetRanges.BUDGET, "share of requests", defaults.retryBudget),
        hedgeBudget = decimal("hedgeBudget", PresetRanges.BUDGET, "share of requests", defaults.hedgeBudget),
        ejectAfterFailures =
        integer("ejectAfterFailures", PresetRanges.EJECT_AFTER_FAILURES, "failures", defaults.ejectAfterFailures),
        ejectMs = integer("ejectMs", PresetRanges.EJECT_MS, "milliseconds", defaults.ejectMs),
        hopCostMs = integer("hopCostMs", PresetRanges.HOP_COST_MS, "milliseconds", defaults.hopCostMs),
        slotIdleReturnMs = integer("slotIdleReturnMs", PresetRanges.SLOT_IDLE_RETURN_MS, "milliseconds", defaults.slotIdleReturnMs),
        acceptNewJobs = flag("acceptNewJobs", defaults.acceptNewJobs),
    )
}

/** Reads the quota of the team [name]. */
internal fun Fields.teamQuota(name: String): TeamQuota =
    TeamQuota(name, weight = integer("weight", ConfigurationLimits.WEIGHTS, "shares (0 = may not run)"))

private fun Fields.checkNames(key: String, names: Set<String>, maximum: Int) {
    names.filterNot { ConfigurationLimits.isName(it) }.forEach {
        fault("$key.$it", "the name is not valid", ConfigurationLimits.NAME_RULE)
    }
    if (names.size > maximum) fault(key, "${names.size} entries", "at most $maximum entries")
}
