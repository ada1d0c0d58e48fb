/* Injects faults into a simulated fleet: several at once and in series. */
package dandelionpoint.fleet.simulation

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Kinds of faults. */
internal enum class FaultKind {
    /** One peer connection is reset; messages under way are lost. */
    PEER_CONNECTION_RESET,

    /** All connections of one VM are reset, those of its clients too. */
    VM_CONNECTIONS_RESET,

    /** Connections of clients are reset. */
    CLIENT_CONNECTION_RESET,

    /** A peer connection delivers nothing for a while; it may be reset then. */
    SILENT_CONNECTION,

    /** Nothing that one VM sends to another one, or to all others, arrives for a while. */
    ONE_WAY_CUT,

    /** The process of a VM is killed and started again later. */
    VM_KILLED,

    /** A machine is lost: nobody sees its connections close. */
    VM_LOST,

    VM_PAUSED,

    /** Stops do not reach the workers for a while. */
    STOPS_LOST,

    /** Calls to workers or their answers are lost for a while. */
    WORKER_CALLS_LOST,

    /** Calls to workers are carried out late, without an answer, for a while. */
    WORKER_CALLS_LATE,

    /** A machine is suspended: its process is paused, and its monotonic clock does not count the time. */
    VM_SUSPENDED,

    /** The process of a VM is killed while another one is paused or suspended, for so short a time that no VM takes it for lost. */
    VM_KILLED_BESIDE_PAUSE,

    /** The process of a VM is paused, and killed shortly after it has resumed. Some of its clients leave during the pause. */
    VM_KILLED_AFTER_PAUSE,

    ;

    companion object {
        /** The kinds with a single cause, each of which a process sees on its monotonic clock. */
        val SIMPLE = entries - VM_SUSPENDED - VM_KILLED_BESIDE_PAUSE - VM_KILLED_AFTER_PAUSE
    }
}

