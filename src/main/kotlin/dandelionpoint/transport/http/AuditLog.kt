package dandelionpoint.transport.http

import dandelionpoint.protocol.ResultCode
import io.github.oshai.kotlinlogging.KotlinLogging

/** Writes one line for each requested configuration change, accepted or refused, to the logger `dandelionpoint.audit`. */
internal class AuditLog {
    private val log = KotlinLogging.logger("dandelionpoint.audit")

    /** Logs a change. [version] is the configuration version that it created, or null if it was refused. */
    fun change(author: String, change: String, target: String, code: ResultCode, version: Long?) = log.atInfo {
        message = "$author: $change $target: $code" + version?.let { ", version $it" }.orEmpty()
        payload = mapOf("author" to author, "change" to change, "target" to target, "code" to code.name, "version" to version)
    }
}
