/*
 * The threads of one simulated process. While the process is paused, everything that becomes due waits: resumed coroutines, timeouts and
 * messages. When it resumes, they run in random order, since the threads of a real process also compete then.
 */
package dandelionpoint.fleet.simulation

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.test.TestDispatcher
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random

/** Runs coroutines in the virtual time of [delegate]. */
@OptIn(InternalCoroutinesApi::class)
internal class PausableDispatcher(private val delegate: TestDispatcher, private val random: Random) :
    CoroutineDispatcher(),
    Delay {
    private enum class State { RUNNING, PAUSED, ENDED }

    private val due = mutableListOf<Pair<CoroutineContext, Runnable>>()
    private var state = State.RUNNING

    val isPaused: Boolean get() = state == State.PAUSED

    fun pause() {
        if (state == State.RUNNING) state = State.PAUSED
    }

    fun resume() {
        if (state != State.PAUSED) return
        state = State.RUNNING
        val waiting = due.shuffled(random)
        due.clear()
        waiting.forEach { (context, block) -> dispatch(context, block) }
    }

    /** Ends the process: nothing runs any more. */
    fun end() {
        state = State.ENDED
        due.clear()
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) = delegate.dispatch(context, Runnable { runOrKeep(context, block) })

    private fun runOrKeep(context: CoroutineContext, block: Runnable) {
        when (state) {
            State.RUNNING -> block.run()
            State.PAUSED -> due += context to block
            State.ENDED -> Unit
        }
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) =
        (delegate as Delay).scheduleResumeAfterDelay(timeMillis, continuation)

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle =
        (delegate as Delay).invokeOnTimeout(timeMillis, Runnable { runOrKeep(context, block) }, context)
}
