package standin;

import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry VM: the command of the deploy file in a process of its own, with the settings template filled in. */
final class Vm {
    static final int GRACE_S = 6;
    final String name;
    final String host;
    final int front;
    final int ready;
    final int control;

    /** The path of this machine to the store. */
    final Link storeLink;
    private final Path settings;
    private final File log;
    private final Record record;
    private Process process;

    Vm(String name, String zone, String host, List<Vm> seeds, Store store, Path folder, Record record) throws IOException {
        this.name = name;
        this.host = host;
        this.record = record;
        storeLink = new Link("127.0.0.1", store.port());
        front = freePort(host);
        ready = freePort(host);
        control = freePort(host);
        List<String> addresses = new ArrayList<>(List.of(host + ":" + control));
        for (Vm seed : seeds) addresses.add(seed.host + ":" + seed.control);
        Map<String, String> values = Map.ofEntries(
            Map.entry("node_name", name), Map.entry("region", "aotearoa-north"), Map.entry("zone", zone),
            Map.entry("listen.front", host + ":" + front), Map.entry("listen.ready", host + ":" + ready),
            Map.entry("listen.control", host + ":" + control), Map.entry("seeds", String.join(",", addresses)),
            Map.entry("platform.address", "127.0.0.1:" + storeLink.port()), Map.entry("bounds.max_hold_ms", "" + Worker.MAX_HOLD_MS),
            Map.entry("bounds.grace_s", "" + GRACE_S), Map.entry("limits.cpu_share", "0.75"), Map.entry("limits.cores", "1"));
        Matcher matcher = Pattern.compile("\\{\\{([a-z_.]+)}}").matcher(Files.readString(Path.of("deploy/settings.template")));
        settings = folder.resolve(name + ".conf");
        Files.writeString(settings, matcher.replaceAll(match -> Matcher.quoteReplacement(values.get(match.group(1)))));
        log = folder.resolve(name + ".log").toFile();
    }

    /** A free port below those that the system gives to outgoing connections, so that it is still free when the process starts again. */
    private static int freePort(String host) throws IOException {
        for (int attempt = 0; attempt < 100; attempt++) {
            int port = ThreadLocalRandom.current().nextInt(10_000, 32_000);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(host, port));
                return port;
            } catch (BindException e) {
                // In use: the next one is tried.
            }
        }
        throw new IOException("no free port");
    }

    void start() throws IOException {
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) throw new IOException("no command in deploy/system.toml");
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("DANDELIONPOINT_SETTINGS", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        process = builder.start();
        record.line("vm " + name + ": process " + process.pid() + " started");
    }

    /** True if the readiness check is answered with 200. */
    boolean isReady() {
        try (Connection connection = new Connection(host, ready, 500)) {
            connection.send("GET", "/v1/readiness", "ready", "", null);
            return connection.readStatus() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady(int seconds) throws Exception {
        long until = System.nanoTime() + seconds * 1_000_000_000L;
        while (!isReady()) {
            if (System.nanoTime() > until) throw new IllegalStateException("vm " + name + " is not ready within " + seconds + " s");
            Thread.sleep(50);
        }
        record.line("vm " + name + ": ready");
    }

    /** Sends a signal, by its name without SIG. */
    void signal(String signal) throws Exception {
        record.line("vm " + name + ": SIG" + signal + " sent");
        new ProcessBuilder("kill", "-" + signal, "" + process.pid()).inheritIO().start().waitFor();
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Ends the process with SIGKILL, as the platform does, once its grace period, which began at [stopAt] (ns), is over. */
    Void endAfterGrace(long stopAt) throws Exception {
        Integer code = exitCode(Math.max(0, GRACE_S * 1_000L - (System.nanoTime() - stopAt) / 1_000_000));
        if (code == null) signal("KILL");
        record.line("vm " + name + ": exit code " + exitCode(1_000) + ", " + (System.nanoTime() - stopAt) / 1_000_000 + " ms after SIGTERM");
        return null;
    }

    /** The exit code, null if the process has not ended within [ms]. */
    Integer exitCode(long ms) throws InterruptedException {
        return process.waitFor(ms, TimeUnit.MILLISECONDS) ? process.exitValue() : null;
    }

    void kill() {
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(2, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
