package dandelionpoint.transport.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.LongAdder

private val log = KotlinLogging.logger {}

/** Counts refused peer connections, and logs the first ones and then at most one a minute. [nowNs] is a monotonic clock. */
internal class RefusalLog(private val nowNs: () -> Long = System::nanoTime, private val write: (String) -> Unit = { log.warn { it } }) {
    private val count = LongAdder()
    private val lastLineNs = AtomicLong(nowNs())

    fun onRefused(connection: String, reason: String?) {
        count.increment()
        val now = nowNs()
        val last = lastLineNs.get()
        val total = count.sum()
        if ((total > FIRST_LINES && now - last < LINE_INTERVAL_NS) || !lastLineNs.compareAndSet(last, now)) return
        write("event=peer_refused connection=\"$connection\" reason=\"$reason\" refused=$total")
    }

    private companion object {
        /** Refusals that are all logged: more than a start with peers of another version causes. */
        const val FIRST_LINES = 50
        const val LINE_INTERVAL_NS = 60_000_000_000L
    }
}
