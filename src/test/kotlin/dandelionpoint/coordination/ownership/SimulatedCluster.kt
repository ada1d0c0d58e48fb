/* Several VMs over one fake platform in virtual time. VMs can be paused and killed at any suspension point. */
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

/** Holds everything back while paused; what it holds runs on resumption. */
@OptIn(InternalCoroutinesApi::class)
internal class PausableDispatcher(private val delegate: TestDispatcher) :
    CoroutineDispatcher(),
    Delay by delegate {
    private val held = ArrayDeque<Runnable>()
    var isPaused = false
        set(value) {
            field = value
            while (!value && held.isNotEmpty()) delegate.dispatch(delegate, held.removeFirst())
        }

    override fun dispatch(context: CoroutineContext, block: Runnable) =
        delegate.dispatch(context) { if (isPaused) held.add(block) else block.run() }
}

@OptIn(ExperimentalCoroutinesApi::class)
internal class SimulatedCluster(seed: Long = 1, private val settings: OwnershipSettings = OwnershipSettings(shards = 4)) {
    val scheduler = TestCoroutineScheduler()
    val random = Random(seed)
    private val platformScope = CoroutineScope(StandardTestDispatcher(scheduler) + SupervisorJob())
    val platform = FakePlatform(platformScope, random)
    val vms = ArrayList<SimulatedVm>()
    val nowMs: Long get() = EPOCH_MS + scheduler.currentTime

    /** Virtual time at which each VM started an id. */
    val starts = HashMap<SubmissionId, MutableList<Pair<String, Long>>>()

    fun boot(name: String, wallOffsetMs: Long = 0): SimulatedVm {
        val vm = SimulatedVm(name, wallOffsetMs)
        vms += vm
        announce()
        vm.scope.launch { vm.ownership.run() }
        return vm
    }

    /** Tells all VMs which of them are alive. */
    fun announce() {
        val (stopping, live) = vms.filter { !it.isDead && !it.isPaused }.partition { it.isStopping }
        vms.forEach { vm -> vm.ownership.updatePeers(live.map { it.identity }.toSet(), stopping.map { it.identity }.toSet()) }
    }

    fun run(ms: Long) {
        scheduler.advanceTimeBy(ms)
        scheduler.runCurrent()
    }

    /** A new id whose creation time is [ageMs] ago. */
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

        /** Ends the VM at once; writes that it has sent may still be applied. */
        fun kill() {
            isDead = true
            dispatcher.isPaused = true
            announce()
        }

        fun pause() {
            dispatcher.isPaused = true
        }

        fun resume() {
            if (!isDead) dispatcher.isPaused = false
        }

        fun stop(): Deferred<Unit> {
            isStopping = true
            announce()
            return scope.async { ownership.releaseAll() }
        }

        suspend fun decide(id: SubmissionId, digest: String = DIGEST): StartDecision {
            val decision = ownership.decideStart(id, digest)
            if (decision == StartDecision.Start) starts.getOrPut(id) { ArrayList() } += name to scheduler.currentTime
            return decision
        }

        fun submit(id: SubmissionId, digest: String = DIGEST): Deferred<StartDecision> = scope.async { decide(id, digest) }

        fun submitNow(id: SubmissionId, digest: String = DIGEST, waitMs: Long = 1_500): StartDecision? = now(submit(id, digest), waitMs)

        fun lookupNow(id: SubmissionId, waitMs: Long = 1_500): Lookup? = now(scope.async { ownership.lookup(id) }, waitMs)

        fun finishNow(id: SubmissionId, results: List<String> = listOf("done"), waitMs: Long = 300): Boolean? =
            now(scope.async { ownership.finish(record(id, results)) }, waitMs)

        /** Runs until [answer] is there, at most [waitMs]; null if it is not. */
        private fun <T> now(answer: Deferred<T>, waitMs: Long): T? {
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
