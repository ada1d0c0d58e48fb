/* Simulates lost answers by closing connections. */
package dandelionpoint.standin.http

import org.eclipse.jetty.server.Request

/** Closes the connection of [request] immediately, so that the caller receives no response or a truncated one. */
internal fun closeConnection(request: Request) {
    request.connectionMetaData.connection.endPoint
        .close()
}
