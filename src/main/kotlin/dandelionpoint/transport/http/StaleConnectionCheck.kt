/*
 * Detects pooled connections that the server has closed before a request is written to them. OkHttp itself checks a connection only
 * after it was idle for 10 s. Without this check, the first calls after a server's restart would have an unknown outcome, although they
 * could have used a new connection.
 */
package dandelionpoint.transport.http

import okhttp3.Interceptor
import okhttp3.MediaType
import okhttp3.Response
import okhttp3.ResponseBody
import okio.BufferedSource
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.net.SocketAddress
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import javax.net.SocketFactory

/** Thrown if the server closed the connection while it was idle; no byte of the request was written. */
internal class StaleConnectionException : IOException("the server closed the idle connection")

/**
 * A response body without a media type. OkHttp would parse the type of each response with regular expressions, and no caller of
 * [HttpChannel] reads it.
 */
private class UntypedBody(private val body: ResponseBody) : ResponseBody() {
    override fun contentType(): MediaType? = null

    override fun contentLength(): Long = body.contentLength()

    override fun source(): BufferedSource = body.source()
}

/** A network interceptor that closes a stale connection and throws [StaleConnectionException]. It leaves out the type of responses. */
internal object StaleConnectionCheck : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        val socket = checkNotNull(chain.connection()).socket()
        if (socket.channel?.isStale() == true) {
            socket.close()
            throw StaleConnectionException()
        }
        val response = chain.proceed(chain.request())
        return response.newBuilder().body(UntypedBody(response.body)).build()
    }

    /** True if the stream has ended or bytes arrived without a request. Does not block; costs three system calls. */
    private fun SocketChannel.isStale(): Boolean = try {
        configureBlocking(false)
        val count = read(ByteBuffer.allocate(1))
        configureBlocking(true)
        count != 0
    } catch (_: IOException) {
        true
    }
}

/**
 * Creates sockets that belong to a channel, which [StaleConnectionCheck] needs. Nagle's algorithm is off, because it would delay the last
 * part of a larger request.
 */
internal object ChannelSocketFactory : SocketFactory() {
    override fun createSocket(): Socket = SocketChannel.open().socket().apply { tcpNoDelay = true }

    override fun createSocket(host: String, port: Int): Socket = createSocket(InetAddress.getByName(host), port)

    override fun createSocket(host: String, port: Int, localHost: InetAddress, localPort: Int): Socket =
        createSocket(InetAddress.getByName(host), port, localHost, localPort)

    override fun createSocket(host: InetAddress, port: Int): Socket = createSocket().apply { connect(address(host, port)) }

    override fun createSocket(address: InetAddress, port: Int, localAddress: InetAddress, localPort: Int): Socket = createSocket().apply {
        bind(address(localAddress, localPort))
        connect(address(address, port))
    }

    private fun address(host: InetAddress, port: Int): SocketAddress = InetSocketAddress(host, port)
}
