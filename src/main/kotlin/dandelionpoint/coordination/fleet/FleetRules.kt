package dandelionpoint.coordination.fleet

/**
 * Times and limits of the fleet's rules. All times are in ms.
 *
 * @property leaseMs length of a worker's lease, the most that workers grant
 * @property renewMs longest wait for an end before the lease is renewed
 * @property leaseMarginMs a run counts as ended this long after its lease has expired
 * @property troubledRenewMs the same for [troubleMs] after a call was lost, so that a further loss hides few ends; not for slow keepers
 * @property troubleMs how long a lost call makes the keeper wait less
 * @property startTimeoutMs longest wait for the answer to a start
 * @property overdueMs an answer is overdue after this time if answers come fast; the worker's list of runs is then asked for
 * @property answerMarginMs longest wait for an answer beyond the time that the worker was asked to wait
 * @property stuckGraceMs a run is never judged as stuck earlier than this
 * @property stuckFactor a run is stuck if it would take this many times the expected run time
 * @property ejectMs how long a worker that fails its runs is avoided at first; doubles up to [ejectMaxMs]
 * @property peerSilentMs a peer that was not heard for this long is lost
 * @property claimStaleMs a cell may be taken over if its keeper has not renewed the claim for this long
 * @property lapsedGraceMs an entry that lapsed while the store was away may return for this long after the store's return
 */
internal data class FleetRules(
    val leaseMs: Long = 1_000,
    val renewMs: Int = 250,
    val leaseMarginMs: Long = 60,
    val troubledRenewMs: Int = 100,
    val troubleMs: Long = 5_000,
    val startTimeoutMs: Long = 150,
    val overdueMs: Long = 60,
    val answerMarginMs: Long = 250,
    val stuckGraceMs: Long = 150,
    val stuckFactor: Double = 3.0,
    val ejectMs: Long = 2_000,
    val ejectMaxMs: Long = 10_000,
    val peerSilentMs: Long = 700,
    val claimStaleMs: Long = 1_300,
    val lapsedGraceMs: Long = 2_300,
) {
    /** The worker's clock may run 2 % slow, so that a lease lasts up to this on this VM's clock. */
    val longestLeaseMs: Long get() = leaseMs + leaseMs / 50 + leaseMarginMs
}
