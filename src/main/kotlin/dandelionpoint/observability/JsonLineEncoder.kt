package dandelionpoint.observability

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.ThrowableProxyUtil
import ch.qos.logback.core.encoder.EncoderBase
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import java.time.Instant

/**
 * Encodes a log event as one line of JSON in UTF-8, with the member names that Logstash uses. Key-value pairs of the event become members
 * of the same object, numbers and booleans as such, other values as text.
 */
internal class JsonLineEncoder : EncoderBase<ILoggingEvent>() {
    override fun headerBytes(): ByteArray? = null

    override fun footerBytes(): ByteArray? = null

    override fun encode(event: ILoggingEvent): ByteArray = (toJson(event).toString() + '\n').encodeToByteArray()

    private fun toJson(event: ILoggingEvent) = buildJsonObject {
        put("@timestamp", (event.instant ?: Instant.ofEpochMilli(event.timeStamp)).toString())
        put("@version", "1")
        put("message", event.formattedMessage)
        put("logger_name", event.loggerName)
        put("thread_name", event.threadName)
        put("level", event.level.toString())
        put("level_value", event.level.toInt())
        event.throwableProxy?.let { put("stack_trace", ThrowableProxyUtil.asString(it)) }
        event.mdcPropertyMap.forEach { (key, value) -> put(key, value) }
        event.keyValuePairs?.forEach { putValue(it.key, it.value) }
    }

    private fun JsonObjectBuilder.putValue(key: String, value: Any?) {
        when (value) {
            is Number -> put(key, value)
            is Boolean -> put(key, value)
            else -> put(key, value?.toString())
        }
    }
}
