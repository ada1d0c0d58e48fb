package dandelionpoint.protocol

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope

/** The virtual time of [scope], so that rules and coroutines of a test agree on it. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class SchedulerClock(private val scope: TestScope) : Clock {
    override fun wallMs(): Long = scope.testScheduler.currentTime

    override fun nanos(): Long = scope.testScheduler.currentTime * NANOS_PER_MS

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}
