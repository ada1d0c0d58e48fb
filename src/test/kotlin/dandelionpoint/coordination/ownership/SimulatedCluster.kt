/* Several VMs on one fake platform in virtual time. VMs can be paused and killed at any suspension point. */
package dandelionpoint.coordination.ownership

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.JobState
import dandelionpoint.protocol.JobView
import dandelionpoint.protocol.SubmissionId
import dandelionpoint.protocol.peer.VmIdentity
import dandelionpoint.state.record.Record
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Delay
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.test.TestDispatcher
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random

/** Dispatcher that queues all blocks while it is paused and runs them when it is resumed. */
@OptIn(InternalCoroutinesApi::class)
internal class PausableDispatcher(private val delegate: TestDispatcher) :
    CoroutineDispatcher(),
    Delay by delegate {
    private val queued = ArrayDeque<Runnable>()
    var isPaused = false
        set(value) {
            field = value
            while (!value && queued.isNotEmpty()) delegate.dispatch(delegate, queued.removeFirst())
        }

    override fun dispatch(context: CoroutineContext, block: Runnable) =
        delegate.dispatch(context) { if (isPaused) queued.add(block) else block.run() }
}

/** VMs with the same [settings]; [seed] determines all random choices. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class SimulatedCluster(seed: Long = 1, private val settings: OwnershipSettings = OwnershipSettings(shards = 4)) {
    val scheduler = TestCoroutineScheduler()
    val random = Random(seed)
    private val platformScope = CoroutineScope(StandardTestDispatcher(scheduler) + SupervisorJob())
    val platform = FakePlatform(platformScope, random)
    val vms = ArrayList<SimulatedVm>()
    val nowMs: Long get() = EPOCH_MS + scheduler.currentTime

    /** Names of the VMs that started each id, with the virtual time in ms. */
    val starts = HashMap<SubmissionId, MutableList<Pair<String, Long>>>()

    /** Starts a VM whose wall clock is ahead by [wallOffsetMs]. */
    fun boot(name: String, wallOffsetMs: Long = 0): SimulatedVm {
        val vm = SimulatedVm(name, wallOffsetMs)
        vms += vm
        updatePeers()
        vm.scope.launch { vm.ownership.run() }
        return vm
    }

    /** Passes the set of live and of stopping VMs to all VMs, as heartbeats would. */
    fun updatePeers() {
        val (stopping, live) = vms.filter { !it.isDead && !it.isPaused }.partition { it.isStopping }
        vms.forEach { vm -> vm.ownership.updatePeers(live.map { it.identity }.toSet(), stopping.map { it.identity }.toSet()) }
    }

    /** Advances the virtual time. */
    fun run(ms: Long) {
        scheduler.advanceTimeBy(ms)
        scheduler.runCurrent()
    }

    /** A new id whose creation time is [ageMs] ms ago. */
    fun newId(ageMs: Long = 0): SubmissionId = SubmissionId.create(nowMs - ageMs, random.nextLong(), random.nextLong())

    fun find(identity: VmIdentity): SimulatedVm = vms.first { it.identity == identity }

    inner class SimulatedVm(val name: String, private val wallOffsetMs: Long) {
        val identity = VmIdentity(name, "$name-${vms.size}", "region", "dc", "127.0.0.1", vms.size)
        private val dispatcher = PausableDispatcher(StandardTestDispatcher(scheduler))
        val scope = CoroutineScope(dispatcher + SupervisorJob())
        var isDead = false
            private set
        var isStopping = false
        val isPaused: Boolean get() = dispatcher.isPaused && !isDead
        private val clock =
            object : Clock {
                override fun wallMs(): Long = nowMs + wallOffsetMs

                override fun nanos(): Long = scheduler.currentTime * 1_000_000
            }
        val ownership = ShardOwnership(platform, platform.objects, identity, settings, clock, Random(random.nextLong()))

        /** Ends the VM at once. Writes that it has already sent may still be applied. */
        fun kill() {
            isDead = true
            dispatcher.isPaused = true
            updatePeers()
        }

        /** Suspends the VM without notice to the others. */
        fun pause() {
            dispatcher.isPaused = true
        }

        fun resume() {
            if (!isDead) dispatcher.isPaused = false
        }

        /** Starts a planned stop, which hands all shards over. */
        fun stop(): Deferred<Unit> {
            isStopping = true
            updatePeers()
            return scope.async { ownership.releaseAll() }
        }

        suspend fun decide(id: SubmissionId, digest: String = DIGEST): StartDecision {
            val decision = ownership.decideStart(id, digest)
            if (decision == StartDecision.Start) starts.getOrPut(id) { ArrayList() } += name to scheduler.currentTime
            return decision
        }

        fun submit(id: SubmissionId, digest: String = DIGEST): Deferred<StartDecision> = scope.async { decide(id, digest) }

        fun submitNow(id: SubmissionId, digest: String = DIGEST, waitMs: Long = 1_500): StartDecision? =
            awaitNow(submit(id, digest), waitMs)

        fun lookupNow(id: SubmissionId, waitMs: Long = 1_500): Lookup? = awaitNow(scope.async { ownership.lookup(id) }, waitMs)

        fun finishNow(id: SubmissionId, results: List<String> = listOf("done"), waitMs: Long = 300): Boolean? =
            awaitNow(scope.async { ownership.finish(record(id, results)) }, waitMs)

        /** Advances the virtual time until [answer] is complete, at most [waitMs]; null if it is not. */
        private fun <T> awaitNow(answer: Deferred<T>, waitMs: Long): T? {
            scheduler.runCurrent()
            var waited = 0L
            while (!answer.isCompleted && waited++ < waitMs) run(1)
            return if (answer.isCompleted) answer.getCompleted() else null
        }
    }

    companion object {
        const val EPOCH_MS = 1_800_000_000_000L
        const val DIGEST = "digest"

        fun record(id: SubmissionId, results: List<String> = listOf("done")): Record =
            Record(id, "team", DIGEST, JobView(id, "team", JobState.COMPLETE, tasks = 1, results = results))
    }
}
