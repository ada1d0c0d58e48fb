package dandelionpoint.coordination.ownership

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select

/** Waits for an element, at most [ms]. A timeout, the usual case, creates no exception, unlike `withTimeoutOrNull` around a receive. */
@OptIn(ExperimentalCoroutinesApi::class)
internal suspend fun ReceiveChannel<Unit>.awaitAtMost(ms: Long) = select<Unit> {
    onReceive { }
    onTimeout(ms) { }
}
