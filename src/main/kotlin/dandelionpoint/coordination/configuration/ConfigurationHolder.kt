package dandelionpoint.coordination.configuration

import dandelionpoint.protocol.Clock
import dandelionpoint.protocol.millis
import io.github.oshai.kotlinlogging.KotlinLogging

/** The configuration in force on this VM and the time of its last confirmation. The version never decreases. Thread-safe. */
internal class ConfigurationHolder(private val clock: Clock) {
    private val lock = Any()
    private val listeners = mutableListOf<(Configuration) -> Unit>()

    @Volatile
    private var held: HeldConfiguration? = null

    @Volatile
    private var confirmedAtMs: Long? = null

    /** Version in force, 0 if there is none. */
    val version: Long get() = held?.version ?: 0

    fun current(): HeldConfiguration? = held

    /** Time since the last confirmation, in ms; [Long.MAX_VALUE] if there was none. */
    fun confirmationAgeMs(): Long = confirmedAtMs?.let { clock.millis() - it } ?: Long.MAX_VALUE

    /** Installs [candidate] if its version is higher. Listeners run under the lock, so that they see versions in ascending order. */
    fun install(candidate: HeldConfiguration) = synchronized(lock) {
        val newer = held.orNewer(candidate)
        if (newer !== held) {
            held = newer
            listeners.forEach { notify(it, newer.configuration) }
        }
    }

    /** Records that the version in force was the newest one at [atMs], by the monotonic clock. */
    fun confirm(atMs: Long) = synchronized(lock) {
        confirmedAtMs = maxOf(atMs, confirmedAtMs ?: Long.MIN_VALUE)
    }

    fun onChange(listener: (Configuration) -> Unit) = synchronized(lock) {
        listeners += listener
        held?.let { notify(listener, it.configuration) }
    }

    private fun notify(listener: (Configuration) -> Unit, configuration: Configuration) {
        try {
            listener(configuration)
        } catch (failure: RuntimeException) {
            log.error(failure) { "a listener failed to apply configuration version ${configuration.version}" }
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
    }
}
