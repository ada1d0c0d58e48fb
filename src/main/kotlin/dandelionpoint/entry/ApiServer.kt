/* The HTTP server of an entry VM: the interfaces of callers and operators, health and metrics, with limits on what a caller may send. */
package dandelionpoint.entry

import dandelionpoint.observability.Metrics
import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.ResultCode
import dandelionpoint.protocol.peer.ServingState
import dandelionpoint.settings.Limits
import dandelionpoint.transport.http.JobRoutes
import dandelionpoint.transport.http.refuse
import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import io.javalin.http.HttpResponseException
import org.eclipse.jetty.http.BadMessageException
import org.eclipse.jetty.server.ServerConnector

private val log = KotlinLogging.logger {}

/** Sources of what the health and metrics routes show. */
internal class HealthSources(val state: () -> ServingState, val metrics: Metrics)

/** HTTP server; [addRoutes] adds further routes. */
internal class ApiServer(
    private val limits: Limits,
    private val jobs: JobRoutes,
    private val health: HealthSources,
    private val addRoutes: (JavalinConfig) -> Unit,
) {
    private val server: Javalin = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.http.maxRequestSize = limits.bodyBytes.toLong()
        config.jetty.modifyHttpConfiguration {
            it.requestHeaderSize = limits.headerBytes
            it.sendServerVersion = false
            it.minRequestDataRate = MIN_BYTES_PER_SECOND
        }
        config.jetty.modifyServer { server ->
            server.connectors.filterIsInstance<ServerConnector>().forEach { it.idleTimeout = limits.waitMs + IDLE_MARGIN_MS }
        }
        addHealth(config)
        jobs.addTo(config)
        addRoutes(config)
        addErrors(config)
    }

    private fun addHealth(config: JavalinConfig) {
        config.routes.get("/health/live") { it.result("alive") }
        config.routes.get("/health/ready") { context ->
            val state = health.state()
            val isReady = state == ServingState.SERVING || state == ServingState.SERVING_CUT_OFF
            context.status(if (isReady) READY else NOT_READY).result(state.name.lowercase().replace('_', ' '))
        }
        config.routes.get("/metrics") { it.contentType("text/plain; version=0.0.4").result(health.metrics.scrape()) }
    }

    private fun addErrors(config: JavalinConfig) {
        config.routes.exception(HttpResponseException::class.java) { e, context ->
            if (e.status == BODY_TOO_LARGE) {
                context.refuse(Refusal(ResultCode.BODY_TOO_LARGE))
            } else {
                context.status(e.status).result(e.message.orEmpty())
            }
        }
        config.routes.exception(BadMessageException::class.java) { e, context ->
            val code = if (e.code == REQUEST_TIMEOUT) ResultCode.TOO_SLOW else ResultCode.BAD_BODY
            context.refuse(Refusal(code))
        }
        config.routes.exception(Exception::class.java) { e, context ->
            log.error(e) { "event=request_failed path=${context.path()}" }
            context.status(INTERNAL_ERROR).result("internal error; the request may have run")
        }
    }

    /** Binds the port, any free one for port 0, and starts to serve. Returns the port. */
    fun start(host: String, port: Int): Int = server.start(host, port).port()

    /** Stops serving and closes the port. */
    fun stop() {
        server.stop()
    }

    private companion object {
        /**
         * A body that arrives more slowly is refused with 408, so that slow clients cannot occupy connections. Jetty counts from the
         * first read, so a higher bound refused bodies of 300 bytes when this process was not scheduled on a CPU for 0.4 s.
         */
        const val MIN_BYTES_PER_SECOND = 32L

        /** An idle connection is closed this much later than the longest wait for a job ends. */
        const val IDLE_MARGIN_MS = 15_000L
        const val READY = 200
        const val NOT_READY = 503
        const val REQUEST_TIMEOUT = 408
        const val BODY_TOO_LARGE = 413
        const val INTERNAL_ERROR = 500
    }
}
