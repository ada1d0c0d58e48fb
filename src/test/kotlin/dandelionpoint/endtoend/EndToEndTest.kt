/*
 * Runs a small cluster of real processes and injects failures: entry VMs are killed, paused and stopped, the platform's table becomes
 * unavailable, workers fail. Guards against tasks that start twice, accepted jobs that are lost, and replies that contradict the
 * upstream's record of starts. All scenarios share one cluster and run in the order given here.
 */
package dandelionpoint.endtoend

import io.kotest.core.spec.style.DescribeSpec

class EndToEndTest :
    DescribeSpec({
        val cluster = autoClose(TestCluster())
        beforeSpec {
            // Kotest does not call autoClose if beforeSpec fails, and the child processes would keep running.
            runCatching { cluster.start() }.onFailure { cluster.close() }.getOrThrow()
        }
        beforeEach { cluster.restore() }
        include(startOnceScenarios(cluster))
        include(pauseScenarios(cluster))
        include(platformScenarios(cluster))
        include(stopScenarios(cluster))
        include(workerScenarios(cluster))
        include(configurationScenarios(cluster))
        include(combinedFailureScenarios(cluster))
    })
