import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The record of a script, the entry VMs that it starts with the command of the deploy file, and its clients. */
final class World {
    static final long START_NS = System.nanoTime();
    private static PrintWriter record;
    static final List<Vm> VMS = new ArrayList<>();
    static Path folder;
    private static Path temporary;
    static boolean trouble;

    /** Begins a script with its folder as the first argument, and limits it to 110 s. */
    static void begin(String[] arguments) throws IOException {
        folder = Path.of(arguments[0]);
        temporary = Files.createTempDirectory("case");
        trouble = !"0".equals(System.getenv("TROUBLE"));
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        note("trouble " + trouble);
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> {
            note("the script failed: " + failure);
            finish(2);
        });
        Runtime.getRuntime().addShutdownHook(new Thread(World::endAll));
        Thread guard = new Thread(() -> {
            sleep(110_000);
            note("the script took too long");
            finish(2);
        });
        guard.setDaemon(true);
        guard.start();
    }

    /** Ends all processes that the script has started, and removes its files but the record. */
    private static void endAll() {
        for (Vm vm : VMS) {
            vm.process.destroyForcibly();
            vm.process.onExit().join();
        }
        File[] files = temporary.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) file.delete();
        temporary.toFile().delete();
    }

    static void finish(int code) {
        note("exit " + code + (code == 1 ? ": the rule was broken" : code == 0 ? ": the rule held" : ": the case could not run"));
        endAll();
        Runtime.getRuntime().halt(code);
    }

    static long ms() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    static synchronized void note(String text) {
        record.println(String.format("%7d ms  %s", ms(), text));
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    interface Condition {
        boolean holds();
    }

    /** Waits until [condition] holds; ends the script with 2 if that takes longer than [ms]. */
    static void await(String what, long ms, Condition condition) {
        long until = ms() + ms;
        while (!condition.holds()) {
            if (ms() > until) {
                note("not reached: " + what);
                finish(2);
            }
            sleep(20);
        }
    }

    /** An entry VM: the process of the role in the deploy file, with the settings of a small deployment. */
    static final class Vm {
        final String name;
        final int clients = Web.freePort();
        final int readiness = Web.freePort();
        final int peers = Web.freePort();
        private final Path settings;
        Process process;

        Vm(String name, String zone, Store store, Vm seed) throws IOException {
            this(name, zone, store.port, seed);
        }

        Vm(String name, String zone, int storePort, Vm seed) throws IOException {
            this.name = name;
            settings = temporary.resolve(name + ".conf");
            Files.writeString(settings, template(Map.ofEntries(
                Map.entry("node_name", name), Map.entry("region", "r"), Map.entry("zone", zone), Map.entry("listen.front", "127.0.0.1:" + clients),
                Map.entry("listen.ready", "127.0.0.1:" + readiness), Map.entry("listen.control", "127.0.0.1:" + peers),
                Map.entry("seeds", "127.0.0.1:" + (seed == null ? peers : seed.peers)), Map.entry("platform.address", "127.0.0.1:" + storePort),
                Map.entry("bounds.max_hold_ms", "1000"), Map.entry("bounds.grace_s", "6"), Map.entry("limits.cpu_share", "0.75"), Map.entry("limits.cores", "1"))));
            start();
            VMS.add(this);
        }

        void start() throws IOException {
            List<String> command = Arrays.asList(runCommand().split(" "));
            ProcessBuilder builder = new ProcessBuilder(command);
            builder.environment().put("DANDELIONPOINT_SETTINGS", settings.toString());
            String kept = System.getenv("KEEP_LOGS");
            Path log = (kept == null ? temporary : Path.of(kept)).resolve(name + "-" + ms() + ".log");
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            note("started " + name + " clients " + clients);
        }

        void kill() {
            note("SIGKILL " + name);
            process.destroyForcibly();
        }

        void signal(String signal) {
            note("SIG" + signal + " " + name);
            try {
                new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
            } catch (IOException | InterruptedException e) {
                note("no signal: " + e);
                finish(2);
            }
        }

        boolean isReady() {
            return new Call("GET", readiness, "/v1/readiness", "ready", "", 1_000).status == 200;
        }
    }

    /** The template of the settings, filled in as the platform does. */
    private static String template(Map<String, String> values) throws IOException {
        Matcher matcher = Pattern.compile("\\{\\{([^}]*)}}").matcher(Files.readString(Path.of("deploy/settings.template")));
        StringBuilder out = new StringBuilder();
        while (matcher.find()) matcher.appendReplacement(out, Matcher.quoteReplacement(values.getOrDefault(matcher.group(1), "")));
        return matcher.appendTail(out).toString();
    }

    /** The command of the deploy file. */
    private static String runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IOException("no command in the deploy file");
    }

    /** One request of a client on a connection of its own. [status] is 0 without a complete answer. */
    static final class Call {
        int status;
        String body = "";

        Call(String method, int port, String path, String host, String json, long waitMs) {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout((int) waitMs);
                byte[] bytes = json.getBytes(StandardCharsets.UTF_8);
                String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\nDeadline-Remaining-Ms: " + waitMs
                    + "\r\nConnection: close\r\nContent-Length: " + bytes.length + "\r\n\r\n";
                OutputStream out = socket.getOutputStream();
                out.write(head.getBytes(StandardCharsets.US_ASCII));
                out.write(bytes);
                out.flush();
                InputStream in = socket.getInputStream();
                String answer = new String(in.readAllBytes(), StandardCharsets.UTF_8);
                if (answer.startsWith("HTTP/1.1 ") && answer.contains("\r\n\r\n")) {
                    status = Integer.parseInt(answer.substring(9, 12));
                    body = answer.substring(answer.indexOf("\r\n\r\n") + 4);
                }
            } catch (IOException e) {
                status = 0;
            }
        }
    }

    /** A configuration with one queue, /q/ on the host `jobs.example`. */
    static String configuration(long version, String service, boolean enforces) {
        return Json.write(Json.map("version", version, "routes", List.of(Json.map("name", "queue", "host", "jobs.example", "path_prefix", "/q/", "kind", "non_idempotent",
            "timeout_ms", 20_000L, "latency_target_ms", 60L, "priority", 1L, "service", service, "max_attempts", 4L, "stretch", 3.0)),
            "services", List.of(Json.map("name", service, "health_path", "/health", "max_conns", 64L, "protocol", "h1", "tls", false, "enforces_capacity", enforces, "standby", false)),
            "limits", Json.map("max_header_bytes", 16384L, "max_body_bytes", 262144L, "header_timeout_ms", 3000L, "idle_timeout_ms", 15000L)));
    }

    static String jobId(long number) {
        return String.format("%016x", number * 0x9E3779B97F4A7C15L);
    }

    /** The names of the VMs that hold claims in the store, with their number. */
    static Map<String, Integer> owners(Store store) {
        Map<String, Integer> out = new java.util.TreeMap<>();
        Pattern name = Pattern.compile("\"vm\":\\{\"name\":\"([^\"]*)\"");
        store.values("cells").values().forEach(value -> {
            Matcher matcher = name.matcher(value);
            if (matcher.find()) out.merge(matcher.group(1), 1, Integer::sum);
        });
        return out;
    }
}
