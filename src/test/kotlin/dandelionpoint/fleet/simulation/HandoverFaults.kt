/*
 * Faults at the steps of handovers: a claim that the store has applied, and each message about a handover. A message is lost, repeated or
 * late; a VM is paused, cut off from the store or from a peer, or its connections are reset; an answer of the store that is held up makes
 * the messages that follow from it early.
 */
package dandelionpoint.fleet.simulation

import dandelionpoint.protocol.peer.CellHandover
import dandelionpoint.protocol.peer.CellUse
import dandelionpoint.protocol.peer.CellUseAnswer
import dandelionpoint.protocol.peer.CellUseQuery
import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.ReleaseAnswer

/** Injects up to [count] faults into [fleet], and lets messages about handovers be lost, repeated and late if there are any. */
internal class HandoverFaults(private val world: SimulationWorld, private val fleet: SimulatedFleet, count: Int) {
    private val random = world.random
    private val hasFaults = count > 0
    private var left = count
    private var until = 0L

    /** Messages about handovers that were sent, by their type. */
    val sentMessages = sortedMapOf<String, Int>()

    /** Injects faults until the time [until]; each ends at most [MAX_FAULT_MS] later. */
    fun begin(until: Long) {
        this.until = until
        fleet.storeFaults.onClaim = { vm -> if (world.chance(CLAIM_SHARE)) inject(vm, vm, "after a claim of $vm") }
        fleet.network.copies = ::copies
    }

    private fun copies(from: String, to: String, message: PeerMessage): List<Long> {
        if (!isOfHandover(message)) return listOf(0L)
        val type = message::class.simpleName.orEmpty()
        sentMessages.merge(type, 1, Int::plus)
        if (!hasFaults || world.now() > until) return listOf(0L)
        if (world.chance(MESSAGE_SHARE)) inject(from, to, "at a $type from $from to $to")
        return when {
            world.chance(LOSS_SHARE) -> emptyList()
            world.chance(REPEAT_SHARE) -> listOf(0L, random.nextLong(MAX_LATE_MS))
            world.chance(LATE_SHARE) -> listOf(random.nextLong(MAX_LATE_MS))
            else -> listOf(0L)
        }
    }

    private fun isOfHandover(message: PeerMessage) = message is CellHandover || message is CellUse || message is ReleaseAnswer ||
        message is CellUseQuery || message is CellUseAnswer

    private fun inject(one: String, other: String, step: String) {
        if (left == 0 || world.now() > until) return
        left--
        val name = if (random.nextBoolean()) one else other
        val vm = fleet.vms.first { it.name == name }
        world.recordFault("$step: ${injectAt(vm)}")
    }

    /** Injects a fault at [vm]. Returns what it is. */
    private fun injectAt(vm: SimulatedVm): String {
        val ms = random.nextLong(MIN_FAULT_MS, MAX_PAUSE_MS)
        return when (random.nextInt(KINDS)) {
            0 -> "${vm.name} paused for $ms ms".also { vm.pause(ms) }
            1 -> cutFromStore(vm, ms)
            2 -> cutFromStore(vm, random.nextLong(MIN_LONG_CUT_MS, MAX_FAULT_MS))
            3 -> cutFromPeer(vm, ms)
            else -> "connections of ${vm.name} reset".also { fleet.network.resetConnectionsOf(vm.name) }
        }
    }

    private fun cutFromStore(vm: SimulatedVm, ms: Long): String {
        fleet.storeFaults.cut(vm.name, ms)
        return "${vm.name} cut off from the store for $ms ms"
    }

    private fun cutFromPeer(vm: SimulatedVm, ms: Long): String {
        val peer = fleet.vms.filter { it !== vm }.random(random)
        fleet.network.cut(vm.name, peer.name, ms)
        return "nothing arrives from ${vm.name} at ${peer.name} for $ms ms"
    }

    companion object {
        /** Longest fault, in ms. */
        const val MAX_FAULT_MS = 7_500L
        private const val MIN_FAULT_MS = 300L
        private const val MAX_PAUSE_MS = 2_500L
        private const val MIN_LONG_CUT_MS = 4_000L
        private const val KINDS = 5
        private const val MAX_LATE_MS = 2_500L
        private const val CLAIM_SHARE = 0.7
        private const val MESSAGE_SHARE = 0.03
        private const val LOSS_SHARE = 0.1
        private const val REPEAT_SHARE = 0.1
        private const val LATE_SHARE = 0.1
    }
}
