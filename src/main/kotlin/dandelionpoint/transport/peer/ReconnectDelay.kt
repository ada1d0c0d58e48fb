/*
 * How long a VM waits before it opens the connection to a peer again: exponential backoff, which ends when the peer opens a connection
 * itself. A process that has just started is then reached at once, however long nothing listened at its address.
 */
package dandelionpoint.transport.peer

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/** The shortest and the longest time, in ms, between the end of a connection, or a failed attempt, and the next attempt. */
internal data class ReconnectRules(val minMs: Long = 100, val maxMs: Long = 1_000)

/** The delays for one address. [awaitNext] and [onConnected] are called by one coroutine. */
internal class ReconnectDelay(private val rules: ReconnectRules = ReconnectRules()) {
    private val seen = Channel<Unit>(Channel.CONFLATED)
    private var nextMs = rules.minMs

    /** Waits until the next attempt is due. */
    suspend fun awaitNext() {
        val waitMs = nextMs
        nextMs = (nextMs * 2).coerceAtMost(rules.maxMs)
        delay(rules.minMs)
        if (waitMs > rules.minMs && withTimeoutOrNull(waitMs - rules.minMs) { seen.receive() } != null) nextMs = rules.minMs
    }

    /** A connection was opened. */
    fun onConnected() {
        nextMs = rules.minMs
        seen.tryReceive()
    }

    /** The peer at the address has opened a connection to this VM: its process listens there. */
    fun onSeen() {
        seen.trySend(Unit)
    }
}
