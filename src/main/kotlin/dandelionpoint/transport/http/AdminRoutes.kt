/* Administration routes: presets, teams, configuration and its history. For operators only, except that a team may read its own quota. */
package dandelionpoint.transport.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import dandelionpoint.coordination.configuration.ChangePropagation
import dandelionpoint.coordination.configuration.Configuration
import dandelionpoint.coordination.configuration.ConfigurationService
import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.ResultCode
import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.future

/** Adds the administration routes to a server. Requests run in [scope] and do not block a thread while they wait. */
internal class AdminRoutes(
    private val configuration: ConfigurationService,
    private val tokens: TokenFile,
    private val scope: CoroutineScope,
    private val audit: AuditLog = AuditLog(),
) {
    /** Adds the routes; to be called in the `create` block of the server: `AdminRoutes(...).addTo(config.routes)`. */
    fun addTo(routes: RoutesConfig) {
        routes.get("/v1/presets") { context -> read(context) { JsonResponse.ok(it.presetList()) } }
        routes.get("/v1/presets/{name}") { context -> read(context) { presetResponse(it, context.pathParam("name")) } }
        routes.put("/v1/presets/{name}") { context -> change(context, "putPreset", AdminBodies::putPreset) }
        routes.post("/v1/presets/{name}/activate") { context -> change(context, "activatePreset", AdminBodies::activatePreset) }
        routes.get("/v1/teams") { context ->
            read(context) { JsonResponse.ok(TeamListView(it.version, it.teams.values.sortedBy { t -> t.name })) }
        }
        routes.get("/v1/teams/{name}") { context ->
            val name = context.pathParam("name")
            read(context, mayCall = { it is Caller.Operator || it == Caller.Team(name) }) { teamResponse(it, name) }
        }
        routes.put("/v1/teams/{name}") { context -> change(context, "putTeam", AdminBodies::putTeam) }
        routes.get("/v1/config") { context ->
            if (context.queryParam("fresh") == "true") readFresh(context) else read(context) { configResponse(it) }
        }
        routes.get("/v1/config/history") { context -> readHistory(context) }
    }

    private fun read(
        context: Context,
        mayCall: (Caller) -> Boolean = { it is Caller.Operator },
        toResponse: (Configuration) -> JsonResponse,
    ) {
        if (authorise(context, mayCall) == null) return
        context.send(configuration.current()?.let(toResponse) ?: JsonResponse.refused(ResultCode.STARTING))
    }

    private fun change(context: Context, kind: String, parse: (String, String) -> Either<Refusal, ChangeRequest>) {
        val caller = authorise(context) ?: return
        val author = (caller as Caller.Operator).name
        val name = context.pathParam("name")
        val waitMs = integerParam(context, "waitMs", 0, 0..MAX_WAIT_MS)
        // The body is read on the server's thread, so that a client that sends it slowly does not block the coroutine dispatcher.
        val request = if (waitMs == null) INVALID_WAIT_MS.left() else AdminBodies.readText(context).flatMap { parse(name, it) }
        respond(context, ResultCode.CHANGE_UNKNOWN) {
            when (request) {
                is Either.Left -> {
                    audit.change(author, kind, name, request.value.code, version = null)
                    JsonResponse.refused(request.value.code, request.value.detail)
                }

                is Either.Right -> {
                    applyChange(request.value, author, kind, name, waitMs ?: 0)
                }
            }
        }
    }

    private suspend fun applyChange(request: ChangeRequest, author: String, kind: String, name: String, waitMs: Int): JsonResponse {
        val outcome = configuration.change(request.change, request.expectedVersion, author)
        audit.change(author, kind, name, outcome.fold({ it.code }, { ResultCode.OK }), outcome.getOrNull()?.version)
        return when (outcome) {
            is Either.Left -> JsonResponse.refused(outcome.value)

            is Either.Right -> {
                val applied = outcome.value
                val status = awaitInForce(applied.version, waitMs)
                JsonResponse.ok(ChangeView(applied.version, applied.activePreset, status.inForceViews(), status.unconfirmedViews()))
            }
        }
    }

    /** Waits until every known VM has confirmed [version], at most [waitMs], and returns the last state. */
    private suspend fun awaitInForce(version: Long, waitMs: Int): ChangePropagation {
        repeat(waitMs / IN_FORCE_POLL_MS) {
            val status = configuration.propagation(version)
            if (status.unconfirmed.isEmpty()) return status
            delay(IN_FORCE_POLL_MS.toLong())
        }
        return configuration.propagation(version)
    }

    private fun readHistory(context: Context) {
        if (authorise(context) == null) return
        val limit = integerParam(context, "limit", default = 100, 1..MAX_HISTORY)
        respond(context, ResultCode.TABLE_UNAVAILABLE) {
            if (limit == null) {
                return@respond JsonResponse.refused(ResultCode.BAD_BODY, "limit is not a whole number from 1 to $MAX_HISTORY.")
            }
            configuration
                .history(limit)
                .map { JsonResponse.ok(HistoryView(it)) }
                .getOrElse { JsonResponse.refused(ResultCode.TABLE_UNAVAILABLE, "The history could not be read: ${it.reason}.") }
        }
    }

    /** Reads the table before it responds, because this VM may be some seconds behind a change that the caller made through another VM. */
    private fun readFresh(context: Context) {
        if (authorise(context) == null) return
        respond(context, ResultCode.TABLE_UNAVAILABLE) {
            configuration
                .refresh()
                .map { configuration.current()?.let(::configResponse) ?: JsonResponse.refused(ResultCode.STARTING) }
                .getOrElse { JsonResponse.refused(ResultCode.TABLE_UNAVAILABLE, "The newest version could not be read: ${it.reason}.") }
        }
    }

    private fun configResponse(current: Configuration): JsonResponse {
        val status = configuration.propagation(current.version)
        val age = configuration.confirmationAgeMs().takeIf { it != Long.MAX_VALUE }
        return JsonResponse.ok(ConfigView(current.version, current.activePreset, age, status.inForceViews(), status.unconfirmedViews()))
    }

    /** Returns the caller if its token is valid and [mayCall] holds; otherwise sends the refusal and returns null. */
    private fun authorise(context: Context, mayCall: (Caller) -> Boolean = { it is Caller.Operator }): Caller? {
        val caller = tokens.caller(context.header("Authorization"))
        when {
            caller == null -> context.send(JsonResponse.refused(ResultCode.UNAUTHORIZED))
            !mayCall(caller) -> context.send(JsonResponse.refused(ResultCode.FORBIDDEN, "This call needs an operator's token."))
            else -> return caller
        }
        return null
    }

    /** Sends the result of [handler] without blocking a thread. An exception in it is logged, and [onError] is sent. */
    private fun respond(context: Context, onError: ResultCode, handler: suspend () -> JsonResponse) =
        context.future { scope.future { context.send(resultOrError(onError, handler)) } }

    private suspend fun resultOrError(onError: ResultCode, handler: suspend () -> JsonResponse): JsonResponse = try {
        handler()
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failure: Exception) {
        log.error(failure) { "an administration request failed" }
        JsonResponse.refused(onError)
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val MAX_WAIT_MS = 15_000
        const val MAX_HISTORY = 1_000
        const val IN_FORCE_POLL_MS = 100
        val INVALID_WAIT_MS = Refusal(ResultCode.BAD_BODY, "waitMs is not a whole number from 0 to $MAX_WAIT_MS.")
    }
}

private fun Configuration.presetList() = PresetListView(version, activePreset, presets.values.sortedBy { it.name })

private fun presetResponse(current: Configuration, name: String): JsonResponse {
    val preset = current.presets[name] ?: return JsonResponse.refused(ResultCode.UNKNOWN_PRESET)
    return JsonResponse.ok(PresetView(current.version, name == current.activePreset, preset))
}

private fun teamResponse(current: Configuration, name: String): JsonResponse {
    val team = current.teams[name] ?: return JsonResponse.refused(ResultCode.UNKNOWN_TEAM)
    return JsonResponse.ok(TeamView(current.version, team))
}

/** Returns the query parameter [name], [default] if it is absent, or null if it is not a whole number in [range]. */
private fun integerParam(context: Context, name: String, default: Int, range: IntRange): Int? {
    val text = context.queryParam(name) ?: return default
    return text.toIntOrNull()?.takeIf { it in range }
}

private fun Context.send(response: JsonResponse) {
    status(response.status).contentType("application/json").result(response.body)
}
