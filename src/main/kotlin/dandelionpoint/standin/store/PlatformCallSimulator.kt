/* Simulates faults, rate limits and latency for calls to the platform stand-in. */
package dandelionpoint.standin.store

import dandelionpoint.protocol.store.PlatformApi
import dandelionpoint.standin.http.closeConnection
import io.javalin.http.Context
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.LongAdder
import kotlin.random.Random

/** Applies faults, rate limits and latency to each call before its effect. Delays are timed, so that they do not block a thread. */
internal class PlatformCallSimulator(private val settings: PlatformStandInSettings) : AutoCloseable {
    private val random = Random(settings.seed)
    private val timer = ScheduledThreadPoolExecutor(TIMER_THREADS) { Thread(it, "platform-latency").apply { isDaemon = true } }
    private val unansweredCalls = LongAdder()

    @Volatile
    var faults = PlatformFaults()

    /** Number of calls that got no answer because of a fault. */
    val unanswered: Long get() = unansweredCalls.sum()

    /** Runs [effect], which writes the answer, as a read of [store]. */
    fun read(ctx: Context, outage: Outage, store: LimitedStore, effect: () -> Unit) =
        process(ctx, outage, store::tryAdmitRead, settings.readLatencyMs) { done ->
            effect()
            done.complete(null)
        }

    /** Runs [effect] as a write of [store]. Afterwards the answer is lost with the probability [PlatformFaults.lostAnswerShare]. */
    fun write(ctx: Context, outage: Outage, store: LimitedStore, effect: () -> Unit) =
        process(ctx, outage, store::tryAdmitWrite, settings.writeLatencyMs) { done ->
            effect()
            if (shouldLoseAnswer()) closeUnanswered(ctx, done) else done.complete(null)
        }

    /** Runs [effect] as a read of a list, which has no rate limit. */
    fun list(ctx: Context, effect: () -> Unit) = process(ctx, faults.lists, { true }, settings.readLatencyMs) { done ->
        effect()
        done.complete(null)
    }

    override fun close() {
        timer.shutdownNow()
    }

    private fun process(ctx: Context, outage: Outage, admit: () -> Boolean, latencyMs: Double, run: (CompletableFuture<Any?>) -> Unit) {
        val isCut = ctx.header(PlatformApi.DATA_CENTRE_HEADER) in faults.cutDataCentres
        when {
            isCut || outage == Outage.SILENT -> schedule(ctx, UNANSWERED_CLOSE_MS) { closeUnanswered(ctx, it) }
            outage == Outage.REFUSE -> ctx.status(UNAVAILABLE).result("outage")
            !admit() -> ctx.status(TOO_MANY_REQUESTS).result("over the rate limit")
            else -> schedule(ctx, latencyMs + faults.addedLatencyMs, run)
        }
    }

    private fun schedule(ctx: Context, delayMs: Double, run: (CompletableFuture<Any?>) -> Unit) {
        val done = CompletableFuture<Any?>()
        ctx.future { done }
        val task = { runCatching { run(done) }.onFailure { done.completeExceptionally(it) } }
        timer.schedule(task, (delayMs * NANOS_PER_MS).toLong(), TimeUnit.NANOSECONDS)
    }

    private fun closeUnanswered(ctx: Context, done: CompletableFuture<Any?>) {
        unansweredCalls.increment()
        closeConnection(ServletContextRequest.getServletContextRequest(ctx.req()))
        done.complete(null)
    }

    @Synchronized
    private fun shouldLoseAnswer() = random.nextDouble() < faults.lostAnswerShare

    private companion object {
        const val TIMER_THREADS = 2
        const val NANOS_PER_MS = 1e6
        const val UNAVAILABLE = 503
        const val TOO_MANY_REQUESTS = 429

        /** Time in ms until the connection of an unanswered call is closed; longer than any client waits. */
        const val UNANSWERED_CLOSE_MS = 30_000.0
    }
}
