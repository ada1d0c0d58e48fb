/* The placement policies, selected by a setting. */
package dandelionpoint.coordination.placement

import kotlin.random.Random

/** A placement policy. All but [SlotLeases] are baselines for comparison. */
internal sealed class PlacementPolicy(val settingName: String) {
    /** Slots leased from allocators in batches, fastest workers first. */
    data object SlotLeases : PlacementPolicy("slot-leases")

    /** A worker at random. */
    data object RandomChoice : PlacementPolicy("random")

    /** Workers in turn. */
    data object RoundRobin : PlacementPolicy("round-robin")

    /** The less loaded of two random workers, by this VM's outstanding calls and the usage last reported, which lags behind. */
    data object TwoChoices : PlacementPolicy("two-choices")

    /** Each VM uses a fixed, equal share of the slots of each worker, without rebalancing. */
    data object FixedShares : PlacementPolicy("fixed-shares")

    /** Each task requests a slot from the allocator of a worker; no slot is kept for a further task. */
    data object OwnerPerWorker : PlacementPolicy("owner-per-worker")

    /** Creates a placement with this policy. [clock] is monotonic, in ms; only the randomized baselines use [random]. */
    fun create(settings: PlacementSettings, clock: () -> Long, random: Random): Placement = when (this) {
        SlotLeases -> SlotLeasePlacement(settings, clock)
        RandomChoice, RoundRobin, TwoChoices -> CallCountPlacement(this, settings, clock, random)
        FixedShares -> FixedSharesPlacement(settings, clock)
        OwnerPerWorker -> SlotLeasePlacement(settings.copy(keepsSlots = false, maxSlotsInRequest = 1), clock)
    }

    companion object {
        val all = listOf(SlotLeases, RandomChoice, RoundRobin, TwoChoices, FixedShares, OwnerPerWorker)

        /** The policy whose setting name is [name], or null. */
        fun named(name: String): PlacementPolicy? = all.find { it.settingName == name }
    }
}
