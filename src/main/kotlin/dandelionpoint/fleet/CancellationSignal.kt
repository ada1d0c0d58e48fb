/* Tells the work for one request that its client no longer waits, whichever of the two begins first. */
package dandelionpoint.fleet

/** The cancellation of one request. A cancellation that comes before the work has registered reaches it when it does. */
internal class CancellationSignal {
    private var isCancelled = false
    private var listener: (() -> Unit)? = null

    /** The client no longer waits. Only the first call counts. */
    fun cancel() {
        val registered = synchronized(this) {
            if (isCancelled) return
            isCancelled = true
            listener
        }
        registered?.invoke()
    }

    /** Calls [listener] once when the request is cancelled, at once if it has been. */
    fun onCancel(listener: () -> Unit) {
        val isTooLate = synchronized(this) {
            this.listener = listener
            isCancelled
        }
        if (isTooLate) listener()
    }
}
