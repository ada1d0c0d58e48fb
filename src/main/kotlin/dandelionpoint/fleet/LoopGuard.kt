/* Keeps the loops of a VM going after an unexpected error: one odd document, answer or message must not end a loop or the process. */
package dandelionpoint.fleet

import dandelionpoint.protocol.fleet.LeaseCall
import dandelionpoint.protocol.fleet.LeaseOutcome
import dandelionpoint.protocol.fleet.StartOrder
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.fleet.WorkerPort
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import java.util.concurrent.atomic.AtomicLong

private val log = KotlinLogging.logger {}

/** Guards the steps of the loop, or of the calls, named [loop]. */
internal class LoopGuard(private val loop: String) {
    private val failureCount = AtomicLong()

    /** Number of steps that have failed. */
    val failures: Long get() = failureCount.get()

    /**
     * Returns the result of [action], null if it has failed. The 1st, 2nd, 4th, 8th ... failure is logged, so that a step that fails each
     * time does not fill the log. Cancellation of the coroutine is passed on.
     */
    suspend fun <T : Any> attempt(step: String, action: suspend () -> T): T? = runCatching { action() }.getOrElse { failure ->
        currentCoroutineContext().ensureActive()
        val count = failureCount.incrementAndGet()
        if (count.countOneBits() == 1) log.error(failure) { "event=loop_step_failed loop=$loop step=$step failures=$count" }
        null
    }
}

/** Makes the calls of [port]. An error of a call says nothing about whether the worker has received it. */
internal class GuardedWorkerPort(private val port: WorkerPort) : WorkerPort {
    private val guard = LoopGuard("worker calls")

    override suspend fun start(worker: WorkerEntry, order: StartOrder, timeoutMs: Long): StartOutcome =
        guard.attempt("start") { port.start(worker, order, timeoutMs) } ?: StartOutcome.Unknown(FAILED)

    override suspend fun stop(worker: WorkerEntry, run: TaskRun, token: Long, timeoutMs: Long): Boolean =
        guard.attempt("stop") { port.stop(worker, run, token, timeoutMs) } ?: false

    override suspend fun lease(worker: WorkerEntry, call: LeaseCall, timeoutMs: Long): LeaseOutcome =
        guard.attempt("lease") { port.lease(worker, call, timeoutMs) } ?: LeaseOutcome.NoAnswer(FAILED)

    private companion object {
        const val FAILED = "the call has failed with an error"
    }
}
