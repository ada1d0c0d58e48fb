/* Handles the messages of other entry VMs and sends this VM's heartbeats. */
package dandelionpoint.entry

import arrow.core.Either
import dandelionpoint.coordination.admission.TeamQueues
import dandelionpoint.coordination.configuration.ConfigurationService
import dandelionpoint.coordination.job.JobCall
import dandelionpoint.coordination.job.JobRouter
import dandelionpoint.coordination.membership.Membership
import dandelionpoint.coordination.placement.Placement
import dandelionpoint.protocol.JobView
import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.peer.FleetMessage
import dandelionpoint.protocol.peer.PeerLink
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.PeerReply
import dandelionpoint.protocol.peer.ServingState
import dandelionpoint.protocol.peer.VmIdentity

/** Components that messages from peers are passed to. */
internal class PeerServiceDependencies(
    val membership: Membership,
    val queues: TeamQueues,
    val placement: Placement,
    val configuration: ConfigurationService,
    val router: JobRouter,
    val signalDispatcher: () -> Unit,
)

/** The handler of all peer messages. */
internal class PeerService(private val dependencies: PeerServiceDependencies) {
    /** Handles [message] of the VM [from] and returns the reply, null if the message has none. */
    suspend fun handle(from: VmIdentity, message: PeerMessage): PeerMessage? = when (message) {
        is PeerMessage.Heartbeat -> onHeartbeat(from, message)

        is PeerMessage.ForwardSubmit -> reply(
            dependencies.router.submit(message.submission, message.remainingMs, message.hops, message.traceParent),
        )

        is PeerMessage.ForwardJobCall -> reply(dependencies.router.call(message.toCall()))

        is PeerMessage.SlotRequest -> dependencies.placement.onSlotRequest(from, message)

        is PeerMessage.SlotReturn -> onSlotReturn(from, message)

        is PeerMessage.ConfigPull -> dependencies.configuration.changesAfter(message.afterVersion)

        is PeerMessage.Goodbye -> onGoodbye(from)

        is PeerMessage.Hello, is PeerMessage.ForwardReply, is PeerMessage.SlotGrant, is PeerMessage.ConfigChanges, is FleetMessage -> null
    }

    private fun onHeartbeat(from: VmIdentity, heartbeat: PeerMessage.Heartbeat): PeerMessage? {
        dependencies.membership.onHeartbeat(from, heartbeat)
        dependencies.placement.onHeartbeat(from, heartbeat)
        dependencies.queues.onPeerLoad(from.incarnation, heartbeat.teams)
        dependencies.configuration.onPeerVersion(from, heartbeat.configVersion)
        return null
    }

    private fun onSlotReturn(from: VmIdentity, message: PeerMessage.SlotReturn): PeerMessage? {
        dependencies.placement.onSlotReturn(from, message)
        dependencies.signalDispatcher()
        return null
    }

    private fun onGoodbye(from: VmIdentity): PeerMessage? {
        dependencies.membership.onGoodbye(from)
        dependencies.queues.removePeer(from.incarnation)
        dependencies.configuration.removePeer(from)
        return null
    }

    /** Sends a heartbeat to every peer. */
    suspend fun sendHeartbeats(link: PeerLink, state: ServingState) {
        val heartbeat = PeerMessage.Heartbeat(
            state = state,
            configVersion = dependencies.configuration.current()?.version ?: 0,
            teams = dependencies.queues.loads(),
            holdings = dependencies.placement.holdings(),
            ejected = dependencies.placement.ejected(),
            freeSlots = dependencies.placement.capacity().freeSlots,
            waitingTasks = dependencies.queues.waitingTasks(),
        )
        dependencies.membership.peers().forEach { link.send(it.vm, heartbeat) }
    }

    /** Pulls the configuration from a peer if one has a newer version, or if this VM's version has not been confirmed for too long. */
    suspend fun pullConfiguration(link: PeerLink) {
        val peer = dependencies.configuration.nextPullTarget() ?: return
        val after = dependencies.configuration.current()?.version ?: 0
        val reply = link.call(peer, PeerMessage.ConfigPull(after), PULL_TIMEOUT_MS)
        val changes = (reply as? PeerReply.Answered)?.message as? PeerMessage.ConfigChanges ?: return
        dependencies.configuration.apply(changes)
    }

    private fun reply(answer: Either<Refusal, JobView>): PeerMessage =
        answer.fold({ PeerMessage.ForwardReply(refusal = it) }, { PeerMessage.ForwardReply(view = it) })

    private fun PeerMessage.ForwardJobCall.toCall() = JobCall(id, team, waitMs, cancel, hops, traceParent)

    private companion object {
        const val PULL_TIMEOUT_MS = 1_000L
    }
}
