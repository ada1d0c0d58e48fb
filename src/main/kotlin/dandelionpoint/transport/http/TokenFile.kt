/* Tokens of callers, read from a file. Only digests are kept in memory, and no message contains a token. */
package dandelionpoint.transport.http

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import dandelionpoint.coordination.configuration.ConfigurationLimits
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.security.MessageDigest

/**
 * Tokens and their callers. A line is `token operator`, `token operator:NAME` or `token TEAM`; empty lines and lines that begin
 * with `#` are skipped.
 */
internal class TokenFile private constructor(private val entries: List<Entry>) {
    private class Entry(val digest: ByteArray, val caller: Caller)

    /** The caller of the header `Authorization: Bearer TOKEN`, or null if the header or the token is not valid. */
    fun caller(authorization: String?): Caller? {
        val token = authorization?.takeIf { it.startsWith(SCHEME, ignoreCase = true) }?.substring(SCHEME.length) ?: return null
        val digest = digest(token.trim())
        // Compares all entries, so that the response time does not reveal which one matched or how many bytes did.
        return entries.fold(null as Caller?) { found, entry -> if (MessageDigest.isEqual(entry.digest, digest)) entry.caller else found }
    }

    companion object {
        private const val SCHEME = "Bearer "
        private const val OPERATOR = "operator"
        private const val MAX_FILE_BYTES = 1_048_576L
        private val TOKEN = Regex("[\\x21-\\x7e]{16,256}")
        private val SPACE = Regex("\\s+")

        /** Reads [file]. Error messages name the line but never contain its content. */
        fun read(file: Path): Either<NonEmptyList<String>, TokenFile> {
            val text =
                try {
                    if (Files.size(file) > MAX_FILE_BYTES) return nonEmptyListOf("$file: larger than $MAX_FILE_BYTES bytes").left()
                    Files.readString(file)
                } catch (failure: IOException) {
                    return nonEmptyListOf("$file: cannot be read (${failure.javaClass.simpleName})").left()
                }
            return parse(file.toString(), text)
        }

        /** Parses [text]; [file] is the name to use in error messages. */
        fun parse(file: String, text: String): Either<NonEmptyList<String>, TokenFile> {
            val errors = mutableListOf<String>()
            val entries = mutableListOf<Entry>()
            text.lineSequence().forEachIndexed { index, line ->
                if (line.isBlank() || line.startsWith("#")) return@forEachIndexed
                val entry = parseEntry(line)
                when {
                    entry == null -> errors += "$file:${index + 1}: not 'token role-or-team' with a token of 16 to 256 printable characters"

                    entries.any { it.digest.contentEquals(entry.digest) } ->
                        errors +=
                            "$file:${index + 1}: the token is also on an earlier line"

                    else -> entries += entry
                }
            }
            return errors.toNonEmptyListOrNull()?.left() ?: TokenFile(entries).right()
        }

        private fun parseEntry(line: String): Entry? {
            val parts = line.trim().split(SPACE)
            if (parts.size != 2 || !TOKEN.matches(parts[0])) return null
            return parseCaller(parts[1])?.let { Entry(digest(parts[0]), it) }
        }

        private fun parseCaller(text: String): Caller? {
            val name = text.removePrefix("$OPERATOR:")
            if (!ConfigurationLimits.isName(name)) return null
            return if (text == OPERATOR || name != text) Caller.Operator(name) else Caller.Team(name)
        }

        private fun digest(token: String): ByteArray = MessageDigest.getInstance("SHA-256").digest(token.toByteArray())
    }
}
