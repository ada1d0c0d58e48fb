/*
 * HTTP routes for jobs and requests. Calls that wait are kept as futures, so that they do not block a thread. Every response
 * with a result code has a JSON body; a stack trace is never sent to the caller.
 */
package dandelionpoint.transport.http

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import dandelionpoint.coordination.job.JobCall
import dandelionpoint.coordination.job.JobRouter
import dandelionpoint.coordination.job.LocalJobs
import dandelionpoint.coordination.job.asJob
import dandelionpoint.observability.Metrics
import dandelionpoint.observability.Tracing
import dandelionpoint.protocol.JobSubmission
import dandelionpoint.protocol.JobView
import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.RequestSubmission
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.SubmissionId
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.opentelemetry.api.trace.SpanKind
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.future
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.concurrent.atomic.AtomicInteger

/** Response body of a successful request. */
@Serializable
internal data class RequestBody(val result: String)

/** Dependencies of the routes. [isStarting] is true while this VM has no configuration and knows no shard owner. */
internal class JobRouteDependencies(
    val router: JobRouter,
    val local: LocalJobs,
    val tokens: TokenFile,
    val metrics: Metrics,
    val tracing: Tracing,
    val isStarting: () -> Boolean,
)

/** Routes for jobs and requests. */
internal class JobRoutes(private val scope: CoroutineScope, private val dependencies: JobRouteDependencies) {
    private val unanswered = AtomicInteger()

    /** Number of calls without a response yet, including those that wait for a job of another VM. */
    fun openCalls(): Int = unanswered.get()

    /** Adds the routes to [config]. */
    fun addTo(config: JavalinConfig) {
        config.routes.post("/v1/jobs") { respond(it, "job") { context -> submit(context) } }
        config.routes.get("/v1/jobs/{id}") { respond(it, "status") { context -> read(context) } }
        config.routes.delete("/v1/jobs/{id}") { respond(it, "cancel") { context -> cancel(context) } }
        config.routes.post("/v1/requests") { respond(it, "request") { context -> request(context) } }
    }

    private suspend fun submit(call: HttpCall): Either<Refusal, String> = either {
        val submission = call.body<JobSubmission>().bind()
        checkTeam(call, submission.team)?.let { raise(it) }
        ensure(!dependencies.isStarting()) { STARTING_WITH_ID }
        val view = dependencies.router.submit(submission, submission.deadlineMs, traceParent = call.traceParent).bind()
        encode(if (call.waitMs > 0) awaitEnd(view, call.waitMs, call).bind() else view)
    }

    private suspend fun read(call: HttpCall): Either<Refusal, String> = either {
        val id = call.id.bind()
        encode(dependencies.router.call(JobCall(id, call.teamName, call.waitMs, traceParent = call.traceParent)).bind())
    }

    private suspend fun cancel(call: HttpCall): Either<Refusal, String> = either {
        val id = call.id.bind()
        encode(dependencies.router.call(JobCall(id, call.teamName, cancel = true, traceParent = call.traceParent)).bind())
    }

    private suspend fun request(call: HttpCall): Either<Refusal, String> = either {
        val request = call.body<RequestSubmission>().bind()
        checkTeam(call, request.team)?.let { raise(it) }
        val id = request.id
        val view = (if (id == null) dependencies.local.request(request, call.traceParent) else submitAsJob(request, id, call)).bind()
        val result = view.results?.singleOrNull() ?: raise(Refusal(view.code, view.detail))
        JSON.encodeToString(RequestBody.serializer(), RequestBody(result))
    }

    /** Submits a request that has an id as a job of one task, so that a repetition by the client starts nothing again. */
    private suspend fun submitAsJob(request: RequestSubmission, id: SubmissionId, call: HttpCall): Either<Refusal, JobView> = either {
        ensure(!dependencies.isStarting()) { STARTING_WITH_ID }
        val view = dependencies.router.submit(request.asJob(id), request.deadlineMs, traceParent = call.traceParent).bind()
        awaitEnd(view, request.deadlineMs + DEADLINE_GRACE_MS, call).bind()
    }

