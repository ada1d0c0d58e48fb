package dandelionpoint.transport.store

import dandelionpoint.protocol.store.PlatformApi
import dandelionpoint.protocol.store.VmEntry
import io.javalin.Javalin
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldNotBeNull

private fun entry(id: String, change: (String) -> String = { it }) = change(
    """{"id":"$id","role":"WORKER","region":"r","dataCentre":"akl-a","host":"10.0.0.9","port":8080,"slots":4,"unknown":"[{"}""",
)

private val ODD_ENTRIES = listOf(
    entry("odd") { it.replace("8080", "65536") },
    entry("odd") { it.replace("8080", "-1") },
    entry("odd") { it.replace("8080", "1e400") },
    entry("odd") { it.replace("8080", "99999999999") },
    entry("odd") { it.replace("\"slots\":4", "\"slots\":-4") },
    entry("odd") { it.replace("\"slots\":4", "\"slots\":2147483647") },
    entry("odd") { it.replace("10.0.0.9", "a b") },
    entry("odd") { it.replace("10.0.0.9", "") },
    entry("odd") { it.replace("WORKER", "OTHER") },
    entry("odd") { it.replace("\"[{\"", "[".repeat(30_000) + "]".repeat(30_000)) }.replace("\"id\"", "\"name\""),
    "7", "null", "[]", "{}", "\"a\"", "[".repeat(30_000) + "]".repeat(30_000),
)

/** Guards against a list of VMs that is no longer followed because one of its entries is odd. */
internal class HttpPlatformDirectoryTest :
    DescribeSpec({
        describe("the list of VMs") {
            it("is read without the entries that cannot be used, and with all others") {
                var body = ""
                val server = Javalin.create { config ->
                    config.startup.showJavalinBanner = false
                    config.routes.get(PlatformApi.VMS) { it.result(body) }
                }.start("127.0.0.1", 0)
                val client = PlatformClient(PlatformClientSettings("http://127.0.0.1:${server.port()}", timeoutMs = 10_000))
                val directory = HttpPlatformDirectory(client)
                ODD_ENTRIES.forEach { odd ->
                    withClue(odd.take(200)) {
                        body = "[" + listOf(entry("w-1"), odd, entry("w-2")).joinToString(", ") + "]"
                        directory.vms().getOrNull().shouldNotBeNull().map(VmEntry::id) shouldContainExactly listOf("w-1", "w-2")
                    }
                }
                client.close()
                server.stop()
            }
        }
    })
