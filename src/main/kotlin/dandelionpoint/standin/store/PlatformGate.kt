/* What a call to the platform stand-in passes before its effect and its answer: faults, rate limits, latency. */
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

/** Applies faults, limits and latency to calls. No thread waits for a latency. */
internal class PlatformGate(private val settings: PlatformStandInSettings) : AutoCloseable {
    private val random = Random(settings.seed)
    private val timer = ScheduledThreadPoolExecutor(TIMER_THREADS) { Thread(it, "platform-latency").apply { isDaemon = true } }
    private val unansweredCalls = LongAdder()

    @Volatile
    var faults = PlatformFaults()

    /** Calls that got no answer because of a fault. */
    val unanswered: Long get() = unansweredCalls.sum()

    /** Runs [effect] as a read of [store], which writes the answer. */
    fun read(ctx: Context, outage: Outage, store: LimitedStore, effect: () -> Unit) =
        pass(ctx, outage, store::tryAdmitRead, settings.readLatencyMs) { done ->
            effect()
            done.complete(null)
        }

    /** Runs [effect] as a write of [store]; a share of the answers may be lost after it. */
    fun write(ctx: Context, outage: Outage, store: LimitedStore, effect: () -> Unit) =
        pass(ctx, outage, store::tryAdmitWrite, settings.writeLatencyMs) { done ->
            effect()
            if (isAnswerLost()) breakOff(ctx, done) else done.complete(null)
        }

    /** Runs [effect] as a read of a list, which has no rate limit. */
    fun list(ctx: Context, effect: () -> Unit) = pass(ctx, faults.lists, { true }, settings.readLatencyMs) { done ->
        effect()
        done.complete(null)
    }

    override fun close() {
        timer.shutdownNow()
    }

    private fun pass(ctx: Context, outage: Outage, admit: () -> Boolean, latencyMs: Double, run: (CompletableFuture<Any?>) -> Unit) {
        val isCut = ctx.header(PlatformApi.DATA_CENTRE_HEADER) in faults.cutDataCentres
        when {
            isCut || outage == Outage.SILENT -> later(ctx, NO_ANSWER_HOLD_MS) { breakOff(ctx, it) }
            outage == Outage.REFUSE -> ctx.status(UNAVAILABLE).result("outage")
            !admit() -> ctx.status(TOO_MANY).result("over the rate limit")
            else -> later(ctx, latencyMs + faults.addedLatencyMs, run)
        }
    }

    private fun later(ctx: Context, delayMs: Double, run: (CompletableFuture<Any?>) -> Unit) {
        val done = CompletableFuture<Any?>()
        ctx.future { done }
        val task = { runCatching { run(done) }.onFailure { done.completeExceptionally(it) } }
        timer.schedule(task, (delayMs * NANOS_PER_MS).toLong(), TimeUnit.NANOSECONDS)
    }

    private fun breakOff(ctx: Context, done: CompletableFuture<Any?>) {
        unansweredCalls.increment()
        closeConnection(ServletContextRequest.getServletContextRequest(ctx.req()))
        done.complete(null)
    }

    @Synchronized
    private fun isAnswerLost() = random.nextDouble() < faults.lostAnswerShare

    private companion object {
        const val TIMER_THREADS = 2
        const val NANOS_PER_MS = 1e6
        const val UNAVAILABLE = 503
        const val TOO_MANY = 429

        /** A call without answer is held this long before its connection is closed; longer than any client waits. */
        const val NO_ANSWER_HOLD_MS = 30_000.0
    }
}
