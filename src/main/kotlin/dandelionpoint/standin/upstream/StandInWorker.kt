/* A worker of the upstream stand-in: slots, a bounded queue, and fault switches. A running task is a timer and does not use a thread. */
package dandelionpoint.standin.upstream

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/** Body of `POST /run`: a task named [key] that takes [ms] at speed 1 and fails at its end if [fail] is set. */
@Serializable
data class RunRequest(val key: String, val ms: Double = 0.0, val fail: Boolean = false)

/** Response body of `POST /run`. [ms] is the measured run time of the task. */
@Serializable
data class RunAnswer(val key: String, val worker: String, val ms: Double)

/** Sends the answer to a request. */
internal interface RunReply {
    /** Sends a response. */
    fun answer(status: Int, body: String)

    /** Closes the connection without an answer. */
    fun abort()
}

/** A worker. Its state is guarded by its own lock; answers are sent without holding it. */
internal class StandInWorker(
    val profile: WorkerProfile,
    private val settings: UpstreamStandInSettings,
    private val timer: ScheduledExecutorService,
    private val startLog: StartLog,
) {
    private class Task(val request: RunRequest, val reply: RunReply)

    private val random = Random(settings.seed xor profile.id.hashCode().toLong())
    private val queue = ArrayDeque<Task>()

    /** Arrivals and ends of tasks that a frozen worker handles after the fault has ended. */
    private val deferred = ArrayDeque<() -> Unit>()
    private var busySlots = 0

    /** Number of kills so far. A task that was started before the last kill does nothing when its timer fires. */
    private var generation = 0

    @Volatile
    var faults = WorkerFaults()
        private set

    /** Accepts a request from a caller in [callerDataCentre], which is empty if unknown. */
    fun accept(request: RunRequest, callerDataCentre: String, reply: RunReply) {
        val isRemote = callerDataCentre.isNotEmpty() && callerDataCentre != profile.dataCentre
        if (!isRemote || settings.hopDelayMs <= 0) return admit(Task(request, reply))
        schedule(settings.hopDelayMs) { admit(Task(request, DelayedReply(reply))) }
    }

    /** Returns the numbers of busy slots and queued tasks. */
    @Synchronized
    fun load(): Pair<Int, Int> = busySlots to queue.size

    /** Replaces the fault switches. [WorkerServer.setListening] makes a killed worker refuse connections. */
    fun apply(newFaults: WorkerFaults) {
        val released =
            synchronized(this) {
                faults = newFaults
                if (newFaults.killed) discardAllTasks()
                if (newFaults.frozen) emptyList() else deferred.toList().also { deferred.clear() }
            }
        released.forEach { it() }
    }

    private fun discardAllTasks() {
        generation++
        busySlots = 0
        queue.clear()
        deferred.clear()
    }

    private fun admit(task: Task) {
        val action: () -> Unit =
            synchronized(this) {
                when {
                    faults.killed -> task.reply::abort
                    faults.frozen -> defer { admit(task) } ?: task.reply::abort
                    busySlots < profile.slots -> start(task)
                    queue.size < profile.connections - profile.slots -> enqueue(task)
                    else -> ({ task.reply.answer(TOO_MANY_REQUESTS, """{"error":"no slot and queue full, not started"}""") })
                }
            }
        action()
    }

    private fun enqueue(task: Task): () -> Unit {
        queue.addLast(task)
        return NO_ACTION
    }

    private fun defer(event: () -> Unit): (() -> Unit)? {
        if (deferred.size >= MAX_DEFERRED) return null
        deferred.addLast(event)
        return NO_ACTION
    }

    private fun start(task: Task): () -> Unit {
        busySlots++
        startLog.record(task.request.key, profile.id)
        val startedNanos = System.nanoTime()
        val startedGeneration = generation
        val durationMs = if (faults.failing) FAILING_RUN_MS else task.request.ms / profile.speed * faults.slowFactor
        return { schedule(durationMs) { finish(task, startedNanos, startedGeneration) } }
    }

    private fun finish(task: Task, startedNanos: Long, startedGeneration: Int) {
        val ranMs = (System.nanoTime() - startedNanos) / NANOS_PER_MS
        val actions =
            synchronized(this) {
                when {
                    generation != startedGeneration -> emptyList()
                    faults.frozen -> listOfNotNull(defer { finish(task, startedNanos, startedGeneration) })
                    else -> listOfNotNull(complete(task, ranMs), startNext()).asReversed()
                }
            }
        actions.forEach { it() }
    }

    private fun complete(task: Task, ranMs: Double): () -> Unit {
        busySlots--
        val isLost = random.nextDouble() < faults.lostAnswerShare
        val hasFailed = faults.failing || task.request.fail
        return {
            when {
                isLost -> task.reply.abort()
                hasFailed -> task.reply.answer(INTERNAL_SERVER_ERROR, """{"error":"task failed"}""")
                else -> task.reply.answer(OK, Json.encodeToString(RunAnswer(task.request.key, profile.id, ranMs)))
            }
        }
    }

    private fun startNext(): (() -> Unit)? = queue.removeFirstOrNull()?.let { start(it) }

    private fun schedule(ms: Double, action: () -> Unit) {
        val logged = Runnable { runCatching(action).onFailure { log.warn(it) { "worker ${profile.id}: an answer could not be sent" } } }
        timer.schedule(logged, (ms * NANOS_PER_MS).toLong(), TimeUnit.NANOSECONDS)
    }

    /** Sends the answer after the network delay. */
    private inner class DelayedReply(private val reply: RunReply) : RunReply {
        override fun answer(status: Int, body: String) = schedule(settings.hopDelayMs) { reply.answer(status, body) }

        override fun abort() = schedule(settings.hopDelayMs) { reply.abort() }
    }

    private companion object {
        val NO_ACTION: () -> Unit = {}
        const val NANOS_PER_MS = 1e6
        const val OK = 200
        const val TOO_MANY_REQUESTS = 429
        const val INTERNAL_SERVER_ERROR = 500

        /** Run time in ms of a task on a worker that fails every task. Short, so that such a worker appears idle and attracts tasks. */
        const val FAILING_RUN_MS = 2.0

        /** Limit of the events that a frozen worker defers. Further requests have their connection closed. */
        const val MAX_DEFERRED = 1_024
    }
}
