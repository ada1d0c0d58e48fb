package dandelionpoint.transport.http

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import dandelionpoint.coordination.configuration.Cluster
import dandelionpoint.coordination.configuration.WriteFault
import io.javalin.Javalin
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.slf4j.LoggerFactory

private const val OPERATOR = "operator-token-0001"
private const val TEAM = "team-token-00000002"

/**
 * Guards against administration requests that succeed without permission, and against two operators who overwrite each other's change
 * because both started from the same version. Also guards against a change that is reported as refused although it may have been applied,
 * which can happen when the table's answer is lost, and against tokens that a log line reveals.
 */
class AdminRoutesTest :
    DescribeSpec({
        val cluster = Cluster(size = 1)
        val tokens = checkNotNull(TokenFile.parse("tokens", "$OPERATOR operator:ana\n$TEAM lookups").getOrNull())
        val routes = AdminRoutes(cluster.vms[0], tokens, CoroutineScope(Dispatchers.Default))
        val server = Javalin.create { routes.addTo(it.routes) }.start("127.0.0.1", 0)
        val client = OkHttpClient()
        val events = ListAppender<ILoggingEvent>().apply { start() }
        val logger = LoggerFactory.getLogger("dandelionpoint") as Logger
        logger.addAppender(events)
        logger.level = Level.TRACE
        afterSpec {
            logger.detachAppender(events)
            logger.level = null
            server.stop()
        }

        fun call(method: String, path: String, body: String? = null, token: String? = OPERATOR): Pair<Int, String> {
            val request = Request.Builder().url("http://127.0.0.1:${server.port()}$path").method(method, body?.toRequestBody())
            if (token != null) request.header("Authorization", "Bearer $token")
            return client.newCall(request.build()).execute().use { it.code to it.body.string() }
        }

        describe("a VM without a configuration") {
            it("responds with STARTING and does not make up a configuration") {
                call("GET", "/v1/config").let { (status, body) -> status to body.contains("STARTING") } shouldBe (503 to true)
                cluster.vms[0].refresh()
                call("GET", "/v1/config").first shouldBe 200
            }
        }

        describe("tokens") {
            it("are required, and a team's token can change nothing and read only the quota of its own team") {
                call("GET", "/v1/presets", token = null).first shouldBe 401
                call("GET", "/v1/presets", token = "$OPERATOR-").first shouldBe 401
                call("GET", "/v1/presets", token = TEAM).first shouldBe 403
                call("PUT", "/v1/teams/lookups", """{ "weight": 100 }""", TEAM).first shouldBe 403
                call("GET", "/v1/teams/default", token = TEAM).first shouldBe 403
                call("GET", "/v1/teams/lookups", token = TEAM).second shouldContain "UNKNOWN_TEAM"
            }
        }

        describe("a change") {
            it("of presets is applied to the expected version, lists the VMs where it is in force, and is written to the audit log") {
                val (status, body) = call("PUT", "/v1/presets/night", """{ "expectedVersion": 1, "retryBudget": 0.01 }""")
                status shouldBe 200
                body shouldContain """"version":2,"activePreset":"ordinary","inForce":[{"name":"vm-0""""
                call("POST", "/v1/presets/night/activate", """{ "expectedVersion": 2 }""").second shouldContain """"activePreset":"night""""
                call("GET", "/v1/presets/night").second shouldContain """"isActive":true,"preset":{"name":"night","admissionSafety":1.0"""
                events.list.filter { it.loggerName == "dandelionpoint.audit" }.map { it.formattedMessage } shouldContainExactly
                    listOf("ana: putPreset night: OK, version 2", "ana: activatePreset night: OK, version 3")
            }
            it("that conflicts with another one is refused with the winning version and its author") {
                val (status, body) = call("PUT", "/v1/presets/night", """{ "expectedVersion": 1 }""")
                status shouldBe 409
                body shouldContain """"winningVersion":2,"winningAuthor":"ana","currentVersion":3"""
            }
            it("of a team needs no expected version and can set the weight 0") {
                call("PUT", "/v1/teams/lookups", """{ "weight": 0 }""").first shouldBe 200
                call("GET", "/v1/teams/lookups", token = TEAM).second shouldContain """"weight":0"""
                call("GET", "/v1/teams").second shouldContain """"name":"default""""
            }
            it("that the table does not answer is reported as unknown, not as refused") {
                repeat(6) { cluster.table.writeFaults += WriteFault.LOST_BEFORE_EFFECT }
                val (status, body) = call("PUT", "/v1/teams/lookups", """{ "weight": 3 }""")
                (status to body.contains("CHANGE_UNKNOWN")) shouldBe (504 to true)
                cluster.table.writeFaults.clear()
            }
        }

        describe("an invalid request") {
            it("is refused with all errors of its body and changes nothing") {
                val before = cluster.vms[0].current()
                val (status, body) = call("PUT", "/v1/presets/night", """{ "retryBudget": "2 %", "ejectSeconds": 5 }""")
                status shouldBe 400
                listOf("expectedVersion: missing", "retryBudget", "ejectSeconds: unknown key").forEach { body shouldContain it }
                call("PUT", "/v1/presets/Night", """{ "expectedVersion": 4 }""").first shouldBe 422
                call("POST", "/v1/presets/none/activate", """{ "expectedVersion": 4 }""").first shouldBe 404
                call("PUT", "/v1/teams/x", "x".repeat(70_000)).first shouldBe 413
                call("PUT", "/v1/teams/x?waitMs=-1", """{ "weight": 1 }""").first shouldBe 400
                call("GET", "/v1/config/history?limit=0").first shouldBe 400
                cluster.vms[0].current() shouldBe before
            }
        }

        describe("the history") {
            it("lists the newest changes first, and is refused with 503 when the table cannot be read") {
                val body = call("GET", "/v1/config/history?limit=2").second
                body.indexOf(""""version":4""") shouldBe body.indexOf(""""version":""")
                body shouldNotContain """"version":2"""
                cluster.table.isDown = true
                call("GET", "/v1/config/history").first shouldBe 503
                call("PUT", "/v1/teams/x", """{ "weight": 1 }""").second shouldContain "CHANGE_UNAVAILABLE"
                cluster.table.isDown = false
            }
        }

        describe("the log") {
            it("never contains a token, even at the most detailed level") {
                call("GET", "/v1/config", token = "$OPERATOR-wrong")
                events.list.isEmpty() shouldBe false
                val text = events.list.joinToString("\n") { it.formattedMessage }
                listOf(OPERATOR, TEAM).forEach { text shouldNotContain it }
            }
        }
    })
