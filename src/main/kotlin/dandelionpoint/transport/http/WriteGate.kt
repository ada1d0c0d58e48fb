/*
 * Distinguishes exchanges for which no byte was written from those for which some may have been. OkHttp reports the start of the
 * request's head before it writes the first byte. At that moment the exchange is marked as written, or it is stopped if a timeout has
 * abandoned it before. Both sides change one atomic state, so that they never disagree.
 */
package dandelionpoint.transport.http

import okhttp3.Call
import okhttp3.Connection
import okhttp3.EventListener
import okhttp3.Protocol
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Proxy
import java.util.concurrent.atomic.AtomicReference

/** State of an exchange: waiting, then finally either written or abandoned. */
internal class WriteGate {
    private enum class State { WAITING, WRITTEN, ABANDONED }

    private val state = AtomicReference(State.WAITING)

    /** True while a connection is being established, and after an attempt that failed. */
    @Volatile
    var connecting = false

    /** The connection that was used last, null if there was none. */
    @Volatile
    var connection: Connection? = null
        private set

    /** True if a probe is sent on [connection] in place of the request, see [ConnectionCheck]. */
    @Volatile
    var isProbe = false
        private set

    /** The request, or a probe in its place, is about to be written to [connection]. */
    fun begin(connection: Connection, isProbe: Boolean) {
        this.connection = connection
        this.isProbe = isProbe
    }

    /**
     * Marks the exchange as written, unless it is that of a probe. Returns false if it was abandoned before; nothing may be written then.
     */
    fun tryWrite(): Boolean {
        if (isProbe) return state.get() != State.ABANDONED
        return state.compareAndSet(State.WAITING, State.WRITTEN) || state.get() == State.WRITTEN
    }

    /** Abandons the exchange. Returns true if nothing was written; nothing will be written then. */
    fun tryAbandon(): Boolean = state.compareAndSet(State.WAITING, State.ABANDONED) || state.get() == State.ABANDONED
}

/** Passes OkHttp's events of one call to its [WriteGate]. */
internal class WriteGateListener(private val gate: WriteGate) : EventListener() {
    override fun connectStart(call: Call, inetSocketAddress: InetSocketAddress, proxy: Proxy) {
        gate.connecting = true
    }

    override fun connectEnd(call: Call, inetSocketAddress: InetSocketAddress, proxy: Proxy, protocol: Protocol?) {
        gate.connecting = false
    }

    override fun requestHeadersStart(call: Call) {
        if (!gate.tryWrite()) throw IOException("abandoned before the request was written")
    }
}
