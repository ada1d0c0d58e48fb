/* Response bodies of the administration routes. */
package dandelionpoint.transport.http

import dandelionpoint.coordination.configuration.ChangePropagation
import dandelionpoint.coordination.configuration.ChangeRecord
import dandelionpoint.coordination.configuration.Preset
import dandelionpoint.coordination.configuration.TeamQuota
import dandelionpoint.coordination.configuration.VmConfigurationVersion
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Writes fields that have their default value, and leaves out null fields. */
internal val adminJson =
    Json {
        encodeDefaults = true
        explicitNulls = false
    }

/** A VM, the configuration [version] that it last reported, and the age of that report in ms. */
@Serializable
internal data class VmView(val name: String, val region: String, val dataCentre: String, val version: Long, val lastContactMs: Long)

/** The configuration of this VM. [confirmedAgeMs] is the time since this VM was last known to have the newest version; absent if never. */
@Serializable
internal data class ConfigView(
    val version: Long,
    val activePreset: String,
    val confirmedAgeMs: Long?,
    val inForce: List<VmView>,
    val unconfirmed: List<VmView>,
)

@Serializable
internal data class PresetView(val version: Long, val isActive: Boolean, val preset: Preset)

@Serializable
internal data class PresetListView(val version: Long, val activePreset: String, val presets: List<Preset>)

@Serializable
internal data class TeamView(val version: Long, val team: TeamQuota)

@Serializable
internal data class TeamListView(val version: Long, val teams: List<TeamQuota>)

/** An accepted change: the [version] that it created, the VMs where it is [inForce], and those that have not confirmed it. */
@Serializable
internal data class ChangeView(val version: Long, val activePreset: String, val inForce: List<VmView>, val unconfirmed: List<VmView>)

@Serializable
internal data class HistoryView(val changes: List<ChangeRecord>)

internal fun VmConfigurationVersion.toView() = VmView(vm.name, vm.region, vm.dataCentre, version, lastContactMs)

internal fun ChangePropagation.inForceViews() = inForce.map { it.toView() }

internal fun ChangePropagation.unconfirmedViews() = unconfirmed.map { it.toView() }
