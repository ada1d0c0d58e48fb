/*
 * Lets a caller learn which process is at the other end of a connection before it sends a request there. A connection ends with the
 * process at its other end, so that what an answer on it has shown of that process holds for each later request on it. It says nothing of a
 * process that is reached over another connection, even at the same address.
 */
package dandelionpoint.transport.http

import okhttp3.Connection
import okhttp3.Interceptor
import okhttp3.Request
import okhttp3.Response

/** A condition on the connection that a request is sent on. */
internal interface ConnectionCheck {
    /** The request that has to be sent on [connection] in place of [request], null if [request] may be sent there. */
    fun probeFor(connection: Connection, request: Request): Request?

    /** Applies the [answer] to the probe. Returns false if the request must not be sent, on this or on another connection. */
    fun onProbed(answer: HttpOutcome.Answer): Boolean
}

/** A network interceptor that sends the probe of the request's [ConnectionCheck], if it has one and needs one, in its place. */
internal object ConnectionCheckInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val request = chain.request()
        val gate = checkNotNull(request.tag(WriteGate::class.java))
        val connection = checkNotNull(chain.connection())
        val probe = request.tag(ConnectionCheck::class.java)?.probeFor(connection, request)
        gate.begin(connection, isProbe = probe != null)
        return chain.proceed(probe ?: request)
    }
}
