package dandelionpoint.cli

import sun.misc.Signal
import java.util.concurrent.atomic.AtomicBoolean

/**
 * SIGHUP requests a reload of the settings. Without a handler it ends the JVM, so that the handler is installed before anything else is
 * done; a request that comes during the start is kept.
 */
internal object ReloadSignal {
    private val isRequested = AtomicBoolean()

    fun install() {
        Signal.handle(Signal("HUP")) { isRequested.set(true) }
    }

    /** True if a reload has been requested since the last call. */
    fun take(): Boolean = isRequested.getAndSet(false)
}
