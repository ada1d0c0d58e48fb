/* Converts the settings of a VM and the values of a preset to the settings types of `coordination`. */
package dandelionpoint.entry

import dandelionpoint.coordination.admission.QueueSettings
import dandelionpoint.coordination.configuration.Preset
import dandelionpoint.coordination.ownership.StartMode
import dandelionpoint.coordination.placement.PlacementLimits
import dandelionpoint.coordination.placement.PlacementPolicy
import dandelionpoint.coordination.placement.PlacementSettings
import dandelionpoint.settings.OwnershipMode
import dandelionpoint.settings.OwnershipSettings
import dandelionpoint.state.worker.EjectionLimits
import dandelionpoint.state.worker.HealthSettings
import dandelionpoint.coordination.ownership.OwnershipSettings as OwnershipRulesSettings
import dandelionpoint.settings.PlacementPolicy as PolicyName

internal fun OwnershipSettings.toOwnershipRules() = OwnershipRulesSettings(
    shards = shards,
    mode = when (mode) {
        OwnershipMode.HORIZON -> StartMode.HORIZON
        OwnershipMode.COMMIT -> StartMode.COMMIT
    },
    renewEveryMs = renewMs.toLong(),
    horizonMs = leaseMs.toLong(),
    takeoverMarginMs = takeoverMarginMs.toLong(),
)

internal val PolicyName.policy: PlacementPolicy
    get() = when (this) {
        PolicyName.LEAST_FINISH -> PlacementPolicy.SlotLeases
        PolicyName.RANDOM -> PlacementPolicy.RandomChoice
        PolicyName.ROUND_ROBIN -> PlacementPolicy.RoundRobin
        PolicyName.TWO_CHOICES -> PlacementPolicy.TwoChoices
        PolicyName.FIXED_SHARES -> PlacementPolicy.FixedShares
        PolicyName.SINGLE_OWNER -> PlacementPolicy.OwnerPerWorker
    }

internal fun Preset.queueSettings() = QueueSettings(tasksPerTeam = queueTasksPerTeam, safety = admissionSafety)

/** Settings of placement. Their limits are read from [preset] on each use, so that they follow the preset in force. */
internal fun placementSettings(preset: () -> Preset) = PlacementSettings(
    health = HealthSettings(limits = { EjectionLimits(preset().ejectAfterFailures, preset().ejectMs.toLong()) }),
    limits = { PlacementLimits(preset().hopCostMs.toDouble(), preset().slotIdleReturnMs.toLong()) },
)
