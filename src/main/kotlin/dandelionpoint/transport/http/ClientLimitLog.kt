package dandelionpoint.transport.http

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder

private val log = KotlinLogging.logger {}

/** Counts how often clients have reached each limit, and logs at most one line a minute for each limit. [nowNs] is a monotonic clock. */
internal class ClientLimitLog(private val nowNs: () -> Long = System::nanoTime, private val write: (String) -> Unit = { log.warn { it } }) {
    private class Counter {
        val count = LongAdder()
        val lastLineNs = AtomicLong(NEVER)
    }

    private val counters = ClientLimit.entries.associateWith { Counter() }

    fun onReached(limit: ClientLimit) {
        val counter = counters.getValue(limit)
        counter.count.increment()
        val now = nowNs()
        val last = counter.lastLineNs.get()
        if ((last != NEVER && now - last < LINE_INTERVAL_NS) || !counter.lastLineNs.compareAndSet(last, now)) return
        write("event=client_limit limit=${limit.label} reached=${counter.count.sum()}")
    }

    /** How often each limit was reached since the start. */
    fun counts(): Map<ClientLimit, Long> = counters.mapValues { (_, counter) -> counter.count.sum() }

    private companion object {
        const val NEVER = Long.MIN_VALUE
        const val LINE_INTERVAL_NS = 60_000_000_000L
    }
}
