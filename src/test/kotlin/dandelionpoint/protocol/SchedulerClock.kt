package dandelionpoint.protocol

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope

/** A clock that shows the virtual time of [scope], so that the tested code and the coroutines of a test have the same time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class SchedulerClock(private val scope: TestScope) : Clock {
    override fun wallMs(): Long = scope.testScheduler.currentTime

    override fun nanos(): Long = scope.testScheduler.currentTime * NANOS_PER_MS

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}
