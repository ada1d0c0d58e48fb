import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.regex.*;

/**
 * Stand-ins of the platform for the scripts of this review: the table store, workers and clients, as the users' pages describe them, and
 * the start of the project's own programs with the command of the deploy file. Everything is on the loopback address.
 */
final class Lab implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    static final String SERVICE = "booking-hub";
    static final String QUEUE_HOST = "nony24.example";
    final long t0 = System.nanoTime();
    final Path root;
    final Path temp;
    final PrintWriter record;
    final Store store;
    /** The port at which the VMs reach the store, 0 for its own. */
    volatile int storePort;
    final List<Vm> vms = new ArrayList<>();
    final Map<String, Worker> workers = new ConcurrentHashMap<>();

    Lab(Path root, Path recordFile) throws IOException {
        this.root = root;
        temp = Files.createTempDirectory("review");
        record = new PrintWriter(new BufferedWriter(new FileWriter(recordFile.toFile())));
        store = new Store();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> vms.forEach(Vm::kill)));
    }

    long now() { return (System.nanoTime() - t0) / 1_000_000; }

    synchronized void log(String text) {
        record.printf("%8.3f %s%n", now() / 1000.0, text);
        record.flush();
    }

    static void sleep(long ms) {
        try { Thread.sleep(ms); } catch (InterruptedException e) { throw new IllegalStateException(e); }
    }

    private static final Set<Integer> taken = new HashSet<>();

    /** A free port below those that the system gives to outgoing connections, so that none of these takes it before it is used. */
    static synchronized int freePort() throws IOException {
        for (int tries = 0; tries < 1_000; tries++) {
            int port = 12_000 + ThreadLocalRandom.current().nextInt(18_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                if (taken.add(port)) return port;
            } catch (IOException e) {
                // in use
            }
        }
        throw new IOException("no free port");
    }

    @Override public void close() {
        for (Vm vm : vms) vm.kill();
        for (Worker worker : workers.values()) worker.crash();
        store.server.close();
        record.close();
        try (var files = Files.walk(temp)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) { /* the temporary folder stays */ }
    }

    // ---- HTTP

    record Request(String method, String path, Map<String, String> headers, byte[] body) {
        String query(String name) {
            int at = path.indexOf('?');
            if (at < 0) return null;
            for (String part : path.substring(at + 1).split("&")) {
                int eq = part.indexOf('=');
                String key = eq < 0 ? part : part.substring(0, eq);
                if (key.equals(name)) return URLDecoder.decode(eq < 0 ? "" : part.substring(eq + 1), StandardCharsets.UTF_8);
            }
            return null;
        }
        String plainPath() { int at = path.indexOf('?'); return at < 0 ? path : path.substring(0, at); }
        String text() { return new String(body, StandardCharsets.UTF_8); }
    }

    record Answer(int status, String body) {}

    interface Handler { Answer handle(Request request) throws Exception; }

    /** A server with a thread for each connection. Its connections end with it. */
    static final class Server {
        final ServerSocket socket = new ServerSocket();
        final Set<Socket> open = ConcurrentHashMap.newKeySet();
        final Handler handler;
        volatile boolean closed;

        Server(int port, Handler handler) throws IOException {
            this.handler = handler;
            socket.setReuseAddress(true);
            socket.bind(new InetSocketAddress(HOST, port), 512);
            Thread acceptor = new Thread(this::accept, "accept");
            acceptor.setDaemon(true);
            acceptor.start();
        }

        int port() { return socket.getLocalPort(); }

        private void accept() {
            while (!closed) {
                try {
                    Socket connection = socket.accept();
                    open.add(connection);
                    Thread thread = new Thread(null, () -> serve(connection), "connection", 256 * 1024);
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream(), 8192);
                OutputStream out = connection.getOutputStream();
                while (!closed) {
                    Request request = readRequest(in);
                    if (request == null) return;
                    Answer answer = handler.handle(request);
                    if (answer == null) return;
                    byte[] body = answer.body.getBytes(StandardCharsets.UTF_8);
                    String head = "HTTP/1.1 " + answer.status + " X\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n";
                    ByteArrayOutputStream all = new ByteArrayOutputStream();
                    all.write(head.getBytes(StandardCharsets.US_ASCII));
                    all.write(body);
                    if (closed) return;
                    out.write(all.toByteArray());
                    out.flush();
                }
            } catch (Exception e) {
                // the connection has ended
            } finally {
                open.remove(connection);
            }
        }

        void close() {
            closed = true;
            try { socket.close(); } catch (IOException e) { /* closed */ }
            for (Socket connection : open) {
                try { connection.setSoLinger(true, 0); connection.close(); } catch (IOException e) { /* closed */ }
            }
        }
    }

    static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        int c;
        while ((c = in.read()) >= 0) {
            if (c == '\n') return text.toString();
            if (c != '\r') text.append((char) c);
        }
        return text.length() == 0 ? null : text.toString();
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String field;
        while ((field = line(in)) != null && !field.isEmpty()) {
            int colon = field.indexOf(':');
            if (colon > 0) headers.put(field.substring(0, colon).trim(), field.substring(colon + 1).trim());
        }
        return headers;
    }

    static Request readRequest(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        String[] words = first.split(" ");
        Map<String, String> headers = headers(in);
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        return new Request(words[0], words[1], headers, in.readNBytes(length));
    }

    /** Sends one request over a connection of its own. Status 0: no complete answer. -1: no connection. */
    static Answer call(int port, String method, String path, String host, long waitMs, String body) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(HOST, port), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) Math.max(1, waitMs));
            byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\nDeadline-Remaining-Ms: " +
                waitMs + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.getBytes(StandardCharsets.US_ASCII));
            all.write(bytes);
            try {
                socket.getOutputStream().write(all.toByteArray());
                InputStream in = new BufferedInputStream(socket.getInputStream());
                String status = line(in);
                if (status == null) return new Answer(0, "");
                Map<String, String> headers = headers(in);
                int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
                byte[] answer = in.readNBytes(length);
                if (answer.length < length) return new Answer(0, "");
                return new Answer(Integer.parseInt(status.split(" ")[1]), new String(answer, StandardCharsets.UTF_8));
            } catch (IOException e) {
                return new Answer(0, e.toString());
            }
        } catch (IOException e) {
            return new Answer(-1, e.toString());
        }
    }

    // ---- JSON

    static Object json(String text) { return new Json(text).value(); }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) { return (Map<String, Object>) json(text); }

    static final class Json {
        final String text;
        int at;
        Json(String text) { this.text = text; }
        void space() { while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++; }
        Object value() {
            space();
            char c = text.charAt(at);
            if (c == '{') {
                Map<String, Object> map = new LinkedHashMap<>();
                at++; space();
                if (text.charAt(at) == '}') { at++; return map; }
                while (true) {
                    space();
                    String key = string();
                    space(); at++;
                    map.put(key, value());
                    space();
                    if (text.charAt(at++) == '}') return map;
                }
            }
            if (c == '[') {
                List<Object> list = new ArrayList<>();
                at++; space();
                if (text.charAt(at) == ']') { at++; return list; }
                while (true) {
                    list.add(value());
                    space();
                    if (text.charAt(at++) == ']') return list;
                }
            }
            if (c == '"') return string();
            int start = at;
            while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
            String word = text.substring(start, at);
            return switch (word) {
                case "true" -> true;
                case "false" -> false;
                case "null" -> null;
                default -> word.contains(".") || word.contains("e") ? (Object) Double.valueOf(word) : (Object) Long.valueOf(word);
            };
        }
        String string() {
            StringBuilder out = new StringBuilder();
            at++;
            while (true) {
                char c = text.charAt(at++);
                if (c == '"') return out.toString();
                if (c != '\\') { out.append(c); continue; }
                char e = text.charAt(at++);
                switch (e) {
                    case 'n' -> out.append('\n');
                    case 'r' -> out.append('\r');
                    case 't' -> out.append('\t');
                    case 'b' -> out.append('\b');
                    case 'f' -> out.append('\f');
                    case 'u' -> { out.append((char) Integer.parseInt(text.substring(at, at + 4), 16)); at += 4; }
                    default -> out.append(e);
                }
            }
        }
    }

    static String quote(String text) {
        StringBuilder out = new StringBuilder("\"");
        for (char c : text.toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < 32) out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        return out.append('"').toString();
    }

    static long number(Object value, long otherwise) { return value instanceof Number n ? n.longValue() : otherwise; }

    // ---- the platform's store

    final class Store {
        record Row(String table, String part, String key, String value, long ver, boolean deleted) {
            String text() {
                return "{\"table\":" + quote(table) + ",\"part\":" + quote(part) + ",\"key\":" + quote(key) +
                    (deleted ? ",\"deleted\":true" : ",\"value\":\"" + value + "\"") + ",\"ver\":" + ver + "}";
            }
        }
        private final TreeMap<String, Row> rows = new TreeMap<>();
        private long version = 100;
        final Server server;

        Store() throws IOException { server = new Server(0, this::handle); }

        private String id(String table, String part, String key) { return table + "\u0001" + part + "\u0001" + key; }

        synchronized void put(String table, String key, String json) {
            version++;
            rows.put(id(table, "", key), new Row(table, "", key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), version, false));
            notifyAll();
        }

        synchronized void remove(String table, String key) {
            version++;
            rows.put(id(table, "", key), new Row(table, "", key, "", version, true));
            notifyAll();
        }

        private String tail() { return ",\"ver\":" + version + ",\"now_ms\":" + now() + "}"; }

        /** How the store treats calls: "" serves them, "busy" answers 503, "silent" doesn't answer, "lost" carries them out and doesn't answer. */
        volatile String trouble = "";

        private Answer handle(Request request) throws Exception {
            String how = trouble;
            if (how.equals("busy")) return new Answer(503, "{}");
            if (how.equals("silent")) { sleep(5_000); return null; }
            if (how.equals("lost") && request.plainPath().equals("/v1/rows-tx") && java.util.concurrent.ThreadLocalRandom.current().nextInt(3) == 0) {
                serve(request);
                sleep(5_000);
                return null;
            }
            return serve(request);
        }

        private synchronized Answer serve(Request request) throws Exception {
            String path = request.plainPath();
            if (path.equals("/v1/rows-get")) {
                String table = request.query("table");
                String from = request.query("from");
                String to = request.query("to");
                List<String> found = new ArrayList<>();
                boolean more = false;
                for (Row row : rows.values()) {
                    boolean fits = row.table.equals(table) && !row.deleted && (from == null || row.key.compareTo(from) >= 0) && (to == null || row.key.compareTo(to) < 0);
                    if (!fits) continue;
                    if (found.size() == 500) { more = true; break; }
                    found.add(row.text());
                }
                return new Answer(200, "{\"rows\":[" + String.join(",", found) + "],\"has_more\":" + more + tail());
            }
            if (path.equals("/v1/rows-feed")) {
                String table = request.query("table");
                long after = Long.parseLong(request.query("after"));
                long until = System.nanoTime() + Long.parseLong(request.query("wait_ms")) * 1_000_000;
                while (true) {
                    List<Row> found = new ArrayList<>();
                    for (Row row : rows.values()) if (row.table.equals(table) && row.ver > after) found.add(row);
                    found.sort(Comparator.comparingLong(Row::ver));
                    long left = (until - System.nanoTime()) / 1_000_000;
                    if (!found.isEmpty() || left <= 0 || server.closed) {
                        return new Answer(200, "{\"rows\":[" + String.join(",", found.stream().map(Row::text).toList()) + "]" + tail());
                    }
                    wait(left);
                }
            }
            if (path.equals("/v1/rows-tx")) return transact(object(request.text()));
            return new Answer(404, "{}");
        }

        @SuppressWarnings("unchecked")
        private Answer transact(Map<String, Object> body) {
            List<Map<String, Object>> conditions = (List<Map<String, Object>>) (Object) body.getOrDefault("precondition", List.of());
            for (Map<String, Object> condition : conditions) {
                Row row = rows.get(id((String) condition.get("table"), (String) condition.getOrDefault("part", ""), (String) condition.get("key")));
                long ver = row == null || row.deleted ? 0 : row.ver;
                if (ver != number(condition.get("ver"), 0)) return new Answer(412, "{\"rows\":[]" + tail());
            }
            version++;
            for (Map<String, Object> put : (List<Map<String, Object>>) (Object) body.getOrDefault("puts", List.of())) {
                String table = (String) put.get("table"), part = (String) put.getOrDefault("part", ""), key = (String) put.get("key");
                rows.put(id(table, part, key), new Row(table, part, key, (String) put.get("value"), version, false));
            }
            for (Map<String, Object> gone : (List<Map<String, Object>>) (Object) body.getOrDefault("remove", List.of())) {
                String table = (String) gone.get("table"), part = (String) gone.getOrDefault("part", ""), key = (String) gone.get("key");
                rows.put(id(table, part, key), new Row(table, part, key, "", version, true));
            }
            notifyAll();
            return new Answer(200, "{\"ver\":" + version + ",\"now_ms\":" + now() + "}");
        }
    }

    /** Name of the VM that has claimed [cell], as the store's table of the system has it. */
    String ownerOf(String cell) {
        synchronized (store) {
            Store.Row row = store.rows.get(store.id("cells", "", cell));
            if (row == null || row.deleted) return "";
            String value = new String(Base64.getDecoder().decode(row.value), StandardCharsets.UTF_8);
            Matcher name = Pattern.compile("\"name\":\"([^\"]*)\"").matcher(value);
            return name.find() ? name.group(1) : "";
        }
    }

    void putConfiguration(int version, boolean enforcesCapacity) {
        store.put("op", "config", "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"" + QUEUE_HOST +
            "\",\"path_prefix\":\"/lohu930/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1500,\"latency_target_ms\":60,\"priority\":0,\"service\":\"" +
            SERVICE + "\",\"max_attempts\":4,\"stretch\":1.6}],\"services\":[{\"name\":\"" + SERVICE +
            "\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":" + enforcesCapacity +
            ",\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    }

    // ---- workers

    record Start(String worker, String task, long run, long atMs, String spec, Set<String> labels) {}

    final List<Start> starts = Collections.synchronizedList(new ArrayList<>());
    final List<String> faults = Collections.synchronizedList(new ArrayList<>());
    /** Work of a task in ms, and its CPU in thousandths of a core, as the client has submitted them. */
    volatile java.util.function.ToLongFunction<String> workMs = task -> 60;
    volatile java.util.function.ToLongFunction<String> cpuOf = task -> 1000;
    /** Runs, by task and number, that fail. */
    volatile java.util.function.Predicate<String> failing = run -> false;
    /** Tasks that have ended done. */
    final Set<String> done = ConcurrentHashMap.newKeySet();
    /** Further checks at each start. */
    volatile java.util.function.BiConsumer<Worker, Start> onStart = (worker, start) -> {};

    /** One life of a worker. */
    final class Worker {
        static final long MAX_HOLD_MS = 1000;
        final String id;
        final String zone;
        final int cpu;
        final Set<String> labels;
        final boolean guards;
        final long born = System.currentTimeMillis();
        final long startedNs = System.nanoTime();
        final Server server;
        long leaseUntil;
        long fence;
        long lastEnd;
        long seq;
        volatile boolean down;
        /** How long a stop takes: the run's capacity is in use until its end is listed. */
        volatile long stopMs = 0;
        /** Decides for each call what happens to it: null or "" nothing, "lost" carried out without an answer, "late" carried out later. */
        volatile java.util.function.Function<String, String> trouble = call -> "";
        final Map<String, Long> stopping = new HashMap<>();
        String state = "ready";
        final Map<String, long[]> running = new LinkedHashMap<>();
        final Map<String, Long> highestEnded = new HashMap<>();
        final List<String> ended = new ArrayList<>();
        final List<Long> endedNumbers = new ArrayList<>();

        Worker(String id, String zone, int port, int cpu, Set<String> labels, boolean guards) throws IOException {
            this.id = id;
            this.zone = zone;
            this.cpu = cpu;
            this.labels = labels;
            this.guards = guards;
            server = new Server(port, this::handleWithTrouble);
            workers.put(id, this);
            Thread ticker = new Thread(this::tick, "worker");
            ticker.setDaemon(true);
            ticker.start();
            beat();
        }

        long clock() { return (System.nanoTime() - startedNs) / 1_000_000; }

        void beat() {
            seq++;
            String list = String.join(",", labels.stream().map(Lab::quote).toList());
            store.put("servers", id, "{\"service\":\"" + SERVICE + "\",\"address\":\"" + HOST + ":" + server.port() + "\",\"zone\":\"" + zone +
                "\",\"version\":\"v1\",\"slots\":8,\"state\":\"" + state + "\",\"cold_left_ms\":0,\"capacity\":{\"cpu\":" + cpu +
                ",\"mem_mb\":32768,\"gpu\":0},\"labels\":[" + list + "],\"clock_ms\":" + clock() + ",\"born\":" + born + ",\"seq\":" + seq + "}");
        }

        /** The worker crashes: it runs nothing any more, and its connections end. */
        void crash() {
            synchronized (this) { down = true; running.clear(); notifyAll(); }
            server.close();
        }

        private void tick() {
            long beatAt = 1500;
            while (!down) {
                sleep(5);
                synchronized (this) {
                    if (down) return;
                    long clock = clock();
                    if (clock >= leaseUntil) for (String task : List.copyOf(running.keySet())) end(task, "lapsed");
                    for (String task : List.copyOf(running.keySet())) {
                        long[] run = running.get(task);
                        Long stopAt = stopping.get(task);
                        if (stopAt != null) {
                            if (clock >= stopAt) end(task, "stopped");
                        } else if (clock - run[1] >= run[2]) {
                            end(task, failing.test(task + " " + run[0]) ? "failed" : "done");
                        }
                    }
                }
                if (clock() >= beatAt) { beatAt += 1500; beat(); }
            }
        }

        private void end(String task, String how) {
            long[] run = running.remove(task);
            stopping.remove(task);
            if (how.equals("done")) done.add(task);
            highestEnded.merge(task, run[0], Math::max);
            lastEnd++;
            ended.add("[" + lastEnd + ",\"" + task + "\"," + run[0] + ",\"" + how + "\",\"\"]");
            endedNumbers.add(lastEnd);
            log("worker " + id + " end " + task + " run " + run[0] + " " + how);
            notifyAll();
        }

        private void extend(Object deadline) {
            if (deadline instanceof Number n) leaseUntil = Math.max(leaseUntil, Math.min(n.longValue(), clock() + MAX_HOLD_MS));
        }

        private String clockText() { return "\"clock_ms\":" + clock() + ",\"born\":" + born; }

        private Answer refuse(String reason) { return new Answer(409, "{" + clockText() + ",\"reason\":\"" + reason + "\"}"); }

        private synchronized Answer handle(Request request) throws Exception {
            if (down) return null;
            if (request.method.equals("GET")) return new Answer(200, "{}");
            String expected = request.headers.get("Expected-Instance");
            if (expected != null && !expected.equals(id)) return new Answer(421, "{" + clockText() + "}");
            Map<String, Object> body = object(request.text());
            long token = number(body.get("fencing_token"), 0);
            if (token < fence) return refuse("fence");
            fence = token;
            switch (request.plainPath()) {
                case "/v1/run-start": return start(body);
                case "/v1/run-stop": return stop(body);
                case "/v1/hold": return hold(body);
                default: return new Answer(404, "{}");
            }
        }

        /** Carries out a call that gets no answer, at once or later; its connection stays open without a word. */
        private Answer handleWithTrouble(Request request) throws Exception {
            String how = trouble.apply(request.plainPath());
            if (how == null || how.isEmpty() || down) return handle(request);
            if (how.equals("late")) {
                Thread late = new Thread(() -> {
                    sleep(2_000 + java.util.concurrent.ThreadLocalRandom.current().nextLong(4_000));
                    try {
                        Answer answer = handle(request);
                        if (answer != null && answer.status == 200 && !request.plainPath().equals("/v1/hold")) log("late call carried out: " + request.plainPath() + " " + request.text());
                    } catch (Exception e) { /* not carried out */ }
                });
                late.setDaemon(true);
                late.start();
            } else {
                handle(request);
            }
            sleep(8_000);
            return null;
        }

        private Answer start(Map<String, Object> body) {
            String task = (String) body.get("task");
            long run = number(body.get("run"), 0);
            long deadline = number(body.get("deadline_ms"), 0);
            long[] present = running.get(task);
            if (present != null && present[0] == run) { extend(deadline); return new Answer(200, "{" + clockText() + "}"); }
            if (run <= highestEnded.getOrDefault(task, 0L)) { extend(deadline); return refuse("old"); }
            if (deadline <= clock()) return refuse("late");
            long used = 0;
            for (String other : running.keySet()) used += cpuOf.applyAsLong(other);
            boolean fits = used + cpuOf.applyAsLong(task) <= cpu;
            if (guards && !fits) { extend(deadline); return refuse("room"); }
            extend(deadline);
            running.put(task, new long[] {run, clock(), workMs.applyAsLong(task)});
            Start start = new Start(id, task, run, now(), (String) body.get("spec"), labels);
            starts.add(start);
            onStart.accept(this, start);
            log("worker " + id + " start " + task + " run " + run + " labels " + labels + (fits ? "" : " OVER CAPACITY " + cpu));
            if (!fits) faults.add("LIMIT " + id + " " + task);
            for (Worker other : workers.values()) {
                if (other != this && !other.down && other.running.containsKey(task)) {
                    log("TWO RUNS of " + task + " on " + id + " and " + other.id);
                    faults.add("TWICE " + task + " on " + id + " and " + other.id);
                }
            }
            notifyAll();
            return new Answer(200, "{" + clockText() + "}");
        }

        private Answer stop(Map<String, Object> body) {
            String task = (String) body.get("task");
            long run = number(body.get("run"), 0);
            highestEnded.merge(task, run, Math::max);
            long[] present = running.get(task);
            if (present != null && present[0] <= run) {
                if (stopMs == 0) end(task, "stopped"); else stopping.putIfAbsent(task, clock() + stopMs);
            }
            return new Answer(200, "{" + clockText() + "}");
        }

        private Answer hold(Map<String, Object> body) throws InterruptedException {
            extend(body.get("deadline_ms"));
            long seen = number(body.get("last_seen"), 0);
            while (!endedNumbers.isEmpty() && endedNumbers.get(0) <= seen) { endedNumbers.remove(0); ended.remove(0); }
            long until = System.nanoTime() + number(body.get("wait_ms"), 0) * 1_000_000;
            long known = lastEnd;
            while (!down && ended.isEmpty() && lastEnd == known) {
                long left = (until - System.nanoTime()) / 1_000_000;
                if (left <= 0) break;
                wait(left);
            }
            if (down) return null;
            List<String> rows = new ArrayList<>();
            running.forEach((task, run) -> rows.add("[\"" + task + "\"," + run[0] + ",\"\"," +
                Math.min(99, 100 * (clock() - run[1]) / Math.max(1, run[2])) + ",0.5]"));
            List<String> first = ended.size() > 500 ? ended.subList(0, 500) : ended;
            return new Answer(200, "{" + clockText() + ",\"running\":[" + String.join(",", rows) + "],\"ended\":[" + String.join(",", first) + "]}");
        }
    }

    // ---- the project's own program

    final class Vm {
        final String name;
        final String zone;
        final int clients = freePort();
        final int readiness = freePort();
        final int peers = freePort();
        final Path log;
        Process process;

        Vm(String name, String zone, String seeds) throws IOException {
            this.name = name;
            this.zone = zone;
            log = temp.resolve(name + ".log");
            Map<String, String> values = new HashMap<>();
            values.put("node_name", name);
            values.put("region", "aotearoa-north");
            values.put("zone", zone);
            values.put("listen.front", HOST + ":" + clients);
            values.put("listen.ready", HOST + ":" + readiness);
            values.put("listen.control", HOST + ":" + peers);
            values.put("seeds", seeds);
            values.put("platform.address", HOST + ":" + (storePort > 0 ? storePort : store.server.port()));
            values.put("bounds.max_hold_ms", "1000");
            values.put("bounds.grace_s", "6");
            values.put("limits.cpu_share", "0.75");
            values.put("limits.cores", "1");
            values.put("limits.memory_mb", "430");
            values.put("limits.max_fds", "4100");
            Matcher matcher = Pattern.compile("\\{\\{([^}]*)}}").matcher(Files.readString(root.resolve("deploy/settings.template")));
            String text = matcher.replaceAll(found -> Matcher.quoteReplacement(values.getOrDefault(found.group(1), "")));
            Files.writeString(temp.resolve(name + ".json"), text);
            vms.add(this);
            start();
        }

        void start() throws IOException {
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/system.toml")));
            if (!run.find()) throw new IOException("no run line in the deploy file");
            ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" ")).directory(root.toFile());
            builder.environment().put("DANDELIONPOINT_SETTINGS", temp.resolve(name + ".json").toString());
            builder.environment().put("DANDELIONPOINT_REMOTE_PENALTY", "1.5");
            builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            Lab.this.log("VM " + name + " started, pid " + process.pid());
        }

        boolean isReady() { return call(readiness, "GET", "/v1/readiness", HOST, 500, null).status == 200; }

        void signal(String signal) throws Exception {
            Lab.this.log("VM " + name + " gets SIG" + signal);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        void kill() { process.destroyForcibly(); }
    }

    void awaitReady(long limitMs) {
        long until = now() + limitMs;
        while (now() < until) {
            if (vms.stream().allMatch(Vm::isReady)) return;
            sleep(100);
        }
        for (Vm vm : vms) log("VM " + vm.name + " ready " + vm.isReady() + ", alive " + vm.process.isAlive());
        throw new IllegalStateException("the VMs are not ready");
    }

    // ---- clients

    static String job(String spec, int count, int cpu, int estimateMs, String more) {
        return "{\"spec\":" + quote(spec) + ",\"best_effort\":true,\"steps\":[{\"count\":" + count + ",\"cpu\":" + cpu +
            ",\"mem_mb\":64,\"est_runtime_ms\":" + estimateMs + more + "}]}";
    }

    Answer submit(Vm vm, String id, String body, long waitMs) {
        log("client POST " + id + " to " + vm.name);
        Answer answer = call(vm.clients, "POST", "/lohu930/" + id, QUEUE_HOST, waitMs, body);
        log("client answer " + id + " " + answer.status + " " + answer.body);
        return answer;
    }
}
