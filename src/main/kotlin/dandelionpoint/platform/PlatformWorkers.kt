/*
 * Client of the platform's workers that implements [WorkerPort]. On the wire `deadline_ms` is the time, on the worker's clock, until which
 * the lease of all its runs is valid, and `last_seen` acknowledges ended runs on behalf of every caller.
 */
package dandelionpoint.platform

import dandelionpoint.protocol.fleet.LeaseCall
import dandelionpoint.protocol.fleet.LeaseOutcome
import dandelionpoint.protocol.fleet.StartOrder
import dandelionpoint.protocol.fleet.StartOutcome
import dandelionpoint.protocol.fleet.StartRefusal
import dandelionpoint.protocol.fleet.TaskRun
import dandelionpoint.protocol.fleet.WorkerEntry
import dandelionpoint.protocol.fleet.WorkerPort
import dandelionpoint.transport.http.CallThreads
import dandelionpoint.transport.http.ConnectionCheck
import dandelionpoint.transport.http.HttpChannel
import dandelionpoint.transport.http.HttpChannelSettings
import dandelionpoint.transport.http.HttpOutcome
import dandelionpoint.transport.http.OneShotBody
import okhttp3.Connection
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.Request
import java.util.Collections
import java.util.WeakHashMap
import java.util.concurrent.ConcurrentHashMap

/** Sends calls to workers, over a few persistent connections to each. */
internal class PlatformWorkers(private val threads: CallThreads) : WorkerPort {
    private val targets = ConcurrentHashMap<String, Target>()

    override suspend fun start(worker: WorkerEntry, order: StartOrder, timeoutMs: Long): StartOutcome {
        val target = target(worker) ?: return StartOutcome.NotSent(noAddress(worker))
        val check = IncarnationCheck(target, order)
        return when (val outcome = post(target, worker, WorkerCall.START, encodeStart(order), timeoutMs, check)) {
            is HttpOutcome.NotWritten -> check.refusal?.let { StartOutcome.Refused(it) } ?: StartOutcome.NotSent(outcome.reason)
            is HttpOutcome.Lost -> StartOutcome.Unknown(outcome.reason)
            is HttpOutcome.Answer -> startOutcome(outcome)
        }
    }

    /**
     * Lets the order pass only on a connection on which the incarnation that it is for has sent a run list. `Expected-Instance` does not
     * do this, since it has the id of the worker, which stays the same at a restart.
     */
    private inner class IncarnationCheck(private val target: Target, private val order: StartOrder) : ConnectionCheck {
        /** Why the order must not be sent, null if no probe has shown that. */
        var refusal: StartRefusal? = null
            private set

        override fun probeFor(connection: Connection, request: Request): Request? {
            if (target.startOn(connection) == order.startedAtMs) return null
            // The probe acknowledges no ends, extends no lease and waits for nothing.
            val list = encodeLease(LeaseCall(order.token, seenEnd = 0, leaseUntilMs = null, waitMs = 0)).encodeToByteArray()
            return request
                .newBuilder()
                .url(target.url(WorkerCall.LEASE))
                .post(OneShotBody(list, JSON_TYPE))
                .header("Content-Length", "${list.size}")
                .build()
        }

        override fun onProbed(answer: HttpOutcome.Answer): Boolean {
            val outcome = leaseOutcome(target, answer)
            refusal = when (outcome) {
                is LeaseOutcome.Answered -> StartRefusal.OTHER_INCARNATION.takeIf { outcome.report.startedAtMs != order.startedAtMs }
                is LeaseOutcome.OtherIncarnation -> StartRefusal.OTHER_INCARNATION
                is LeaseOutcome.Fenced -> StartRefusal.FENCED
                is LeaseOutcome.NoAnswer -> null
            }
            return outcome is LeaseOutcome.Answered && refusal == null
        }
    }

    private fun startOutcome(answer: HttpOutcome.Answer): StartOutcome = when (answer.status) {
        OK -> decodeClock(answer.body)?.let { StartOutcome.Started(it) } ?: StartOutcome.Unknown("the answer cannot be read")
        CONFLICT -> StartOutcome.Refused(refusal(parseObject(answer.body)?.text("reason")))
        OTHER_INCARNATION -> StartOutcome.Refused(StartRefusal.OTHER_INCARNATION)
        TOO_MANY_REQUESTS, UNAVAILABLE -> StartOutcome.Refused(StartRefusal.UNHEALTHY)
        BAD_REQUEST -> StartOutcome.Refused(StartRefusal.INVALID)
        else -> StartOutcome.Unknown("status ${answer.status}")
    }

