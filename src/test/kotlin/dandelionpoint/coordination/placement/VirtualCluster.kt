/* Simulates entry VMs and workers in virtual time, with message delays and faults. Only the placement is production code. */
package dandelionpoint.coordination.placement

import dandelionpoint.protocol.peer.PeerMessage
import dandelionpoint.protocol.peer.ServingState
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.protocol.store.VmEntry
import dandelionpoint.protocol.store.VmRole
import dandelionpoint.protocol.store.WorkerUsage
import dandelionpoint.protocol.worker.CallOutcome
import java.util.PriorityQueue
import kotlin.random.Random

internal class VirtualTask(val id: Int, val job: Int, val workMs: Double, val memoryMb: Int = 0, val retryable: Boolean = false)

internal class VirtualWorker(val entry: VmEntry, var speed: Double) {
    val waiting = ArrayDeque<() -> Unit>()
    var running = 0
    var mostRunning = 0
    var calls = 0
    var fault: CallOutcome? = null
}

internal class VirtualNode(val vm: VmIdentity, val placement: Placement, var isAlive: Boolean = true) {
    val waiting = ArrayDeque<VirtualTask>()
    val outstanding = HashMap<String, Int>()
}

/** Simulates [nodes] that place tasks on [workers]. [lossRate] is the fraction of slot messages and heartbeats that are lost. */
internal class VirtualCluster(
    policy: PlacementPolicy,
    entries: List<Pair<VmEntry, Double>>,
    vmCount: Int = 7,
    seed: Int = 1,
    settings: PlacementSettings = PlacementSettings(),
    private val delayMs: Double = 1.0,
    private val lossRate: Double = 0.0,
) {
    private class Event(val atMs: Double, val order: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMs }.thenBy { it.order })
    private val random = Random(seed)
    private var order = 0L
    var nowMs = 0.0
        private set
    val workers = entries.map { VirtualWorker(it.first, it.second) }.associateBy { it.entry.id }
    val nodes = List(vmCount) { VirtualNode(identity(it), policy.create(settings, { nowMs.toLong() }, Random(seed + it))) }
    val finishedMs = HashMap<Int, Double>()
    val failures = ArrayList<VirtualTask>()
    var messages = 0L
        private set
    var refusals = 0
        private set
    var onTick: () -> Unit = {}

    init {
        nodes.forEach { it.placement.updateWorkers(entries.map { entry -> entry.first }) }
        updateMembership()
        nodes.forEach { node ->
            repeatEvery(HEARTBEAT_MS, random.nextDouble() * HEARTBEAT_MS) { if (node.isAlive) heartbeat(node) }
            repeatEvery(TICK_MS, random.nextDouble() * TICK_MS) { if (node.isAlive) tick(node) }
            repeatEvery(USAGE_MS, random.nextDouble() * USAGE_MS) { node.placement.updateUsage(usage()) }
        }
    }

    fun at(atMs: Double, action: () -> Unit) {
        events.add(Event(atMs, order++, action))
    }

    fun runUntil(endMs: Double) {
        while (events.isNotEmpty() && events.peek().atMs <= endMs) {
            val event = events.poll()
            nowMs = event.atMs
            event.action()
        }
        nowMs = endMs
    }

    fun submit(node: VirtualNode, tasks: List<VirtualTask>) {
        node.waiting.addAll(tasks)
        placeWaiting(node)
    }

    fun updateMembership(viewers: List<VirtualNode> = nodes.filter { it.isAlive }) {
        val live = nodes.filter { it.isAlive }.map { it.vm }.toSet()
        viewers.forEach { it.placement.updatePeers(it.vm, live) }
    }

    fun updateWorkers(entries: List<VmEntry>) = nodes.filter { it.isAlive }.forEach { it.placement.updateWorkers(entries) }

    private fun repeatEvery(periodMs: Double, firstMs: Double, action: () -> Unit) {
        at(firstMs) {
            action()
            repeatEvery(periodMs, nowMs + periodMs, action)
        }
    }

    private fun usage() = workers.values.map { WorkerUsage(it.entry.id, it.running, it.waiting.size, 0) }

    private fun heartbeat(node: VirtualNode) {
        val placement = node.placement
        val heartbeat = PeerMessage.Heartbeat(
            state = ServingState.SERVING,
            configVersion = 1,
            holdings = placement.holdings(),
            ejected = placement.ejected(),
            freeSlots = placement.capacity().freeSlots,
            waitingTasks = node.waiting.size,
        )
        peers(node).forEach { peer -> send(peer) { peer.placement.onHeartbeat(node.vm, heartbeat) } }
    }

    private fun peers(node: VirtualNode) = nodes.filter { it !== node && it.isAlive }

    private fun send(to: VirtualNode, deliver: () -> Unit) {
        if (random.nextDouble() < lossRate) return
        at(nowMs + delayMs) { if (to.isAlive) deliver() }
    }

    private fun tick(node: VirtualNode) {
        for ((vm, returned) in node.placement.tick()) {
            messages++
            val peer = nodes.first { it.vm == vm }
            send(peer) {
                peer.placement.onSlotReturn(node.vm, returned)
                placeWaiting(peer)
            }
        }
        placeWaiting(node)
        onTick()
    }

    private fun placeWaiting(node: VirtualNode) {
        for ((vm, request) in node.placement.slotRequests(node.waiting.size)) requestSlots(node, nodes.first { it.vm == vm }, request)
        while (node.waiting.isNotEmpty()) {
            val task = node.waiting.first()
            val demand = TaskDemand("class", task.workMs.toInt(), task.memoryMb, task.retryable)
            val reservation = node.placement.place(demand) ?: break
            node.waiting.removeFirst()
            call(node, task, reservation)
        }
    }

    private fun requestSlots(node: VirtualNode, peer: VirtualNode, request: PeerMessage.SlotRequest) {
        messages += 2
        var isAnswered = false
        val answer = { grant: PeerMessage.SlotGrant? ->
            if (!isAnswered && node.isAlive) {
                isAnswered = true
                node.placement.onSlotGrant(peer.vm, grant)
                placeWaiting(node)
            }
        }
        send(peer) {
            val grant = peer.placement.onSlotRequest(node.vm, request)
            send(node) { answer(grant) }
        }
        if (lossRate > 0 || !peer.isAlive) at(nowMs + CALL_TIMEOUT_MS) { answer(null) }
    }

    private fun call(node: VirtualNode, task: VirtualTask, reservation: Reservation) {
        val worker = workers.getValue(reservation.worker.id)
        val hopMs = if (worker.entry.dataCentre == node.vm.dataCentre) LOCAL_HOP_MS else delayMs
        val startedMs = nowMs
        val end = { outcome: CallOutcome ->
            at(nowMs + hopMs) {
                if (node.isAlive) {
                    finish(node, task, outcome)
                    node.placement.complete(reservation, outcome, nowMs - startedMs)
                    placeWaiting(node)
                }
            }
        }
        at(nowMs + hopMs) { receive(worker, task, end) }
    }

    private fun finish(node: VirtualNode, task: VirtualTask, outcome: CallOutcome) {
        when (outcome) {
            is CallOutcome.Answered -> finishedMs[task.id] = nowMs
            is CallOutcome.NotStarted -> node.waiting.addFirst(task)
            else -> failures.add(task)
        }
    }

    private fun receive(worker: VirtualWorker, task: VirtualTask, end: (CallOutcome) -> Unit) {
        worker.calls++
        val fault = worker.fault
        if (fault != null) return end(fault)
        if (worker.running >= worker.entry.slots && worker.waiting.size >= WORKER_QUEUE) {
            refusals++
            return end(CallOutcome.NotStarted("full", unreachable = false))
        }
        worker.waiting.addLast { at(nowMs + task.workMs / worker.speed) { endTask(worker, end) } }
        startNext(worker)
    }

    private fun endTask(worker: VirtualWorker, end: (CallOutcome) -> Unit) {
        worker.running--
        startNext(worker)
        end(CallOutcome.Answered("done"))
    }

    private fun startNext(worker: VirtualWorker) {
        worker.mostRunning = maxOf(worker.mostRunning, worker.running + worker.waiting.size)
        while (worker.running < worker.entry.slots && worker.waiting.isNotEmpty()) {
            worker.running++
            worker.waiting.removeFirst()()
        }
    }

    companion object {
        const val HEARTBEAT_MS = 250.0
        const val TICK_MS = 2.0
        private const val USAGE_MS = 1_000.0
        private const val CALL_TIMEOUT_MS = 150.0
        private const val LOCAL_HOP_MS = 0.2
        private const val WORKER_QUEUE = 64
        private val dataCentres = listOf("akl-a", "akl-b", "ham-a", "tga-a")

        fun identity(index: Int) = VmIdentity("entry-$index", "run-1", "aotearoa-north", dataCentres[index % 4], "127.0.0.1", 7_000 + index)

        /** Workers of 8 slots in racks of 6, with speeds spread evenly in logarithm from 0.5 to 2.0. */
        fun workers(count: Int = 32, slots: Int = 8): List<Pair<VmEntry, Double>> = List(count) { index ->
            val dataCentre = dataCentres[index % 4]
            val speed = Math.pow(2.0, -1 + 2.0 * ((index * 7) % count) / maxOf(1, count - 1))
            val entry = VmEntry(
                id = "worker-$index",
                role = VmRole.WORKER,
                region = "aotearoa-north",
                dataCentre = dataCentre,
                rack = "rack-${index / 24}",
                host = "127.0.0.1",
                port = 8_000 + index,
                slots = slots,
                memoryMb = 32_768,
            )
            entry to speed
        }
    }
}
