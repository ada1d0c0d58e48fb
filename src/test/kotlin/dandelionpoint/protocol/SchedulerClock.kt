package dandelionpoint.protocol

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope

/** A clock that shows the virtual time of [scope], so that the tested code and the coroutines of a test have the same time. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class SchedulerClock(scope: TestScope) : Clock {
    private val scheduler = scope.testScheduler

    override fun wallMs(): Long = scheduler.currentTime

    override fun nanos(): Long = scheduler.currentTime * NANOS_PER_MS

    private companion object {
        const val NANOS_PER_MS = 1_000_000L
    }
}
