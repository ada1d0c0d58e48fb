package dandelionpoint.coordination.fleet

import dandelionpoint.protocol.fleet.JobQueue

/**
 * Places the run of an order on a worker with free capacity and starts it. Returns null if there is no such worker. Called with the
 * dispatch lock held.
 */
internal fun interface RunPlacer {
    fun place(order: RunOrder): RunLocation?

    /**
     * Requests the run of [order], which fits nowhere at the moment, at another VM if it has to wait there for a shorter time. Work of
     * [aheadCoreMs] gets capacity in this VM's cells before it. Returns null if it is to wait here.
     */
    fun placeToWait(order: RunOrder, aheadCoreMs: Long): RunLocation? = null

    /**
     * The least expected wait of work of [queue] in the cells of other VMs, if it is [ownWaitMs] in those of this VM, both in ms. Null if
     * there are no others.
     */
    fun waitElsewhereMs(queue: JobQueue, ownWaitMs: Double): Double? = null

    /** Does the same as [place] for a run that another VM has requested, in this VM's cells only. Returns false if it fits on no worker. */
    fun placeForPeer(order: RunOrder): Boolean = false
}
