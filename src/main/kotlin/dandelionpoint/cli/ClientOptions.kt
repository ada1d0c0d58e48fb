package dandelionpoint.cli

import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Options of every command that calls a server. */
internal class ClientOptions {
    @Option(
        names = ["--server"],
        paramLabel = "URL",
        defaultValue = "\${env:DANDELIONPOINT_SERVER:-http://127.0.0.1:8080}",
        description = ["Address of an entry VM (default: \${DEFAULT-VALUE}; environment: DANDELIONPOINT_SERVER)."],
    )
    var server: String = ""

    @Option(
        names = ["--token-file"],
        paramLabel = "FILE",
        description = ["File whose first word is the caller's token; lines that begin with # are skipped."],
    )
    var tokenFile: Path? = null

    @Mixin
    var output = OutputOption()

    /** The address of the server. Throws [ParameterException], a usage error of [spec], if it is malformed. */
    fun serverAddress(spec: CommandSpec): HttpUrl =
        server.toHttpUrlOrNull() ?: throw ParameterException(spec.commandLine(), "--server: '$server' is not an HTTP address")

    /** The caller's token, or null without a token file. Throws [ParameterException] if the file has no valid token. */
    fun token(spec: CommandSpec): String? {
        val file = tokenFile ?: return null
        val lines =
            try {
                Files.readAllLines(file)
            } catch (failure: IOException) {
                throw ParameterException(spec.commandLine(), "--token-file: $file cannot be read", failure)
            }
        val word = lines.firstOrNull { it.isNotBlank() && !it.startsWith("#") }?.trim()?.split(' ', '\t')?.first()
        if (word == null || word.any { it !in '!'..'~' }) {
            throw ParameterException(spec.commandLine(), "--token-file: $file has no valid token")
        }
        return word
    }
}
