package dandelionpoint.fleet

import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import java.util.concurrent.CompletableFuture
import kotlin.coroutines.ContinuationInterceptor
import kotlin.coroutines.CoroutineContext

/**
 * Starts a daemon thread with [name] and returns the dispatcher of its event loop, which also resumes its coroutines after a delay; the
 * ends of timeouts come from a thread of the library. Handing a coroutine to the loop from its own thread takes no lock and wakes no
 * thread. The loop ends with the process.
 */
internal fun startEventLoopThread(name: String): CoroutineContext {
    val dispatcher = CompletableFuture<CoroutineContext>()
    val loop = Runnable {
        runBlocking {
            dispatcher.complete(coroutineContext[ContinuationInterceptor])
            awaitCancellation()
        }
    }
    Thread(loop, name).apply { isDaemon = true }.start()
    return dispatcher.get()
}