/** Injects faults of [kinds]. */
internal class FaultInjector(
    private val world: SimulationWorld,
    private val network: SimulatedNetwork,
    private val vms: List<SimulatedVm>,
    private val calls: WorkerCallFaults,
    private val kinds: List<FaultKind>,
) {
    private val random = world.random

    /** Injects faults between the times [from] and [until]. */
    fun run(from: Long, until: Long) {
        if (kinds.isEmpty()) return
        world.scope.launch {
            delay(from)
            while (world.now() < until) {
                repeat(if (world.chance(SEVERAL_SHARE)) random.nextInt(2, MAX_AT_ONCE + 1) else 1) {
                    inject(kinds.random(random))
                    if (world.chance(CLOSE_SERIES_SHARE)) delay(random.nextLong(MAX_CLOSE_GAP_MS))
                }
                delay(random.nextLong(MIN_GAP_MS, MAX_GAP_MS))
            }
        }
    }

    private fun inject(kind: FaultKind) {
        val vm = vms.random(random)
        val ms = random.nextLong(MIN_FAULT_MS, MAX_FAULT_MS)
        when (kind) {
            FaultKind.PEER_CONNECTION_RESET -> resetConnection()
            FaultKind.VM_CONNECTIONS_RESET -> resetAll(vm)
            FaultKind.CLIENT_CONNECTION_RESET -> resetClients()
            FaultKind.SILENT_CONNECTION -> silence(ms)
            FaultKind.ONE_WAY_CUT -> cut(vm, ms)
            FaultKind.VM_KILLED -> kill(vm, ms, isMachineLost = false)
            FaultKind.VM_LOST -> kill(vm, ms, isMachineLost = true)
            FaultKind.STOPS_LOST -> calls.stopsLostUntil = lastingUntil(ms, "stops are lost")
            FaultKind.WORKER_CALLS_LOST -> calls.callsLostUntil = lastingUntil(ms, "calls to workers are lost")
            FaultKind.WORKER_CALLS_LATE -> calls.callsLateUntil = lastingUntil(ms, "calls to workers are late")
            else -> injectPause(kind, vm, ms)
        }
    }

    private fun injectPause(kind: FaultKind, vm: SimulatedVm, ms: Long) = when (kind) {
        FaultKind.VM_PAUSED -> pause(vm, ms)
        FaultKind.VM_SUSPENDED -> pause(vm, ms, isSuspension = true)
        FaultKind.VM_KILLED_BESIDE_PAUSE -> killBesidePause(vm, ms)
        FaultKind.VM_KILLED_AFTER_PAUSE -> killAfterPause(vm, ms)
        else -> error("not a kind of pause: $kind")
    }

    private fun lastingUntil(ms: Long, what: String): Long {
        world.recordFault("$what for $ms ms")
        return world.now() + ms
    }

    private fun resetConnection() {
        val connection = network.open().randomOrNull(random) ?: return
        world.recordFault("connection ${connection.client.name} -> ${connection.server.name} reset")
        connection.reset()
    }

    private fun resetAll(vm: SimulatedVm) {
        world.recordFault("all connections of ${vm.name} reset")
        network.resetConnectionsOf(vm.name)
        vm.openClients.forEach { it.close() }
    }

    private fun resetClients() {
        vms.flatMap { it.openClients }.filter { world.chance(CLIENT_SHARE) }.forEach {
            world.recordFault("client of job ${it.job.id} disconnected")
            it.close()
        }
    }

    private fun silence(ms: Long) {
        val connection = network.open().randomOrNull(random) ?: return
        val isReset = world.chance(SILENCE_RESET_SHARE)
        world.recordFault("connection ${connection.client.name} -> ${connection.server.name} silent for $ms ms, reset=$isReset")
        connection.silence(ms)
        if (isReset) {
            world.scope.launch {
                delay(ms)
                connection.reset()
            }
        }
    }

    private fun cut(vm: SimulatedVm, ms: Long) {
        val others = vms.filter { it !== vm }
        val targets = if (world.chance(CUT_FROM_ALL_SHARE)) others else listOf(others.random(random))
        val isOutward = world.chance(0.5)
        world.recordFault("cut ${vm.name} ${if (isOutward) "to" else "from"} ${targets.map { it.name }} for $ms ms")
        targets.forEach { if (isOutward) network.cut(vm.name, it.name, ms) else network.cut(it.name, vm.name, ms) }
    }

    private fun kill(vm: SimulatedVm, ms: Long, isMachineLost: Boolean) {
        if (!vm.isUp) return
        world.recordFault("${vm.name} ${if (isMachineLost) "lost" else "killed"}, restarted after $ms ms")
        vm.kill(isMachineLost)
        world.scope.launch {
            delay(ms)
            vm.start()
        }
    }

    private fun pause(vm: SimulatedVm, ms: Long, isSuspension: Boolean = false) {
        if (!vm.isUp || vm.isPaused) return
        world.recordFault("${vm.name} ${if (isSuspension) "suspended" else "paused"} for $ms ms")
        if (isSuspension) vm.suspend(ms) else vm.pause(ms)
    }

    private fun killBesidePause(vm: SimulatedVm, downMs: Long) {
        pause((vms - vm).random(random), random.nextLong(MIN_SHORT_PAUSE_MS, MAX_SHORT_PAUSE_MS), isSuspension = random.nextBoolean())
        world.scope.launch {
            delay(random.nextLong(MIN_SHORT_PAUSE_MS))
            kill(vm, downMs, isMachineLost = false)
        }
    }

    private fun killAfterPause(vm: SimulatedVm, downMs: Long) {
        val pauseMs = random.nextLong(MIN_SHORT_PAUSE_MS, MAX_SHORT_PAUSE_MS)
        pause(vm, pauseMs)
        resetClients()
        world.scope.launch {
            delay(pauseMs + random.nextLong(MAX_CLOSE_GAP_MS))
            kill(vm, downMs, isMachineLost = random.nextBoolean())
        }
    }

    private companion object {
        /** In pauses up to the longest of these, in ms, no VM is taken for lost. */
        const val MIN_SHORT_PAUSE_MS = 250L
        const val MAX_SHORT_PAUSE_MS = 500L
        const val SEVERAL_SHARE = 0.4
        const val MAX_AT_ONCE = 3
        const val CLOSE_SERIES_SHARE = 0.5
        const val MAX_CLOSE_GAP_MS = 150L
        const val MIN_GAP_MS = 150L
        const val MAX_GAP_MS = 1_200L
        const val MIN_FAULT_MS = 300L
        const val MAX_FAULT_MS = 3_000L
        const val CLIENT_SHARE = 0.3
        const val SILENCE_RESET_SHARE = 0.5
        const val CUT_FROM_ALL_SHARE = 0.3
    }
}
