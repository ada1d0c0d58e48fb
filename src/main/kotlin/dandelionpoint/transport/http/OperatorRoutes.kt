/* Operators' routes that act on this VM: list its view of the workers, drain a worker, and drain the VM for a planned stop. */
package dandelionpoint.transport.http

import dandelionpoint.coordination.placement.Placement
import dandelionpoint.coordination.placement.WorkerStatus
import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.ResultCode
import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

private val audit = KotlinLogging.logger("dandelionpoint.audit")

/**
 * A worker in the operators' list. [held] are the slots that no other VM may use now. [speed] is relative to the mean. [ejectedMs] is the
 * remaining time of an ejection in ms, 0 if none.
 */
@Serializable
internal data class WorkerBody(
    val id: String,
    val dataCentre: String,
    val rack: String,
    val slots: Int,
    val held: Int,
    val busy: Int,
    val speed: Double,
    val leaving: Boolean,
    val drained: Boolean,
    val ejectedMs: Long,
)

/** Routes for operators. [startDrain] begins the planned stop of this VM and returns at once. */
internal class OperatorRoutes(private val tokens: TokenFile, private val placement: Placement, private val startDrain: () -> Unit) {
    /** Adds the routes to [config]. */
    fun addTo(config: JavalinConfig) {
        config.routes.get("/v1/workers") { operatorOnly(it) { workers(it) } }
        config.routes.post("/v1/workers/{id}/drain") { operatorOnly(it) { drainWorker(it) } }
        config.routes.post("/v1/drain") { operatorOnly(it) { drain(it) } }
    }

    private fun operatorOnly(context: Context, handle: () -> Unit) {
        when (tokens.caller(context.header("Authorization"))) {
            is Caller.Operator -> handle()
            is Caller.Team -> context.refuse(Refusal(ResultCode.FORBIDDEN))
            null -> context.refuse(Refusal(ResultCode.UNAUTHORIZED))
        }
    }

    private fun workers(context: Context) {
        context.contentType(JSON_TYPE).result(Json.encodeToString(placement.workers().map { it.toBody() }))
    }

    private fun drainWorker(context: Context) {
        val id = context.pathParam("id")
        placement.drain(id)
        audit.info { "event=worker_drain worker=$id" }
        context.status(ACCEPTED)
    }

    private fun drain(context: Context) {
        audit.info { "event=vm_drain" }
        startDrain()
        context.status(ACCEPTED)
    }

    private fun WorkerStatus.toBody() = WorkerBody(id, dataCentre, rack, slots, held, busy, speed, leaving, drained, ejectedMs)

    private companion object {
        const val ACCEPTED = 202
    }
}
