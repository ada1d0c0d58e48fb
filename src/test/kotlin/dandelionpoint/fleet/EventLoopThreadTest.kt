package dandelionpoint.fleet

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext

private const val NAME = "event-loop-test"

/** Guards against coroutines of a VM that run on several threads at once, and against a failure that ends the loop of all others. */
internal class EventLoopThreadTest :
    DescribeSpec({
        describe("an event loop") {
            it("runs its coroutines on its thread, after timers and after work on other threads") {
                val scope = CoroutineScope(startEventLoopThread(NAME) + SupervisorJob())
                val threads = scope.async {
                    val first = Thread.currentThread()
                    delay(1)
                    val second = Thread.currentThread()
                    withContext(Dispatchers.IO) { Thread.sleep(1) }
                    listOf(first, second, Thread.currentThread())
                }.await()
                threads.map { it.name.substringBefore(" @") }.toSet() shouldBe setOf(NAME)
                threads.toSet().size shouldBe 1
                scope.cancel()
            }

            it("goes on after a coroutine has failed, and after a scope has been cancelled") {
                val loop = startEventLoopThread(NAME)
                val failed = CoroutineScope(loop + SupervisorJob() + CoroutineExceptionHandler { _, _ -> })
                failed.launch { throw StackOverflowError("injected fault") }.join()
                failed.cancel()
                CoroutineScope(loop).async { 1 }.await() shouldBe 1
            }
        }
    })
