/* Virtual time, seeded random numbers and the record of events, shared by all parts of a simulated fleet. */
package dandelionpoint.fleet.simulation

import dandelionpoint.protocol.SchedulerClock
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.millis
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.test.TestScope
import kotlin.random.Random

/** One event, at a time in virtual ms. [jobId] is null for a fault. */
internal data class SimulationEvent(val at: Long, val jobId: String?, val text: String)

/** Number and task of a run, without its job. */
internal fun TaskRun.describe(): String = "run $run of ${task.step}.${task.index}"

/** A simulation's time and random numbers. All of its coroutines run on one thread, so that a seed always gives the same events. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class SimulationWorld(seed: Long) {
    private val scheduler = TestCoroutineScheduler()
    val dispatcher = StandardTestDispatcher(scheduler)

    /** Exceptions that escaped from a coroutine. */
    val errors = mutableListOf<Throwable>()
    val errorHandler = CoroutineExceptionHandler { _, error -> errors += error }

    /** Scope of all that is not part of a VM: network, workers, store and clients. */
    val scope = CoroutineScope(dispatcher + SupervisorJob() + errorHandler)
    val clock = SchedulerClock(TestScope(dispatcher))
    val random = Random(seed)
    val events = mutableListOf<SimulationEvent>()

    fun now(): Long = clock.millis()

    fun advance(ms: Long) = scheduler.advanceTimeBy(ms)

    fun chance(share: Double): Boolean = random.nextDouble() < share

    /** Delay of one message: a few ms, occasionally long enough for many other messages to overtake it. */
    fun hopMs(): Long = if (chance(SLOW_HOP_SHARE)) random.nextLong(MAX_HOP_MS, MAX_SLOW_HOP_MS) else random.nextLong(1, MAX_HOP_MS)

    suspend fun hop() = delay(hopMs())

    fun recordFault(text: String) {
        events += SimulationEvent(now(), null, text)
    }

    fun record(jobId: String, text: String) {
        events += SimulationEvent(now(), jobId, text)
    }

    private companion object {
        const val SLOW_HOP_SHARE = 0.03
        const val MAX_HOP_MS = 8L
        const val MAX_SLOW_HOP_MS = 60L
    }
}
