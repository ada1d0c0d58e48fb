package dandelionpoint.coordination.configuration

import kotlinx.serialization.Serializable

/** Limits on names and sizes, which keep a snapshot of the configuration in one row and one peer frame. */
internal object ConfigurationLimits {
    const val NAME_RULE = "1 to 64 lower-case letters, digits, dots, hyphens or underscores, beginning with a letter or digit"
    const val PRESETS = 200
    const val TEAMS = 1_000
    val WEIGHTS = 0..1_000_000
    private val NAME = Regex("[a-z0-9][a-z0-9._-]{0,63}")

    fun isName(text: String): Boolean = NAME.matches(text)
}

/** Quota of a team: its share of the slots is its [weight] divided by the sum of all weights. With weight 0 it may not run anything. */
@Serializable
internal data class TeamQuota(val name: String, val weight: Int) {
    /** Describes each value that is out of its range. */
    fun faults(): List<String> = listOfNotNull(
        "name: '$name' is not ${ConfigurationLimits.NAME_RULE}".takeUnless { ConfigurationLimits.isName(name) },
        "weight: $weight is not from ${ConfigurationLimits.WEIGHTS.first} to ${ConfigurationLimits.WEIGHTS.last}"
            .takeUnless { weight in ConfigurationLimits.WEIGHTS },
    )
}

/** The whole configuration at one [version]. [activePreset] is always a key of [presets]. */
@Serializable
internal data class Configuration(
    val version: Long,
    val activePreset: String,
    val presets: Map<String, Preset>,
    val teams: Map<String, TeamQuota>,
) {
    init {
        require(activePreset in presets) { "the active preset '$activePreset' is not among the presets" }
    }

    /** The preset in force. */
    val active: Preset get() = presets.getValue(activePreset)

    companion object {
        const val ORDINARY = "ordinary"

        /** Version 1, which the first VM of a new cluster writes to the table. */
        fun first(): Configuration {
            val presets = listOf(Preset(ORDINARY), Preset("peak", admissionSafety = 1.2), Preset("maintenance", acceptNewJobs = false))
            return Configuration(
                version = 1,
                activePreset = ORDINARY,
                presets = presets.associateBy { it.name },
                teams = mapOf("default" to TeamQuota("default", weight = 1)),
            )
        }
    }
}
