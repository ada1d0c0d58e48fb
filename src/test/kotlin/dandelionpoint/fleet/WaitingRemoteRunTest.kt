/*
 * Guards against a remote run that waits for capacity and is lost, is started after its end was reported or after its cancellation, or
 * keeps its sender waiting when the VM that serves it stops, was paused, or loses the VM that wants it.
 */
package dandelionpoint.fleet

import dandelionpoint.coordination.fleet.Dispatch
import dandelionpoint.coordination.fleet.DispatchEvent
import dandelionpoint.coordination.fleet.RunKey
import dandelionpoint.coordination.fleet.RunLocation
import dandelionpoint.coordination.fleet.RunOrder
import dandelionpoint.coordination.fleet.RunPlacer
import dandelionpoint.coordination.fleet.WaitingRuns
import dandelionpoint.protocol.SchedulerClock
import dandelionpoint.protocol.fleet.Demand
import dandelionpoint.protocol.fleet.RunEnd
import dandelionpoint.protocol.fleet.TaskRef
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.millis
import dandelionpoint.protocol.peer.RemoteRunRequest
import dandelionpoint.protocol.peer.RunAnswer
import dandelionpoint.protocol.peer.VmIdentity
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.booleans.shouldBeFalse
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import kotlin.random.Random

private const val SEEDS = 200
private val SENDER = VmIdentity("vm-2", "incarnation-2", "north", "ham-a", "127.0.0.1", 1)

private fun request(index: Int, maxWaitMs: Long = 500, priority: Int = 0, entryVm: String? = null) = RemoteRunRequest(
    run = TaskRun(TaskRef("job", 0, index), 1),
    payload = "",
    pool = "booking",
    demand = Demand(1_000),
    estimateMs = 60,
    entryVm = entryVm,
    priority = priority,
    maxWaitMs = maxWaitMs,
    slackMs = 100,
)

private val RemoteRunRequest.key get() = RunKey(SENDER.incarnation, dispatch, run)

/** A VM whose cells have room for [free] runs, in virtual time. */
private class WaitingOwner(private val test: TestScope, var free: Int = 0) {
    private val clock = SchedulerClock(test)
    private val waiting = WaitingRuns()
    private val dispatch = Dispatch("self", waitingRuns = waiting)
    val started = mutableListOf<RunKey>()
    val running = mutableSetOf<RunKey>()
    var hasWorkers = true

    /** Called once, before the next run is placed or begins to wait. */
    var beforeNext: (() -> Unit)? = null

    private val host: RemoteRunHost = object : RemoteRunHost {
        override fun place(order: RunOrder): Boolean {
            beforeNext?.also { beforeNext = null }?.invoke()
            if (free == 0) return false
            free--
            started += order.key
            running += order.key
            return true
        }

        override fun stopRun(key: RunKey) {
            if (running.remove(key)) test.launch { end(key, RunEnd.LOST) }
        }

        override val hasWaitingWork: Boolean get() = dispatch.hasWaitingWork

        override fun mayWait(order: RunOrder) = hasWorkers

        override fun onWaiting(): Unit = schedule()
    }
    val server = RemoteRunServer(host, waiting, clock)

    private val placer: RunPlacer = object : RunPlacer {
        override fun place(order: RunOrder): RunLocation? = null

        override fun placeForPeer(order: RunOrder) = host.place(order)
    }

    fun schedule(): Unit = dispatch.schedule(clock.millis(), placer).forEach {
        if (it is DispatchEvent.WaitingRunExpired) server.ended(it.order.key, RunEnd.NOT_STARTED)
    }

    fun end(key: RunKey, end: RunEnd = RunEnd.DONE) {
        running -= key
        free++
        server.ended(key, end)
        schedule()
    }

    @OptIn(ExperimentalCoroutinesApi::class)
    fun request(request: RemoteRunRequest, ageMs: Long = 0): Deferred<RunAnswer> =
        test.async { server.run(SENDER, request, wantedAt = 0, ageMs = ageMs) as RunAnswer }.also { test.runCurrent() }
}

private val NOT_STARTED = RunAnswer(RunEnd.NOT_STARTED)

/** The answer, which has to come within a limited time, so that a run that is lost fails the test at once. */
private suspend fun Deferred<RunAnswer>.answer(): RunAnswer = withTimeout(10_000) { await() }

