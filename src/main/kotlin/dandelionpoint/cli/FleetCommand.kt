package dandelionpoint.cli

import arrow.core.Either
import dandelionpoint.fleet.FleetVm
import dandelionpoint.fleet.startEventLoopThread
import dandelionpoint.platform.PlatformClients
import dandelionpoint.platform.platformPorts
import dandelionpoint.settings.FleetSettings
import dandelionpoint.settings.HostAndPort
import dandelionpoint.settings.SettingsReader
import dandelionpoint.settings.withRemotePenalty
import dandelionpoint.transport.http.ClientLimits
import dandelionpoint.transport.http.ListenAddress
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import picocli.CommandLine.Command
import picocli.CommandLine.Parameters
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.FileTime
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch

private val log = KotlinLogging.logger {}

/** Runs an entry VM that dispatches to leased workers on the users' platform, until SIGTERM or SIGINT, which start a planned stop. */
@Command(
    name = FleetCommand.NAME,
    description = ["Runs an entry VM that dispatches to leased workers."],
    mixinStandardHelpOptions = true,
    footer = ["", "Example: dandelionpoint fleet settings.json", "Without FILE, the variable DANDELIONPOINT_SETTINGS names it."],
)
internal class FleetCommand(initialFile: Path? = null) : Callable<Int> {
    @Parameters(paramLabel = "FILE", description = ["Settings, JSON with comments."], arity = "0..1")
    private var file: Path? = initialFile

    override fun call(): Int {
        val path = file ?: System.getenv(SETTINGS_VARIABLE)?.let { Path.of(it) }
        if (path == null) {
            System.err.println("no settings file: pass FILE or set $SETTINGS_VARIABLE")
            return ExitCode.USAGE
        }
        return when (val read = readSettings(path)) {
            is Either.Left -> {
                read.value.forEach { System.err.println(it) }
                ExitCode.USAGE
            }

            is Either.Right -> serve(path, read.value)
        }
    }

    private fun readSettings(path: Path) =
        SettingsReader.readFleet(path).map { it.withRemotePenalty(System.getenv(REMOTE_PENALTY_VARIABLE)) }

    private fun serve(path: Path, settings: FleetSettings): Int = try {
        // All loops of the VM run on one thread: a VM has at most a few processor cores, and handing work from thread to thread would
        // cost it more than the work itself. Blocking calls run on threads of their own.
        val vm = FleetVm(settings, platformPorts(settings.store.toString()), context = startEventLoopThread("fleet"))
        val clients = PlatformClients(vm, vm.scope, settings.clients.listen(), settings.readiness?.listen(), limitsOf(settings))
        runBlocking { vm.start() }
        vm.pollClients = clients::poll
        startClients(vm, clients)
        vm.scope.launch { watchSettings(path, vm) }
        CountDownLatch(1).await()
        ExitCode.OK
    } catch (e: IOException) {
        System.err.println("cannot start: ${e.message}")
        ExitCode.REFUSED
    }

    /**
     * Installs the planned stop before the first client is served. A SIGTERM before that ends the process at once, with the same exit code;
     * so does a failure to start.
     */
    private fun startClients(vm: FleetVm, clients: PlatformClients) {
        val stop = stopHook(vm, clients)
        Runtime.getRuntime().addShutdownHook(stop)
        var hasStarted = false
        try {
            clients.start()
            hasStarted = true
        } finally {
            if (!hasStarted) Runtime.getRuntime().removeShutdownHook(stop)
        }
    }

    /** Reloads the settings after SIGHUP and whenever the file's modification time has changed. */
    private suspend fun watchSettings(path: Path, vm: FleetVm) {
        var lastModified = modifiedAt(path)
        while (true) {
            delay(SETTINGS_POLL_INTERVAL_MS)
            val now = modifiedAt(path)
            if (!ReloadSignal.take() && now == lastModified) continue
            lastModified = now
            when (val read = readSettings(path)) {
                is Either.Left -> log.warn { "event=settings_refused faults=\"${read.value.joinToString()}\"" }
                is Either.Right -> log.info { "event=settings_read restart_needed_for=${vm.reload(read.value)}" }
            }
        }
    }

    private fun modifiedAt(path: Path): FileTime? = try {
        Files.getLastModifiedTime(path)
    } catch (e: IOException) {
        log.warn { "event=settings_missing reason=\"${e.message}\"" }
        null
    }

    private fun limitsOf(settings: FleetSettings) = ClientLimits.of(settings.memoryMb, Runtime.getRuntime().maxMemory(), settings.sockets)

    private fun HostAndPort.listen() = ListenAddress(host, port)

    private fun stopHook(vm: FleetVm, clients: PlatformClients) = Thread {
        runBlocking {
            vm.drain { clients.open() }
            clients.finish(FINISH_TIMEOUT_MS)
        }
        vm.close()
    }

    companion object {
        const val NAME = "fleet"
        private const val SETTINGS_VARIABLE = "DANDELIONPOINT_SETTINGS"
        private const val REMOTE_PENALTY_VARIABLE = "DANDELIONPOINT_REMOTE_PENALTY"
        private const val SETTINGS_POLL_INTERVAL_MS = 1_000L

        /** How long a planned stop waits for requests that arrive while it ends, in ms. */
        private const val FINISH_TIMEOUT_MS = 400L
    }
}
