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
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import okhttp3.Request
import java.util.concurrent.ConcurrentHashMap

/** Sends calls to workers, over a few persistent connections to each. */
internal class PlatformWorkers(private val threads: CallThreads) : WorkerPort {
    private val channels = ConcurrentHashMap<String, HttpChannel>()

    override suspend fun start(worker: WorkerEntry, order: StartOrder, timeoutMs: Long): StartOutcome {
        val body = buildJsonObject {
            put("task", order.run.task.wireName())
            put("run", order.run.run)
            put("spec", order.payload)
            put("deadline_ms", order.leaseUntilMs)
            put("fencing_token", order.token)
        }
        return when (val outcome = post(worker, "run-start", body, timeoutMs)) {
            is HttpOutcome.NotWritten -> StartOutcome.NotSent(outcome.reason)
            is HttpOutcome.Lost -> StartOutcome.Unknown(outcome.reason)
            is HttpOutcome.Answer -> startOutcome(outcome)
        }
    }

    private fun startOutcome(answer: HttpOutcome.Answer): StartOutcome {
        val body = parseObject(answer.body)
        return when (answer.status) {
            OK -> body?.clockMs()?.let { StartOutcome.Started(it) } ?: StartOutcome.Unknown("the answer cannot be read")
            CONFLICT -> StartOutcome.Refused(refusal(body?.text("reason")))
            OTHER_INCARNATION -> StartOutcome.Refused(StartRefusal.OTHER_INCARNATION)
            TOO_MANY_REQUESTS, UNAVAILABLE -> StartOutcome.Refused(StartRefusal.UNHEALTHY)
            BAD_REQUEST -> StartOutcome.Refused(StartRefusal.INVALID)
            else -> StartOutcome.Unknown("status ${answer.status}")
        }
    }

    private fun refusal(reason: String?): StartRefusal = when (reason) {
        "fence" -> StartRefusal.FENCED
        "old" -> StartRefusal.OUTDATED_RUN
        "late" -> StartRefusal.LATE
        "room" -> StartRefusal.NO_ROOM
        else -> StartRefusal.INVALID
    }

    override suspend fun stop(worker: WorkerEntry, run: TaskRun, token: Long, timeoutMs: Long): Boolean {
        val body = buildJsonObject {
            put("task", run.task.wireName())
            put("run", run.run)
            put("fencing_token", token)
        }
        val outcome = post(worker, "run-stop", body, timeoutMs)
        return outcome is HttpOutcome.Answer && outcome.status == OK
    }

    override suspend fun lease(worker: WorkerEntry, call: LeaseCall, timeoutMs: Long): LeaseOutcome {
        val body = buildJsonObject {
            call.leaseUntilMs?.let { put("deadline_ms", it) }
            put("fencing_token", call.token)
            put("last_seen", call.seenEnd)
            if (call.waitMs > 0) put("wait_ms", call.waitMs)
        }
        return when (val outcome = post(worker, "hold", body, timeoutMs)) {
            is HttpOutcome.NotWritten -> LeaseOutcome.NoAnswer(outcome.reason)
            is HttpOutcome.Lost -> LeaseOutcome.NoAnswer(outcome.reason)
            is HttpOutcome.Answer -> leaseOutcome(outcome)
        }
    }

    private fun leaseOutcome(answer: HttpOutcome.Answer): LeaseOutcome = when (answer.status) {
        OK -> decodeRunList(answer.body)?.let { LeaseOutcome.Answered(it) } ?: LeaseOutcome.NoAnswer("the answer cannot be read")
        CONFLICT -> LeaseOutcome.Fenced
        OTHER_INCARNATION -> LeaseOutcome.OtherIncarnation
        else -> LeaseOutcome.NoAnswer("status ${answer.status}")
    }

    private suspend fun post(worker: WorkerEntry, call: String, body: JsonObject, timeoutMs: Long): HttpOutcome {
        val address = "${worker.host}:${worker.port}"
        val request = try {
            Request
                .Builder()
                .url("http://$address/v1/$call")
                .header("Expected-Instance", worker.id)
                .post(OneShotBody(body.toString().encodeToByteArray(), JSON_TYPE))
                .build()
        } catch (e: IllegalArgumentException) {
            return HttpOutcome.NotWritten("no request can be sent to worker ${worker.id}: ${e.message}", unreachable = true)
        }
        val channel = channels.computeIfAbsent(address) { HttpChannel(CHANNEL, threads) }
        return channel.send(request, timeoutMs)
    }

    /** Closes the connections to addresses outside [workers]. */
    fun retain(workers: List<WorkerEntry>) {
        val keep = workers.map { "${it.host}:${it.port}" }.toSet()
        (channels.keys - keep).forEach { channels.remove(it)?.close() }
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