@OptIn(ExperimentalCoroutinesApi::class)
internal class WaitingRemoteRunTest :
    DescribeSpec({
        describe("a remote run that finds no room") {
            it("waits, is started when a run ends, and is answered at its end") {
                runTest {
                    val owner = WaitingOwner(this, free = 1)
                    val first = owner.request(request(0))
                    val second = owner.request(request(1))
                    delay(40)
                    owner.end(request(0).key)
                    first.answer() shouldBe RunAnswer(RunEnd.DONE)
                    owner.started shouldContainExactly listOf(request(0).key, request(1).key)
                    owner.end(request(1).key)
                    second.answer() shouldBe RunAnswer(RunEnd.DONE)
                }
            }

            // Guards against a change for senders that do not set the new fields.
            it("is refused at once if its sender does not let it wait, or if no worker could ever run it") {
                runTest {
                    val owner = WaitingOwner(this)
                    owner.request(request(0, maxWaitMs = 0)).answer() shouldBe NOT_STARTED
                    owner.hasWorkers = false
                    owner.request(request(1)).answer() shouldBe NOT_STARTED
                }
            }

            it("is refused at its latest start, and not started although room is free then") {
                runTest {
                    val owner = WaitingOwner(this)
                    val run = owner.request(request(0, maxWaitMs = 100))
                    delay(100)
                    owner.free = 1
                    owner.schedule()
                    run.answer() shouldBe NOT_STARTED
                    owner.started.shouldBeEmpty()
                }
            }

            // The stamps that date a request are up to one interval of the heartbeats old.
            it("waits shorter if its request was on its way for longer than usual") {
                runTest {
                    val owner = WaitingOwner(this)
                    owner.request(request(0, maxWaitMs = 100), ageMs = HeartbeatSender.MAX_INTERVAL_MS + 100).answer() shouldBe NOT_STARTED
                    owner.request(request(1, maxWaitMs = 100), ageMs = HeartbeatSender.MAX_INTERVAL_MS).isCompleted.shouldBeFalse()
                    delay(100)
                    owner.schedule()
                }
            }

            it("is joined by a repeated request, which starts nothing of its own") {
                runTest {
                    val owner = WaitingOwner(this)
                    val requests = List(2) { owner.request(request(0)) }
                    owner.free = 2
                    owner.schedule()
                    owner.started shouldHaveSize 1
                    owner.end(request(0).key)
                    requests.forEach { it.answer() shouldBe RunAnswer(RunEnd.DONE) }
                }
            }

            it("waits for its turn behind a more urgent one, although it would fit") {
                runTest {
                    val owner = WaitingOwner(this)
                    owner.request(request(0, priority = 0))
                    // No scheduling pass has seen the free capacity yet.
                    owner.free = 1
                    val later = owner.request(request(1, priority = 2))
                    owner.started shouldContainExactly listOf(request(0).key)
                    later.isCompleted.shouldBeFalse()
                    owner.end(request(0).key)
                    owner.end(request(1).key)
                }
            }
        }

        describe("a waiting run is answered 'not started', and is not started later,") {
            suspend fun ended(name: String, end: suspend WaitingOwner.() -> Unit) = it(name) {
                runTest {
                    val owner = WaitingOwner(this)
                    val run = owner.request(request(0, entryVm = "client's VM").copy(remainingMs = 400))
                    owner.end()
                    runCurrent()
                    withClue("answered") { run.isCompleted.shouldBeTrue() }
                    run.answer() shouldBe NOT_STARTED
                    owner.free = 1
                    owner.schedule()
                    owner.request(request(0, entryVm = "client's VM")).answer() shouldBe NOT_STARTED
                    owner.started.shouldBeEmpty()
                }
            }
            ended("when it is cancelled") { server.cancel(request(0).key) shouldBe NOT_STARTED }
            ended("when its cancellation comes in a heartbeat") { server.stop(request(0).key) }
            ended("when the VM that dispatches it is lost") {
                server.refuseWaiting("lost") { it.origin == SENDER.incarnation }
            }
            ended("when the VM of its client is lost") { server.refuseWaiting("lost") { it.entryVm == "client's VM" } }
            ended("when this VM stops or its process was paused") { server.refuseWaiting("the VM stops") { true } }
            ended("when its client no longer waits") { delay(401) }
        }

        describe("the cancellation of a waiting run") {
            // Another thread handles the cancellation, and finds the run neither placed nor waiting.
            listOf(0, 1).forEach { free ->
                it("that is handled just before the run ${if (free == 0) "begins to wait" else "is placed"} ends the run") {
                    runTest {
                        val owner = WaitingOwner(this, free)
                        owner.beforeNext = { owner.server.stop(request(0).key) }
                        owner.request(request(0)).answer() shouldBe RunAnswer(if (free == 0) RunEnd.NOT_STARTED else RunEnd.LOST)
                        owner.schedule()
                        owner.running.shouldBeEmpty()
                    }
                }
            }

            it("in any order with its request, a start and an end leaves nothing running and every caller answered, with $SEEDS seeds") {
                (1L..SEEDS).forEach { seed ->
                    runTest {
                        val random = Random(seed)
                        val owner = WaitingOwner(this, free = random.nextInt(2))
                        val key = request(0).key
                        val answers = mutableListOf<Deferred<RunAnswer>>()
                        val steps = listOf<suspend () -> Unit>(
                            { answers += owner.request(request(0)) },
                            { answers += owner.request(request(0)) },
                            {
                                answers += async { owner.server.cancel(key) }
                                Unit
                            },
                            { owner.server.stop(key) },
                            { owner.free++ },
                            { owner.schedule() },
                        ).shuffled(random)
                        steps.forEach {
                            it()
                            if (random.nextBoolean()) runCurrent()
                        }
                        runCurrent()
                        owner.schedule()
                        runCurrent()
                        withClue("seed $seed") {
                            owner.running.shouldBeEmpty()
                            (owner.started.size <= 1).shouldBeTrue()
                            answers.all { it.isCompleted }.shouldBeTrue()
                            answers.map { it.answer() }.distinct() shouldHaveSize 1
                        }
                    }
                }
            }
        }
    })
