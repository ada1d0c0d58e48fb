/*
 * The choice between a worker of this VM's own cells and one of another VM's. A remote run costs messages and processor time of two VMs, so
 * that a free own worker is taken without a look at other VMs unless the run would take long there. All times are in ms.
 */
package dandelionpoint.coordination.fleet

import kotlin.math.max

/** A run that another VM's worker can start: it is expected to end after [expectedMs], the network path included. */
internal data class RemoteOffer<T>(val source: T, val expectedMs: Long, val isInRack: Boolean)

/**
 * When an own worker is preferred.
 *
 * @property ownFactor an own worker, in the rack if the run names one, is taken at once if the run is expected to take at most this many
 *     times its estimate there: a worker of another VM could save less than the run's estimate
 * @property marginMs a worker of another VM has to be better by more than this
 * @property marginShare the same as a share of the time on the other VM's worker
 */
internal data class PlacementRules(val ownFactor: Double = 2.0, val marginMs: Long = 10, val marginShare: Double = 0.1)

/** True if [order] should be started on the own worker [own]; [remote] is called for the best offer of other VMs only if it matters. */
internal fun PlacementRules.prefersOwn(order: RunOrder, own: CandidateWorker, remote: () -> RemoteOffer<*>?): Boolean {
    if (own.isInRack && own.expectedMs <= order.estimateMs * ownFactor) return true
    val other = remote() ?: return true
    return own.expectedMs <= other.expectedMs + max(marginMs, (other.expectedMs * marginShare).toLong())
}