    private suspend fun awaitEnd(view: JobView, waitMs: Int, call: HttpCall): Either<Refusal, JobView> = if (view.state.isFinal) {
        view.right()
    } else {
        dependencies.router.call(JobCall(view.id, view.team, waitMs, traceParent = call.traceParent))
    }

    private fun checkTeam(call: HttpCall, team: String): Refusal? =
        Refusal(ResultCode.FORBIDDEN).takeIf { call.teamName != null && call.teamName != team }

    private fun respond(context: Context, kind: String, handle: suspend (HttpCall) -> Either<Refusal, String>) {
        val startNs = System.nanoTime()
        val caller = dependencies.tokens.caller(context.header("Authorization"))
        if (caller == null) {
            context.refuse(Refusal(ResultCode.UNAUTHORIZED))
            return
        }
        val span = dependencies.tracing.start("$kind request", SpanKind.SERVER, context.header("traceparent"))
        val call = HttpCall(context, caller, span.traceParent ?: context.header("traceparent"))
        unanswered.incrementAndGet()
        context.future {
            scope.future {
                val result = handle(call)
                val code = result.fold({ it.code }, { ResultCode.OK })
                span.end(code.name.takeIf { it != ResultCode.OK.name })
                dependencies.metrics.recordResponse(kind, code, (System.nanoTime() - startNs) / NANOS_PER_MS)
                result
            }.thenAccept { result -> result.fold({ context.refuse(it) }, { context.contentType(JSON_TYPE).result(it) }) }
                .whenComplete { _, _ -> unanswered.decrementAndGet() }
        }
    }

    private fun encode(view: JobView): String = JSON.encodeToString(JobView.serializer(), view)

    private companion object {
        const val NANOS_PER_MS = 1_000_000.0

        /** Refusal while this VM starts. Another VM may have started the job, so the code must not mean that it has not run. */
        val STARTING_WITH_ID = Refusal(ResultCode.OWNER_UNREACHABLE, "This VM is still starting; submit again under the same id.")

        /** Time in ms to wait beyond a job's deadline, because its final state arrives shortly after it. */
        const val DEADLINE_GRACE_MS = 500
    }
}

internal const val JSON_TYPE = "application/json"

private val JSON = Json { encodeDefaults = true }

/** A call with its body and parameters. */
internal class HttpCall(val context: Context, caller: Caller, val traceParent: String?) {
    /** Team of the caller, or null for an operator. */
    val teamName: String? = (caller as? Caller.Team)?.name

    val id: Either<Refusal, SubmissionId>
        get() = SubmissionId.parse(context.pathParam("id"))?.right() ?: Refusal(ResultCode.BAD_ID).left()

    /** Time to wait for the end of a job, in ms; 0 if the parameter is absent or invalid. */
    val waitMs: Int
        get() = context.queryParam("waitMs")?.toIntOrNull()?.coerceIn(0, MAX_WAIT_MS) ?: 0

    val text: String = context.body()

    /** Decodes the body; unknown keys are refused. */
    inline fun <reified T> body(): Either<Refusal, T> = try {
        STRICT_JSON.decodeFromString<T>(text).right()
    } catch (e: IllegalArgumentException) {
        Refusal(ResultCode.BAD_BODY, "the body does not decode: ${e.message?.lineSequence()?.first()}").left()
    }

    companion object {
        val STRICT_JSON = Json
        private const val MAX_WAIT_MS = 60_000
    }
}

/** Sends [refusal] as the response. */
internal fun Context.refuse(refusal: Refusal) {
    val response = JsonResponse.refused(refusal.code, refusal.detail)
    status(response.status).contentType(JSON_TYPE).result(response.body)
}
