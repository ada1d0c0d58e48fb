package dandelionpoint.coordination.fleet

/**
 * Times and limits for cells, workers and peers. All times are in ms.
 *
 * @property leaseMs length of a worker's lease, the most that workers grant
 * @property renewMs how long a lease call asks the worker to wait for an end before it answers; the next call renews the lease
 * @property leaseMarginMs a run counts as ended this long after its lease has expired
 * @property degradedRenewMs used in place of [renewMs] during a degraded period, so that a further loss delays the reports of few ended
 *     runs; not used while answers are slow
 * @property degradedPeriodMs length of the degraded period, which begins when a call to a worker is lost
 * @property startTimeoutMs longest wait for the answer to a start order
 * @property overdueMs an answer is overdue after this time at most if answers are usually fast; the worker's run list is then polled
 * @property leastOverdueMs an answer is overdue after this time at least, since a VM may be delayed by its other work for a few ms
 * @property answerMarginMs longest wait for an answer beyond the time that the worker was asked to wait
 * @property stalledGraceMs a run is not judged as stalled before it has taken this plus half of its expected run time
 * @property stalledFactor a run is not judged as stalled if its projected run time is less than this many times the expected one, plus
 *     [stalledGraceMs]
 * @property ejectMs how long a worker that fails its runs is avoided at first; doubles up to [ejectMaxMs]
 * @property peerUnresponsiveMs a peer of the same data centre from which no heartbeat was received for this long is lost
 * @property farPeerUnresponsiveMs the same for a peer of another data centre, which sends heartbeats less often
 * @property stopRetryMs a stop that a worker has not confirmed is sent again after this time
 * @property stopTimeoutMs a worker ends a run at most this long after it has confirmed the stop
 * @property maxClockAgeMs a worker's clock that was read longer ago than this is read again before a run is started there
 * @property joinMarginMs a run may be started under a lease that ends up to this much later than its own demand allows
 * @property demandStaleMs a run that has not been wanted for this long is stopped, before its worker's lease ends because of it
 * @property maxRequestAgeMs a peer's request that may be older than this is not carried out
 * @property claimStaleMs a cell may be taken over if its owner has not renewed the claim for this long
 * @property expiredEntryGraceMs a worker entry that expired while the store was unavailable may reappear for this long after the store is
 *     available again
 * @property remotePenalty factor on the run time of a task on a worker outside the rack that the task names
 */
internal data class FleetRules(
    val leaseMs: Long = 1_000,
    val renewMs: Int = 250,
    val leaseMarginMs: Long = 60,
    val degradedRenewMs: Int = 100,
    val degradedPeriodMs: Long = 5_000,
    val startTimeoutMs: Long = 150,
    val overdueMs: Long = 60,
    val leastOverdueMs: Long = 20,
    val answerMarginMs: Long = 250,
    val stalledGraceMs: Long = 150,
    val stalledFactor: Double = 3.0,
    val ejectMs: Long = 2_000,
    val ejectMaxMs: Long = 10_000,
    val peerUnresponsiveMs: Long = 700,
    val farPeerUnresponsiveMs: Long = 4_000,
    val stopRetryMs: Long = 100,
    val stopTimeoutMs: Long = 50,
    val maxClockAgeMs: Long = 10_000,
    val joinMarginMs: Long = 180,
    val demandStaleMs: Long = 800,
    val maxRequestAgeMs: Long = 500,
    val claimStaleMs: Long = 1_300,
    val expiredEntryGraceMs: Long = 2_300,
    val remotePenalty: Double = 2.0,
) {
    /** Longest duration of a lease on this VM's clock, with [leaseMarginMs] added: the worker's clock may run 2 % slow. */
    val longestLeaseMs: Long get() = longestLeaseMs(leaseMs)

    /** The same for a lease of [lengthMs]. */
    fun longestLeaseMs(lengthMs: Long): Long = lengthMs + lengthMs / 50 + leaseMarginMs

    /** No run is started under a shorter lease, since it could end before the next renewal. */
    val shortestFirstLeaseMs: Long get() = leaseMs / 2
}
