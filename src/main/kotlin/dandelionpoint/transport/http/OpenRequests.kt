package dandelionpoint.transport.http

import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.server.Handler
import org.eclipse.jetty.server.Request
import org.eclipse.jetty.server.Response
import org.eclipse.jetty.util.Callback
import java.util.concurrent.ConcurrentHashMap

/** The connections on which a request is in progress: from when its headers have been read until its answer has been written. */
internal class OpenRequests : Handler.Wrapper() {
    private val endPoints = ConcurrentHashMap.newKeySet<EndPoint>()

    override fun handle(request: Request, response: Response, callback: Callback): Boolean {
        val endPoint = request.connectionMetaData.connection.endPoint
        endPoints += endPoint
        Request.addCompletionListener(request) { endPoints -= endPoint }
        return super.handle(request, response, callback)
    }

    /** True if a request on [endPoint] is in progress. */
    fun isBusy(endPoint: EndPoint): Boolean = endPoint in endPoints
}
