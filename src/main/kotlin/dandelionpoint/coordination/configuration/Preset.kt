package dandelionpoint.coordination.configuration

import kotlinx.serialization.Serializable

/** Accepted values of a preset. A preset may tighten or loosen a protective limit but not remove it, so every range has both bounds. */
internal object PresetRanges {
    val ADMISSION_SAFETY = 0.1..10.0
    val QUEUE_TASKS = 1..1_000_000
    val BUDGET = 0.0..0.5
    val EJECT_AFTER_FAILURES = 1..100
    val EJECT_MS = 100..60_000
    val HOP_COST_MS = 0..1_000
    val SLOT_IDLE_RETURN_MS = 1..2_000
}

/**
 * Values that operators switch together.
 *
 * @property admissionSafety factor on the predicted time until a job finishes, for its admission
 * @property queueTasksPerTeam largest number of tasks reserved or queued for a team on one VM
 * @property retryBudget calls that may be repeated, as a share of the requests
 * @property hedgeBudget hedged calls (second copies of requests) that may be made, as a share of the requests
 * @property ejectAfterFailures failures in a row after which a worker is ejected
 * @property ejectMs length of the first ejection of a worker
 * @property hopCostMs cost of a hop to another data centre, when workers are compared
 * @property slotIdleReturnMs time for which an idle slot is kept before it is returned
 * @property acceptNewJobs if false, new jobs are refused while running ones end
 */
@Serializable
internal data class Preset(
    val name: String,
    val admissionSafety: Double = 1.0,
    val queueTasksPerTeam: Int = 20_000,
    val retryBudget: Double = 0.02,
    val hedgeBudget: Double = 0.01,
    val ejectAfterFailures: Int = 3,
    val ejectMs: Int = 5_000,
    val hopCostMs: Int = 1,
    val slotIdleReturnMs: Int = 20,
    val acceptNewJobs: Boolean = true,
) {
    /** Describes each value that is out of its range. */
    fun faults(): List<String> = listOfNotNull(
        "name: '$name' is not ${ConfigurationLimits.NAME_RULE}".takeUnless { ConfigurationLimits.isName(name) },
        rangeFault("admissionSafety", admissionSafety, PresetRanges.ADMISSION_SAFETY),
        rangeFault("queueTasksPerTeam", queueTasksPerTeam, PresetRanges.QUEUE_TASKS),
        rangeFault("retryBudget", retryBudget, PresetRanges.BUDGET),
        rangeFault("hedgeBudget", hedgeBudget, PresetRanges.BUDGET),
        rangeFault("ejectAfterFailures", ejectAfterFailures, PresetRanges.EJECT_AFTER_FAILURES),
        rangeFault("ejectMs", ejectMs, PresetRanges.EJECT_MS),
        rangeFault("hopCostMs", hopCostMs, PresetRanges.HOP_COST_MS),
        rangeFault("slotIdleReturnMs", slotIdleReturnMs, PresetRanges.SLOT_IDLE_RETURN_MS),
    )

    private fun <T : Comparable<T>> rangeFault(name: String, value: T, range: ClosedRange<T>): String? =
        "$name: $value is not from ${range.start} to ${range.endInclusive}".takeUnless { value in range }
}
