package dandelionpoint.cli

import arrow.core.Either
import dandelionpoint.entry.EntryVm
import dandelionpoint.settings.EntrySettings
import dandelionpoint.settings.SettingsReader
import dandelionpoint.transport.http.TokenFile
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch

/** Runs an entry VM until SIGTERM or SIGINT, which start a planned stop. */
@Command(
    name = "entry",
    description = ["Runs an entry VM with the settings in FILE."],
    mixinStandardHelpOptions = true,
    footer = ["", "Example: dandelionpoint entry samples/crema-entry.json"],
)
internal class EntryCommand : Callable<Int> {
    @Parameters(paramLabel = "FILE", description = ["Settings, JSON with comments."])
    private lateinit var file: Path

    override fun call(): Int = when (val read = SettingsReader.readEntry(file)) {
        is Either.Left -> {
            read.value.forEach { System.err.println(it) }
            ExitCode.USAGE
        }

        is Either.Right -> run(read.value)
    }

    private fun run(settings: EntrySettings): Int = when (val tokens = TokenFile.read(Path.of(settings.tokenFile))) {
        is Either.Left -> {
            tokens.value.forEach { System.err.println(it) }
            ExitCode.USAGE
        }

        is Either.Right -> {
            serve(settings, tokens.value)
        }
    }

    private fun serve(settings: EntrySettings, tokens: TokenFile): Int = try {
        val vm = EntryVm(settings, tokens)
        val ports = runBlocking { vm.start() }
        println("""{"event":"ready","vm":"${settings.name}","http":${ports.http},"peer":${ports.peer}}""")
        System.out.flush()
        stopOnSignal(vm)
        CountDownLatch(1).await()
        ExitCode.OK
    } catch (e: IOException) {
        System.err.println("cannot start: ${e.message}")
        ExitCode.REFUSED
    }

    private fun stopOnSignal(vm: EntryVm) {
        val hook = Thread {
            runBlocking { vm.drain() }
            vm.close()
        }
        Runtime.getRuntime().addShutdownHook(hook)
    }
}
