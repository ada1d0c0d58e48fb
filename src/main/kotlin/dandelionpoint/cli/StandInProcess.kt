/* Shared by the commands that run a stand-in. */
package dandelionpoint.cli

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import java.util.concurrent.CountDownLatch

/** Prints [ready] as one JSON line on stdout and blocks until a signal ends the process. Closes [standIn] on shutdown. */
internal fun runUntilStopped(standIn: AutoCloseable, ready: JsonObject) {
    println(Json.encodeToString(ready))
    System.out.flush()
    Runtime.getRuntime().addShutdownHook(Thread { standIn.close() })
    CountDownLatch(1).await()
}
