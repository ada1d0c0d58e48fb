/* Reads and validates the bodies of administration requests. */
package dandelionpoint.transport.http

import arrow.core.Either
import arrow.core.left
import dandelionpoint.coordination.configuration.ConfigurationChange
import dandelionpoint.protocol.Refusal
import dandelionpoint.protocol.ResultCode
import dandelionpoint.settings.Fields
import dandelionpoint.settings.SettingsReader
import dandelionpoint.settings.preset
import dandelionpoint.settings.teamQuota
import io.javalin.http.Context
import io.javalin.http.HttpResponseException

/** A requested change of the configuration. It is refused if the current version is not [expectedVersion], unless that is null. */
internal data class ChangeRequest(val change: ConfigurationChange, val expectedVersion: Long?)

internal object AdminBodies {
    /** Largest body of an administration request, in bytes; a preset has about 300. */
    const val MAX_BYTES = 65_536
    private const val VERSIONS = "configuration versions"

    /** Returns the body of [context] as text, or a refusal if it is larger than [MAX_BYTES]. */
    fun readText(context: Context): Either<Refusal, String> {
        val tooLarge = Refusal(ResultCode.BODY_TOO_LARGE, "The body is larger than $MAX_BYTES bytes.").left()
        if (context.contentLength() > MAX_BYTES) return tooLarge
        val bytes =
            try {
                context.bodyAsBytes()
            } catch (failure: HttpResponseException) {
                return if (failure.status == ResultCode.BODY_TOO_LARGE.httpStatus) tooLarge else throw failure
            }
        return if (bytes.size > MAX_BYTES) tooLarge else Either.Right(bytes.decodeToString())
    }

    fun putPreset(name: String, text: String): Either<Refusal, ChangeRequest> = read(text) { fields ->
        val expected = fields.integer("expectedVersion", 0..Int.MAX_VALUE, VERSIONS)
        ChangeRequest(ConfigurationChange.PutPreset(fields.preset(name)), expected.toLong())
    }

    fun activatePreset(name: String, text: String): Either<Refusal, ChangeRequest> = read(text) { fields ->
        val expected = fields.integer("expectedVersion", 0..Int.MAX_VALUE, VERSIONS)
        ChangeRequest(ConfigurationChange.ActivatePreset(name), expected.toLong())
    }

    /** The expected version is optional here, because quotas of different teams do not depend on each other. */
    fun putTeam(name: String, text: String): Either<Refusal, ChangeRequest> = read(text) { fields ->
        val expected = fields.optionalInteger("expectedVersion", 0..Int.MAX_VALUE, VERSIONS)
        ChangeRequest(ConfigurationChange.PutTeam(fields.teamQuota(name)), expected?.toLong())
    }

    private fun <T> read(text: String, read: (Fields) -> T): Either<Refusal, T> =
        SettingsReader.read("body", text, read).mapLeft { errors -> Refusal(ResultCode.BAD_BODY, errors.joinToString("; ")) }
}
