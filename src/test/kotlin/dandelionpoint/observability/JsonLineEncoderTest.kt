package dandelionpoint.observability

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.core.ConsoleAppender
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.slf4j.LoggerFactory
import org.slf4j.event.KeyValuePair
import java.time.Instant

/** Guards against log lines that a JSON parser refuses, that span several lines, or that lose what the event holds. */
class JsonLineEncoderTest :
    DescribeSpec({
        val loggers = LoggerFactory.getILoggerFactory() as LoggerContext
        val logger = loggers.getLogger("dandelionpoint.trial")

        fun event(message: String, failure: Throwable? = null, vararg arguments: Any) =
            LoggingEvent(JsonLineEncoderTest::class.java.name, logger, Level.WARN, message, failure, arguments)

        fun encode(event: LoggingEvent): JsonObject {
            val line = JsonLineEncoder().encode(event).decodeToString()
            line.count { it == '\n' } shouldBe 1
            line.last() shouldBe '\n'
            return Json.parseToJsonElement(line).jsonObject
        }

        describe("a line") {
            it("has time, message, logger, thread and level under the names that Logstash uses") {
                val line = encode(event("event=tried n={}", null, 3).apply { setInstant(Instant.parse("2026-12-05T14:00:00.123456789Z")) })

                line["@timestamp"] shouldBe JsonPrimitive("2026-12-05T14:00:00.123456789Z")
                line["@version"] shouldBe JsonPrimitive("1")
                line["message"] shouldBe JsonPrimitive("event=tried n=3")
                line["logger_name"] shouldBe JsonPrimitive("dandelionpoint.trial")
                line["thread_name"] shouldBe JsonPrimitive(Thread.currentThread().name)
                line["level"] shouldBe JsonPrimitive("WARN")
                line["level_value"] shouldBe JsonPrimitive(30_000)
                ("stack_trace" in line) shouldBe false
            }

            it("escapes quotes, line ends and control characters of the message") {
                val message = "reason=\"a\\b\"\r\n\u0000 \u2028 é"

                encode(event(message))["message"] shouldBe JsonPrimitive(message)
            }

            it("holds the stack trace and its causes in one member") {
                val failure = IllegalStateException("outer", IllegalArgumentException("inner"))

                val trace = encode(event("failed", failure)).getValue("stack_trace").jsonPrimitive.content

                trace shouldStartWith "java.lang.IllegalStateException: outer"
                trace shouldContain "Caused by: java.lang.IllegalArgumentException: inner"
            }

            it("has the key-value pairs of the event as members") {
                val event = event("changed").apply {
                    listOf("author" to "a", "version" to 7L, "dry" to true, "none" to null).forEach {
                        addKeyValuePair(KeyValuePair(it.first, it.second))
                    }
                }

                val line = encode(event)

                line["author"] shouldBe JsonPrimitive("a")
                line["version"] shouldBe JsonPrimitive(7L)
                line["dry"] shouldBe JsonPrimitive(true)
                line["none"] shouldBe JsonNull
            }
        }

        describe("the configuration of logging") {
            it("is found by Logback: otherwise all libraries would log at DEBUG as plain text on standard output") {
                val root = loggers.getLogger(Logger.ROOT_LOGGER_NAME)
                val appenders = root.iteratorForAppenders().asSequence().filter { it.name == "STDERR" }.toList()

                root.level shouldBe Level.INFO
                appenders shouldHaveSize 1
                val appender = appenders.single().shouldBeInstanceOf<ConsoleAppender<ILoggingEvent>>()
                appender.target shouldBe "System.err"
                appender.encoder.shouldBeInstanceOf<JsonLineEncoder>()
            }

            it("writes only warnings and errors of the HTTP server's libraries") {
                listOf("org.eclipse.jetty.server", "io.javalin.Javalin").forEach {
                    loggers.getLogger(it).effectiveLevel shouldBe Level.WARN
                }
            }
        }
    })
