package dandelionpoint.transport.http

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private const val MAX_CALLS = 4
private const val CALLS = 500
private const val TIMEOUT_S = 10L

/** Guards against calls that take more threads than allowed, wait for ever in the queue, or hang after the client was closed. */
internal class CallThreadsTest :
    DescribeSpec({
        describe("the threads for calls") {
            it("run every call, and no more at a time than allowed") {
                CallThreads(MAX_CALLS).use { threads ->
                    val running = AtomicInteger()
                    val most = AtomicInteger()
                    val done = CountDownLatch(CALLS)
                    repeat(CALLS) {
                        threads.execute {
                            most.accumulateAndGet(running.incrementAndGet(), ::maxOf)
                            Thread.yield()
                            running.decrementAndGet()
                            done.countDown()
                        }
                    }
                    done.await(TIMEOUT_S, TimeUnit.SECONDS) shouldBe true
                    most.get() shouldBeLessThanOrEqual MAX_CALLS
                }
            }

            it("refuse a call after they were closed") {
                val threads = CallThreads(MAX_CALLS)
                threads.close()
                shouldThrow<RejectedExecutionException> { threads.execute { } }
            }
        }
    })
