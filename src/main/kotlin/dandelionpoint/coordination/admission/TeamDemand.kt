/* Weighted fair shares of the cluster's slots. What a team cannot use goes to the others. */
package dandelionpoint.coordination.admission

/** Demand of a team: its [weight], and the number of [slots] that it could keep busy now. */
internal data class TeamDemand(val weight: Double, val slots: Double)

/**
 * The part of [slots] for a team of [weight] that can use any number of them, beside [others]. Each other team gets its demand or its
 * share by weight, whichever is less.
 */
internal fun shareOf(weight: Double, others: Collection<TeamDemand>, slots: Double): Double {
    var remainingSlots = slots
    var remainingWeight = weight + others.sumOf { it.weight }
    var open = others.filter { it.weight > 0 }
    while (open.isNotEmpty()) {
        val slotsPerWeight = remainingSlots / remainingWeight
        val (satisfied, limited) = open.partition { it.slots <= slotsPerWeight * it.weight }
        if (satisfied.isEmpty()) break
        remainingSlots -= satisfied.sumOf { it.slots }
        remainingWeight -= satisfied.sumOf { it.weight }
        open = limited
    }
    return if (remainingWeight > 0) remainingSlots * weight / remainingWeight else 0.0
}
