package dandelionpoint.transport.http

import okhttp3.Connection

/** Outcome of an HTTP exchange, as observed by the sender of the request. */
internal sealed interface HttpOutcome {
    /** A complete response, which was read from [connection]. */
    class Answer(val status: Int, val body: ByteArray, val connection: Connection? = null) : HttpOutcome

    /** No byte of the request was written, and none will be. [unreachable] is true if no connection could be established. */
    data class NotWritten(val reason: String, val unreachable: Boolean) : HttpOutcome

    /** At least one byte may have been written, and no complete response came. [status] is set if the response's head came. */
    data class Lost(val reason: String, val status: Int? = null) : HttpOutcome
}
