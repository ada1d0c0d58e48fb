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
import dandelionpoint.transport.http.HttpChannel
import dandelionpoint.transport.http.HttpChannelSettings
import dandelionpoint.transport.http.HttpOutcome
import dandelionpoint.transport.http.OneShotBody
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import okhttp3.Request
import java.util.concurrent.ConcurrentHashMap

/** Sends calls to workers, over a few persistent connections to each. */
internal class PlatformWorkers(private val threads: CallThreads) : WorkerPort {
    private val targets = ConcurrentHashMap<String, Target>()

    override suspend fun start(worker: WorkerEntry, order: StartOrder, timeoutMs: Long): StartOutcome =
        when (val outcome = post(worker, WorkerCall.START, encodeStart(order), timeoutMs)) {
            is HttpOutcome.NotWritten -> StartOutcome.NotSent(outcome.reason)
            is HttpOutcome.Lost -> StartOutcome.Unknown(outcome.reason)
            is HttpOutcome.Answer -> startOutcome(outcome)
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
        val outcome = post(worker, WorkerCall.STOP, encodeStop(run, token), timeoutMs)
        return outcome is HttpOutcome.Answer && outcome.status == OK
    }

    override suspend fun lease(worker: WorkerEntry, call: LeaseCall, timeoutMs: Long): LeaseOutcome =
        when (val outcome = post(worker, WorkerCall.LEASE, encodeLease(call), timeoutMs)) {
            is HttpOutcome.NotWritten -> LeaseOutcome.NoAnswer(outcome.reason)
            is HttpOutcome.Lost -> LeaseOutcome.NoAnswer(outcome.reason)
            is HttpOutcome.Answer -> leaseOutcome(outcome)
        }

    private fun leaseOutcome(answer: HttpOutcome.Answer): LeaseOutcome = when (answer.status) {
        OK -> decodeRunList(answer.body)?.let { LeaseOutcome.Answered(it) } ?: LeaseOutcome.NoAnswer("the answer cannot be read")
        CONFLICT -> LeaseOutcome.Fenced
        OTHER_INCARNATION -> LeaseOutcome.OtherIncarnation
        else -> LeaseOutcome.NoAnswer("status ${answer.status}")
    }

    private suspend fun post(worker: WorkerEntry, call: WorkerCall, body: String, timeoutMs: Long): HttpOutcome {
        val target = target(worker) ?: return HttpOutcome.NotWritten("worker ${worker.id} has no usable address", unreachable = true)
        val request = Request.Builder().url(target.url(call)).post(OneShotBody(body.encodeToByteArray(), JSON_TYPE))
        try {
            request.header("Expected-Instance", worker.id)
        } catch (e: IllegalArgumentException) {
            return HttpOutcome.NotWritten("no request can be sent to worker ${worker.id}: ${e.message}", unreachable = true)
        }
        return target.channel.send(request, timeoutMs)
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

        fun url(call: WorkerCall): HttpUrl = urls[call.ordinal]
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
