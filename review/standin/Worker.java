package standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A worker as PROTOCOL.md has it, in control mode `invocation`. A task works for as long as its job's spec says: "work_ms=N". */
final class Worker {
    static final long MAX_HOLD_MS = 1_000;
    static final long STOP_MS = 20;
    static final long HEARTBEAT_MS = 1_500;

    /** The steady clock of a worker may be 2 % slow (PROTOCOL.md). */
    static final double CLOCK_RATE = 0.98;

    private static final class Run {
        final String task;
        final long number;
        final long startedNs = System.nanoTime();
        final long workMs;
        long stopsAt = Long.MAX_VALUE;

        Run(String task, long number, long workMs) {
            this.task = task;
            this.number = number;
            this.workMs = workMs;
        }
    }

    private record End(long n, String task, long run, String how) {}

    /** A run of a task, from its start to its end on System.nanoTime. */
    record Interval(String task, String worker, long run, long from, long to) {}

    final String id;
    private final Store store;
    private final Record record;
    private final String zone;
    private final String rack;
    private final String service;
    private final long cpu;
    private final HttpServer server;
    private final long beganNs = System.nanoTime();
    private final long born = System.currentTimeMillis();
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private final List<End> ends = new ArrayList<>();
    private final List<Interval> intervals = new ArrayList<>();
    private long lastEnd;
    private long highestToken;
    private long leaseUntil;
    private long seq;
    private volatile boolean isStopped;

    Worker(String id, String host, String zone, String rack, String service, long cpu, Store store, Record record) throws IOException {
        this.id = id;
        this.zone = zone;
        this.rack = rack;
        this.service = service;
        this.cpu = cpu;
        this.store = store;
        this.record = record;
        server = Http.serve(host, 0, this::handle);
        Thread loop = new Thread(this::loop, "worker-" + id);
        loop.setDaemon(true);
        loop.start();
    }

    void stop() {
        isStopped = true;
        server.stop(0);
    }

    /** True while a run of the job is at work here. */
    synchronized boolean runs(String job) {
        return runs.keySet().stream().anyMatch(task -> task.startsWith(job + "."));
    }

    /** All runs so far; one that is at work lasts until now. */
    synchronized List<Interval> intervals() {
        List<Interval> all = new ArrayList<>(intervals);
        for (Run run : runs.values()) all.add(new Interval(run.task, id, run.number, run.startedNs, System.nanoTime()));
        return all;
    }

    private long clock() {
        return (long) ((System.nanoTime() - beganNs) / 1e6 * CLOCK_RATE) + 10_000;
    }

    private void loop() {
        long nextBeat = 0;
        while (!isStopped) {
            if (clock() >= nextBeat) {
                nextBeat = clock() + HEARTBEAT_MS;
                beat();
            }
            synchronized (this) {
                endDueRuns();
            }
            try {
                Thread.sleep(2);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void beat() {
        String address = server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
        store.put("servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"capacity\":{\"cpu\":" + cpu
            + ",\"mem_mb\":32768,\"gpu\":0},\"labels\":[\"a\",\"" + rack + "\"],\"clock_ms\":" + clock() + ",\"born\":" + born
            + ",\"seq\":" + ++seq + "}");
    }

    private void endDueRuns() {
        long now = clock();
        for (Run run : new ArrayList<>(runs.values())) {
            if (now > leaseUntil) end(run, "lapsed");
            else if (now >= run.stopsAt) end(run, "stopped");
            else if (System.nanoTime() >= run.startedNs + run.workMs * 1_000_000) end(run, "done");
        }
    }

    private void end(Run run, String how) {
        runs.remove(run.task);
        intervals.add(new Interval(run.task, id, run.number, run.startedNs, System.nanoTime()));
        highestEnded.merge(run.task, run.number, Math::max);
        ends.add(new End(++lastEnd, run.task, run.number, how));
        record.line("worker " + id + ": run " + run.number + " of " + run.task + " ended " + how);
        notifyAll();
    }

    private Http.Answer handle(String path, Map<String, String> query, HttpExchange exchange, String text) throws Exception {
        if (path.equals("/health")) return new Http.Answer(200, "");
        String wanted = exchange.getRequestHeaders().getFirst("Expected-Instance");
        if (wanted != null && !wanted.equals(id)) return new Http.Answer(421, "{\"clock_ms\":" + clock() + "}");
        Map<String, Object> body = Json.object(text);
        synchronized (this) {
            endDueRuns();
            long token = Json.number(body, "fencing_token", 0);
            if (token < highestToken) return conflict("fence");
            highestToken = token;
            return switch (path) {
                case "/v1/run-start" -> start(body);
                case "/v1/run-stop" -> stopRun(body);
                case "/v1/hold" -> hold(body);
                default -> new Http.Answer(404, "");
            };
        }
    }

    private Http.Answer conflict(String reason) {
        return new Http.Answer(409, "{\"clock_ms\":" + clock() + ",\"reason\":\"" + reason + "\"}");
    }

    private Http.Answer ok() {
        return new Http.Answer(200, "{\"clock_ms\":" + clock() + "}");
    }

    private void extendLease(Map<String, Object> body) {
        long until = Math.min(Json.number(body, "deadline_ms", 0), clock() + MAX_HOLD_MS);
        leaseUntil = Math.max(leaseUntil, until);
    }

    private Http.Answer start(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = Json.number(body, "run", 0);
        if (Json.number(body, "deadline_ms", 0) <= clock()) return conflict("late");
        Run present = runs.get(task);
        extendLease(body);
        if (present != null && present.number == number) return ok();
        if (present != null || number <= highestEnded.getOrDefault(task, 0L)) return conflict("old");
        if ((runs.size() + 1) * 1_000L > cpu) return conflict("room");
        String spec = (String) body.getOrDefault("spec", "");
        runs.put(task, new Run(task, number, Long.parseLong(spec.replaceAll(".*work_ms=(\\d+).*", "$1"))));
        record.line("worker " + id + ": run " + number + " of " + task + " started");
        return ok();
    }

    private Http.Answer stopRun(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = Json.number(body, "run", 0);
        Run run = runs.get(task);
        if (run != null && run.number <= number) run.stopsAt = Math.min(run.stopsAt, clock() + STOP_MS);
        highestEnded.merge(task, number, Math::max);
        return ok();
    }

    private Http.Answer hold(Map<String, Object> body) throws InterruptedException {
        long seen = Json.number(body, "last_seen", 0);
        if (body.containsKey("deadline_ms")) extendLease(body);
        ends.removeIf(end -> end.n <= seen);
        long until = clock() + Json.number(body, "wait_ms", 0);
        while (ends.isEmpty() && clock() < until) wait(Math.max(1, until - clock()));
        List<String> running = new ArrayList<>();
        for (Run run : runs.values()) {
            long percent = Math.min(99, (System.nanoTime() - run.startedNs) / 10_000 / Math.max(1, run.workMs));
            running.add("[\"" + run.task + "\"," + run.number + ",\"\"," + percent + ",1000]");
        }
        List<String> ended = new ArrayList<>();
        for (End end : ends) ended.add("[" + end.n + ",\"" + end.task + "\"," + end.run + ",\"" + end.how + "\",\"\"]");
        return new Http.Answer(200, "{\"clock_ms\":" + clock() + ",\"born\":" + born + ",\"running\":[" + String.join(",", running)
            + "],\"ended\":[" + String.join(",", ended) + "]}");
    }
}
