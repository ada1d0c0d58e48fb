package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Cells
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.FleetJob
import dandelionpoint.protocol.fleet.JobStep
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.peer.JobOffer
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.standin.fleet.InProcessFleet
import dandelionpoint.standin.fleet.MemoryWorkers
import io.kotest.assertions.nondeterministic.continually
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val RUN_MS = 6_000L
private const val DEADLINE_MS = 10_000L

/** A client sends its job again this long after its connection broke, in ms. */
private const val RETRY_DELAY_MS = 1_300L

/** By then the heartbeats of a VM that has just connected have been read, in ms. */
private const val HEARTBEATS_READ_MS = 300L

/** A VM that ended so long ago, in ms, wants nothing that its last heartbeat would still allow. */
private const val ENDED_MS = 600L

/** The data centre that has the workers, and the one of the client, which has none. */
private const val WORKER_CENTRE = "akl-a"
private const val CLIENT_CENTRE = "ham-a"

/** Two VMs, one of which owns the workers and the other one the client's cells, and a peer in the client's data centre. */
private class RemoteWorkers : AutoCloseable {
    private val fleet = InProcessFleet(dataCentres = listOf(WORKER_CENTRE), workers = MemoryWorkers(runMs = { RUN_MS }))
    private val owner = fleet.vm("owner", WORKER_CENTRE)
    private val dispatcher = fleet.vm("dispatcher", CLIENT_CENTRE)
    val peer = peer("peer")

    fun peer(name: String) = NetworkPeer(fleet, CLIENT_CENTRE, name)

    suspend fun start() {
        owner.start()
        dispatcher.start()
        eventually(15.seconds) {
            owner.ownedCells() shouldBe Cells.of(WORKER_CENTRE).toSet()
            dispatcher.ownedCells() shouldBe Cells.of(CLIENT_CENTRE).toSet()
        }
        peer.start()
        awaitRemoteRuns()
    }

    /** Waits until jobs of the dispatching VM start. Without that, a test that expects no start could not fail. */
    private suspend fun awaitRemoteRuns() {
        var number = WARM_UP_ID
        eventually(10.seconds) {
            val warmUp = ++number
            coroutineScope {
                launch { dispatcher.run(job(warmUp), fleet.queue, DEADLINE_MS) }
                try {
                    eventually(1.seconds) { starts(warmUp) shouldHaveSize 1 }
                } finally {
                    dispatcher.cancel(job(warmUp).id)
                }
            }
        }
        eventually(5.seconds) { fleet.workers.starts().all { it.endedAt != null }.shouldBeTrue() }
    }

    fun job(number: Int) = FleetJob("%016x".format(number), "payload", listOf(JobStep(1, Demand(1_000), RUN_MS)))

    fun offer(number: Int) = JobOffer(job(number), fleet.queue, ageMs = 0, remainingMs = DEADLINE_MS)

    /** A request for a run, for a client at the VM with the incarnation [entryVm] that was there [entryAgeMs] before. */
    fun remoteRun(number: Int, entryVm: String, entryAgeMs: Long?) = RemoteRunRequest(
        run = TaskRun(TaskRef(job(number).id, 0, 0), 1),
        payload = "payload",
        pool = fleet.queue.pool,
        demand = Demand(1_000),
        estimateMs = RUN_MS,
        entryVm = entryVm,
        entryAgeMs = entryAgeMs,
        remainingMs = DEADLINE_MS,
    )

    fun starts(number: Int) = fleet.workers.starts().filter { it.run.task.jobId == job(number).id }

    override fun close() {
        peer.close()
        owner.close()
        dispatcher.close()
    }

    private companion object {
        const val WARM_UP_ID = 1_000
    }
}

private suspend fun onRemoteWorkers(test: suspend RemoteWorkers.() -> Unit) = RemoteWorkers().use {
    it.start()
    it.test()
}

/**
 * Guards against work that goes on for a VM that is not known, as if that VM had just been heard: its loss is never noticed, and its
 * clients have their jobs run again elsewhere.
 */
internal class UnknownPeerTest :
    DescribeSpec({
        describe("a job of a VM that is killed before the dispatching VM has read a heartbeat of it") {
            it("has no run in progress when its client submits it again, and none starts later") {
                onRemoteWorkers {
                    // The owner of the workers knows the VM, as it does after a pause that only its own data centre has noticed.
                    peer.sendHeartbeats(peer.connect("owner"))
                    peer.call(peer.connect("dispatcher"), offer(1), DEADLINE_MS)
                    eventually(2.seconds) { starts(1) shouldHaveSize 1 }
                    peer.close()
                    delay(RETRY_DELAY_MS)
                    withClue("in progress") { starts(1).filter { it.endedAt == null }.shouldBeEmpty() }
                    val startsSoFar = starts(1).size
                    continually(1_500.milliseconds) { starts(1) shouldHaveSize startsSoFar }
                }
            }
        }

        // The owner of the workers may know the client's VM for seconds after its end, and the sender may have read no heartbeat of it.
        describe("a request for a run whose client is at a VM that has ended and that the sender does not know") {
            it("starts nothing, while the same request with a recent age of that VM does") {
                onRemoteWorkers {
                    val owner = peer.connect("owner")
                    peer.sendHeartbeats(owner)
                    val entry = peer("entry")
                    entry.use {
                        it.start()
                        it.sendHeartbeats(it.connect("owner"))
                        delay(HEARTBEATS_READ_MS)
                    }
                    delay(ENDED_MS)
                    peer.call(owner, remoteRun(1, entry.incarnation, entryAgeMs = null), DEADLINE_MS)
                    continually(300.milliseconds) { starts(1).shouldBeEmpty() }
                    peer.call(owner, remoteRun(2, entry.incarnation, entryAgeMs = 0), DEADLINE_MS)
                    eventually(2.seconds) { starts(2) shouldHaveSize 1 }
                }
            }
        }
    })
