/*
 * What the clients of a VM may hold, one of them and all together, as plain values. A client is one connection: a load balancer hides the
 * address of the client behind it. Sizes are in bytes, times in ms. docs/design/client-limits.md says why the defaults are what they are.
 */
package dandelionpoint.transport.http

import java.util.concurrent.atomic.AtomicLong

/** The limits that a client can reach. [label] names the limit in log lines and counters. */
internal enum class ClientLimit(val label: String) {
    CONNECTIONS("connections"),
    HEADER_FIELDS("header_fields"),
    BODY_BYTES("body_bytes"),
    JSON_VALUES("json_values"),
    UNFINISHED_BYTES("unfinished_bytes"),
    PARSED_BYTES("parsed_bytes"),
    RECEIVE_TIME("receive_time"),
    ANSWER_TIME("answer_time"),
}

/**
 * Limits on clients.
 *
 * @property connections connections of all clients; no further one is accepted until one of them is closed
 * @property readinessConnections connections to the listener of the readiness check
 * @property unfinishedBytes what all clients together may hold in requests that are not complete
 * @property parsedBytes what all clients together may hold in requests that are being parsed and in jobs that wait for their end
 * @property bodyBytes longest body of a request
 * @property headerBytes longest header of a request
 * @property headerFields largest number of fields of a header
 * @property jsonValues largest number of values in the body of a request
 * @property receiveMs longest time from the first byte of a request to its last one
 * @property answerMs longest time from the first byte of an answer until the client's system has taken its last one
 * @property idleMs time after which a connection is closed that is not in use
 * @property crowdedIdleMs the same while no further connection is accepted
 * @property readinessCrowdedIdleMs the same at the listener of the readiness check, whose clients send their request at once
 */
internal data class ClientLimits(
    val connections: Int = 1_006,
    val readinessConnections: Int = 32,
    val unfinishedBytes: Long = 12L * MB,
    val parsedBytes: Long = 16L * MB,
    val bodyBytes: Int = 262_144,
    val headerBytes: Int = 16_384,
    val headerFields: Int = 128,
    val jsonValues: Int = 32_768,
    val receiveMs: Long = 5_000,
    val answerMs: Long = 5_000,
    val idleMs: Long = 60_000,
    val crowdedIdleMs: Long = 3_000,
    val readinessCrowdedIdleMs: Long = 250,
) {
    companion object {
        private const val MB = 1_048_576

        /** What the process needs beside its heap, in MB: threads, code and classes. */
        private const val OUTSIDE_HEAP_MB = 64

        /** Heap that one connection takes while no request is in progress on it, with a margin, in bytes. */
        private const val CONNECTION_BYTES = 16_384L

        /** Share of the memory that connections, unfinished requests and parsed requests may take, each as its divisor. */
        private const val CONNECTIONS_SHARE = 6
        private const val UNFINISHED_SHARE = 8
        private const val PARSED_SHARE = 6

        /** The limits of a process with [memoryMb] MB in all, a heap of [heapBytes] bytes, and descriptors for [sockets] sockets. */
        fun of(memoryMb: Int, heapBytes: Long, sockets: Int): ClientLimits {
            val memory = minOf(heapBytes, (memoryMb - OUTSIDE_HEAP_MB).toLong() * MB)
            return ClientLimits(
                connections = minOf(sockets / 2L, memory / CONNECTIONS_SHARE / CONNECTION_BYTES).toInt(),
                readinessConnections = minOf(32, sockets / 8),
                unfinishedBytes = memory / UNFINISHED_SHARE,
                parsedBytes = memory / PARSED_SHARE,
            )
        }
    }
}

/**
 * An amount that all clients share. A client that holds at most [smallBytes] may use all of [limit]; what any other client adds must leave
 * a quarter of it free. So the refused ones are first those that hold much, and an ordinary request finds room beside them.
 */
internal class SharedAmount(private val limit: Long, private val smallBytes: Long) {
    private val held = AtomicLong()

    /** Adds [bytes] for a client that then holds [ofClient] of this amount; false, without any effect, if they must be refused. */
    fun add(bytes: Long, ofClient: Long): Boolean {
        val allowed = if (ofClient <= smallBytes) limit else limit - limit / RESERVED_SHARE
        val isAdded = held.addAndGet(bytes) <= allowed
        if (!isAdded) held.addAndGet(-bytes)
        return isAdded
    }

    fun remove(bytes: Long) {
        if (bytes > 0) held.addAndGet(-bytes)
    }

    /** True if not even a client that holds little finds room. */
    fun isFull(): Boolean = held.get() + smallBytes > limit

    /** What all clients hold. */
    fun held(): Long = held.get()

    private companion object {
        const val RESERVED_SHARE = 4
    }
}

/** The budget of a process for all of its clients. [onReached] is told of each limit that a client has reached. */
internal class ClientBudget(val limits: ClientLimits, val onReached: (ClientLimit) -> Unit = {}) {
    val unfinished = SharedAmount(limits.unfinishedBytes, SMALL_BYTES)
    val parsed = SharedAmount(limits.parsedBytes, SMALL_BYTES)

    private companion object {
        /** More than an ordinary request needs: about 300 bytes of body and ten header fields, and its job. */
        const val SMALL_BYTES = 8_192L
    }
}

/** What one client holds of [budget]. Thread-safe. */
internal class ClientHolding(private val budget: ClientBudget) {
    private var unfinished = 0L
    private var parsed = 0L
    private var isClosed = false

    /** Adds [bytes] of a request that is not complete; false if they must be refused. */
    @Synchronized
    fun addUnfinished(bytes: Long): Boolean {
        if (isClosed) return false
        val isAdded = budget.unfinished.add(bytes, unfinished + bytes)
        if (isAdded) unfinished += bytes else budget.onReached(ClientLimit.UNFINISHED_BYTES)
        return isAdded
    }

    /** Replaces what this client holds in a parsed request by [bytes]; false, without any effect, if they must be refused. */
    @Synchronized
    fun setParsed(bytes: Long): Boolean {
        if (isClosed) return false
        val more = bytes - parsed
        val isSet = more <= 0 || budget.parsed.add(more, bytes)
        if (more < 0) budget.parsed.remove(-more)
        if (isSet) parsed = bytes else budget.onReached(ClientLimit.PARSED_BYTES)
        return isSet
    }

    /** Removes [bytes] that were added before and are no longer kept. */
    @Synchronized
    fun removeUnfinished(bytes: Long) {
        if (isClosed) return
        budget.unfinished.remove(bytes)
        unfinished -= bytes
    }

    /** The connection is closed: everything is given back, and nothing is added any more by a thread that still handles a request. */
    @Synchronized
    fun close() {
        release()
        isClosed = true
    }

    /** The request is answered. */
    @Synchronized
    fun release() {
        budget.unfinished.remove(unfinished)
        unfinished = 0
        budget.parsed.remove(parsed)
        parsed = 0
    }
}
