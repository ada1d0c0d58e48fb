/* Exchanges slots between entry VMs: requests slots from their allocators when tasks wait, and returns idle ones. */
package dandelionpoint.entry

import dandelionpoint.coordination.admission.TeamQueues
import dandelionpoint.coordination.placement.Placement
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.VmIdentity
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Sends the slot requests and slot returns that [placement] decides on. [onSlotsAvailable] is called when slots may have become free. */
internal class SlotExchange(
    private val scope: CoroutineScope,
    private val link: PeerLink,
    private val placement: Placement,
    private val queues: TeamQueues,
    private val onSlotsAvailable: () -> Unit,
) {
    /** Requests slots from peers if tasks wait. */
    fun requestSlots() {
        placement.slotRequests(queues.waitingTasks()).forEach { (peer, request) -> scope.launch { requestFrom(peer, request) } }
    }

    private suspend fun requestFrom(peer: VmIdentity, request: PeerMessage.SlotRequest) {
        val reply = link.call(peer, request, GRANT_TIMEOUT_MS)
        placement.onSlotGrant(peer, (reply as? PeerReply.Answered)?.message as? PeerMessage.SlotGrant)
        onSlotsAvailable()
    }

    /** Periodic work: returns idle slots, and triggers another dispatch if tasks still wait. */
    fun tick() {
        placement.tick().forEach { (peer, slots) -> link.send(peer, slots) }
        if (queues.waitingTasks() > 0) onSlotsAvailable()
    }

    private companion object {
        /** Time limit for the reply to a slot request, in ms. The placement drops a grant that takes longer. */
        const val GRANT_TIMEOUT_MS = 200L
    }
}
