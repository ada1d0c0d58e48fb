/*
 * Sets up logging: JSON lines on stderr. Logback finds this class as a service. An XML document for Logback would be parsed at each start,
 * which takes a large part of the start-up time of a small VM.
 */
package dandelionpoint.observability

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ConfiguratorRank
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import org.slf4j.Logger

/** Sends the lines of all loggers, from level INFO, to stderr. Of the HTTP server's libraries only warnings and errors are written. */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
internal class LogConfiguration :
    ContextAwareBase(),
    Configurator {
    override fun configure(loggers: LoggerContext): ExecutionStatus {
        loggers.getLogger(Logger.ROOT_LOGGER_NAME).apply {
            level = Level.INFO
            addAppender(stderrAppender(loggers))
        }
        HTTP_SERVER_LOGGERS.forEach { loggers.getLogger(it).level = Level.WARN }
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun stderrAppender(loggers: LoggerContext) = ConsoleAppender<ILoggingEvent>().apply {
        name = "STDERR"
        context = loggers
        setTarget("System.err")
        encoder = JsonLineEncoder().apply {
            context = loggers
            start()
        }
        start()
    }

    private companion object {
        val HTTP_SERVER_LOGGERS = listOf("org.eclipse.jetty", "io.javalin")
    }
}