    private fun refusal(reason: String?): StartRefusal = when (reason) {
        "fence" -> StartRefusal.FENCED
        "old" -> StartRefusal.OUTDATED_RUN
        "late" -> StartRefusal.LATE
        "room" -> StartRefusal.NO_ROOM
        else -> StartRefusal.INVALID
    }

    override suspend fun stop(worker: WorkerEntry, run: TaskRun, token: Long, timeoutMs: Long): Boolean {
        val target = target(worker) ?: return false
        val outcome = post(target, worker, WorkerCall.STOP, encodeStop(run, token), timeoutMs)
        return outcome is HttpOutcome.Answer && outcome.status == OK
    }

    override suspend fun lease(worker: WorkerEntry, call: LeaseCall, timeoutMs: Long): LeaseOutcome {
        val target = target(worker) ?: return LeaseOutcome.NoAnswer(noAddress(worker))
        return when (val outcome = post(target, worker, WorkerCall.LEASE, encodeLease(call), timeoutMs)) {
            is HttpOutcome.NotWritten -> LeaseOutcome.NoAnswer(outcome.reason)
            is HttpOutcome.Lost -> LeaseOutcome.NoAnswer(outcome.reason)
            is HttpOutcome.Answer -> leaseOutcome(target, outcome)
        }
    }

    /** The outcome that [answer] shows. A run list also shows which incarnation of the worker is at the other end of its connection. */
    private fun leaseOutcome(target: Target, answer: HttpOutcome.Answer): LeaseOutcome = when (answer.status) {
        OK -> decodeRunList(answer.body)?.let { report ->
            answer.connection?.let { target.recordStart(it, report.startedAtMs) }
            LeaseOutcome.Answered(report)
        } ?: LeaseOutcome.NoAnswer("the answer cannot be read")

        CONFLICT -> LeaseOutcome.Fenced

        OTHER_INCARNATION -> LeaseOutcome.OtherIncarnation

        else -> LeaseOutcome.NoAnswer("status ${answer.status}")
    }

    private fun noAddress(worker: WorkerEntry) = "worker ${worker.id} has no usable address"

    private suspend fun post(
        target: Target,
        worker: WorkerEntry,
        call: WorkerCall,
        body: String,
        timeoutMs: Long,
        check: ConnectionCheck? = null,
    ): HttpOutcome {
        val request = Request.Builder().url(target.url(call)).post(OneShotBody(body.encodeToByteArray(), JSON_TYPE))
        try {
            request.header("Expected-Instance", worker.id)
        } catch (e: IllegalArgumentException) {
            return HttpOutcome.NotWritten("no request can be sent to worker ${worker.id}: ${e.message}", unreachable = true)
        }
        return target.channel.send(request, timeoutMs, check)
    }

    private fun target(worker: WorkerEntry): Target? {
        val address = worker.address()
        return targets[address] ?: "http://$address/v1/".toHttpUrlOrNull()?.let { base ->
            targets.computeIfAbsent(address) { Target(base, HttpChannel(CHANNEL, threads)) }
        }
    }

    /** Closes the connections to addresses outside [workers]. */
    fun retain(workers: List<WorkerEntry>) {
        val keep = workers.map { it.address() }.toSet()
        (targets.keys - keep).forEach { targets.remove(it)?.channel?.close() }
    }

    private fun WorkerEntry.address() = "$host:$port"

    /** A call to a worker; [path] is relative to the worker's base URL. */
    private enum class WorkerCall(val path: String) { START("run-start"), STOP("run-stop"), LEASE("hold") }

    /** The connections to a worker at [base], and the URL of each call. */
    private class Target(base: HttpUrl, val channel: HttpChannel) {
        private val urls = WorkerCall.entries.map { base.newBuilder().addPathSegment(it.path).build() }

        /** Start times of the incarnations that have sent run lists, by the connections on which they did. */
        private val starts = Collections.synchronizedMap(WeakHashMap<Connection, Long>())

        fun url(call: WorkerCall): HttpUrl = urls[call.ordinal]

        /** When the incarnation at the other end of [connection] started, null if it has sent no run list there. */
        fun startOn(connection: Connection): Long? = starts[connection]

        fun recordStart(connection: Connection, startedAtMs: Long) {
            starts[connection] = startedAtMs
        }
    }

    private companion object {
        val CHANNEL = HttpChannelSettings(
            connectTimeoutMs = 200,
            keepAliveMs = 60_000,
            maxIdleConnections = 6,
            // Limits the memory that an odd answer takes when it is parsed. A run list has at most 500 ended runs.
            maxBodyBytes = 1L * 1024 * 1024,
            isCleartext = true,
        )
        const val OK = 200
        const val BAD_REQUEST = 400
        const val CONFLICT = 409
        const val OTHER_INCARNATION = 421
        const val TOO_MANY_REQUESTS = 429
        const val UNAVAILABLE = 503
    }
}
