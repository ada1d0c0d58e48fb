/* Settings of placement. */
package dandelionpoint.coordination.placement

import dandelionpoint.state.worker.HealthSettings

/** Settings of a placement. Times are in ms on the clock that is passed to it. */
internal data class PlacementSettings(
    val health: HealthSettings = HealthSettings(),
    /** Read at each use, since a preset can change them at any time. */
    val limits: () -> PlacementLimits = { PlacementLimits() },
    val leaseMs: Long = 2_000,
    /** Added to the lease on the allocator's side, since the clocks of VMs run at slightly different rates. */
    val leaseMarginMs: Long = 500,
    /** A holder renews its leases once its last answered request is this old. */
    val renewAfterMs: Long = 700,
    /** A grant that arrives later than this after the request is dropped, so that a new allocator can wait until no grant is in flight. */
    val grantValidMs: Long = 200,
    /**
     * Slots that are granted only after the answer to the request (a delayed grant) are dropped if they arrive later than this after the
     * request. Longer than the allocator keeps a request.
     */
    val delayedGrantValidMs: Long = 200,
    /** A new allocator grants nothing for this long, which covers a heartbeat interval and the grants in flight. */
    val settleMs: Long = 250,
    /**
     * If [Placement.tick] did not run for this long, the process was paused and peers may consider this VM dead. It then collects anew what
     * other VMs hold of its workers.
     */
    val pausedAfterMs: Long = 1_000,
    /** Tasks wait for requested faster slots for at most this long, instead of taking slower ones. */
    val deferMs: Long = 6,
    /** First and longest back-off before the next request to a peer that granted nothing; it doubles in between. */
    val requestBackoffMs: Long = 4,
    val requestBackoffMaxMs: Long = 32,
    /** Whether a leased slot is reused for further tasks; false for the baseline that requests a slot for each task. */
    val keepsSlots: Boolean = true,
    /** Upper limit of the slots in one request. */
    val maxSlotsInRequest: Int = 512,
) {
    val hopCostMs: Double get() = limits().hopCostMs
    val slotIdleReturnMs: Long get() = limits().slotIdleReturnMs
}

/** Limits of placement that a preset sets, in ms. */
internal data class PlacementLimits(val hopCostMs: Double = 1.0, val slotIdleReturnMs: Long = 20)
