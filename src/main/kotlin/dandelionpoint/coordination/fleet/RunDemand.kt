/*
 * Until when the VMs that want a run are known to have wanted it. Invariant: the lease of a worker ends, for each of its runs, one lease
 * after the last time at which the run was certainly wanted, and no run is started that was wanted too long ago. That time is the one at
 * which the run's dispatching VM, and the VM of its client, made the last message that says so, as this VM's own clock dates it; when the
 * message was read says nothing.
 */
package dandelionpoint.coordination.fleet

/** Dates of the demand for runs, in ms of a clock that counts suspensions of this VM, unlike its monotonic clock. */
internal interface RunDemand {
    /** The time at [now] on this VM's monotonic clock. */
    fun dateOf(now: Long): Long

    /** The last date at which the VMs that want the run of [order] are known to have wanted it, null if one of them is lost or unknown. */
    fun wantedAt(order: RunOrder): Long?

    /** All runs are wanted at all times. */
    object Always : RunDemand {
        override fun dateOf(now: Long): Long = now

        override fun wantedAt(order: RunOrder): Long = Long.MAX_VALUE / 2
    }
}
