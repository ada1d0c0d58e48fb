import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A worker that takes its instructions by calls, as PROTOCOL.md has it. The task's `spec` begins with its run time in ms. Each life of the
 * worker has a new clock, numbers its ends from 1 and has seen no fencing token.
 */
final class Worker {
    static final long MAX_HOLD_MS = 1_000;

    /** A stop takes this long; the pages allow 50 ms (`stop_timeout_ms`). */
    static long stopMs = 40;

    private final class Run {
        final String task;
        final int number;
        final long cpu;
        final long startedNs = System.nanoTime();
        final long runMs;
        long stopAtNs = Long.MAX_VALUE;

        Run(String task, int number, long cpu, long runMs) {
            this.task = task;
            this.number = number;
            this.cpu = cpu;
            this.runMs = runMs;
        }
    }

    interface Observer {
        /** A run has begun. [usedCpu] is that of all runs of the worker with this one, those that are being stopped included. */
        void started(Worker worker, String task, int run, String spec, long usedCpu);

        default void ended(Worker worker, String task, int run, String how) {}
    }

    final String id;
    final String service;
    final String zone;
    final int port = Web.freePort();
    final long cpu;
    final boolean enforces;
    private final Store store;
    private final Observer observer;
    private volatile List<Object> labels;
    private volatile String state = "ready";

    private Web web;
    private Map<String, Run> running = new LinkedHashMap<>();
    private Map<String, Integer> refusedUpTo = new HashMap<>();
    private List<Object[]> ended = new ArrayList<>();
    private long ends;
    private long token;
    private long deadlineMs;
    private long bornMs;
    private long bornNs;
    private long seq;
    private boolean alive;
    /** The CPU of each task; a start order does not say it. Set by the script before it submits the job. */
    static final Map<String, Long> CPU_OF_JOB = new java.util.concurrent.ConcurrentHashMap<>();

    Worker(String id, String service, String zone, long cpu, boolean enforces, List<Object> labels, Store store, Observer observer) throws Exception {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.cpu = cpu;
        this.enforces = enforces;
        this.labels = labels;
        this.store = store;
        this.observer = observer;
        start();
        Web.THREADS.submit(this::timer);
        Web.THREADS.submit(this::beats);
    }

    synchronized void start() throws Exception {
        running = new LinkedHashMap<>();
        refusedUpTo = new HashMap<>();
        ended = new ArrayList<>();
        ends = 0;
        token = 0;
        deadlineMs = 0;
        seq = 0;
        bornMs = System.currentTimeMillis();
        bornNs = System.nanoTime();
        alive = true;
        web = new Web(port, (method, path, query, headers, body) -> call(path, headers.getFirst("Expected-Instance"), Json.object(body)));
        register();
    }

    /** The worker crashes: what runs there ends, and its connections are reset. */
    synchronized void crash() {
        alive = false;
        running.values().forEach(run -> observer.ended(this, run.task, run.number, "crashed"));
        running.clear();
        web.stop();
        notifyAll();
    }

    /** The next life of the worker has other labels. */
    void setLabels(List<Object> next) {
        labels = next;
    }

    List<Object> labels() {
        return labels;
    }

    void drain() {
        state = "draining";
        register();
    }

    private void beats() {
        try {
            while (true) {
                Thread.sleep(1_500);
                register();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    synchronized void register() {
        if (!alive || store.busy) return;
        seq++;
        store.put("servers", id, Json.write(Json.map("service", service, "address", "127.0.0.1:" + port, "zone", zone, "version", "v1", "slots", 8L, "state", state,
            "cold_left_ms", 0L, "capacity", Json.map("cpu", cpu, "mem_mb", 32768L, "gpu", 0L), "labels", labels, "clock_ms", clockMs(), "born", bornMs, "seq", seq)));
    }

    private long clockMs() {
        return 1_000 + (System.nanoTime() - bornNs) / 1_000_000;
    }

    private synchronized void timer() {
        try {
            while (true) {
                if (alive) endDue();
                wait(2);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endDue() {
        long now = System.nanoTime();
        boolean lapsed = clockMs() > deadlineMs;
        for (Run run : new ArrayList<>(running.values())) {
            if (lapsed) end(run, "lapsed");
            else if (now >= run.stopAtNs) end(run, "stopped");
            else if (now - run.startedNs >= run.runMs * 1_000_000) end(run, "done");
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        ends++;
        ended.add(new Object[] {ends, run.task, run.number, how});
        refusedUpTo.merge(run.task, run.number, Math::max);
        observer.ended(this, run.task, run.number, how);
        notifyAll();
    }

    private Web.Answer refused(String reason) {
        return new Web.Answer(409, Json.write(Json.map("clock_ms", clockMs(), "reason", reason)));
    }

    private void extend(Object until) {
        if (until != null) deadlineMs = Math.max(deadlineMs, Math.min((Long) until, clockMs() + MAX_HOLD_MS));
    }

    private synchronized Web.Answer call(String path, String instance, Map<String, Object> body) throws InterruptedException {
        if (!alive) return null;
        if (instance != null && !instance.equals(id)) return new Web.Answer(421, "{}");
        endDue();
        long given = body.get("fencing_token") == null ? 0 : (Long) body.get("fencing_token");
        if (given < token) return refused("fence");
        token = given;
        return switch (path) {
            case "/v1/run-start" -> runStart(body);
            case "/v1/run-stop" -> runStop(body);
            case "/v1/hold" -> hold(body);
            default -> new Web.Answer(404, "{}");
        };
    }

    private Web.Answer runStart(Map<String, Object> body) {
        String task = (String) body.get("task");
        int number = (int) (long) (Long) body.get("run");
        String spec = (String) body.get("spec");
        Run present = running.get(task);
        if (present != null && present.number == number) {
            extend(body.get("deadline_ms"));
            return new Web.Answer(200, Json.write(Json.map("clock_ms", clockMs())));
        }
        if ((Long) body.get("deadline_ms") <= clockMs()) return refused("late");
        if (number <= refusedUpTo.getOrDefault(task, 0) || present != null) {
            extend(body.get("deadline_ms"));
            return refused("old");
        }
        long needs = CPU_OF_JOB.getOrDefault(task.substring(0, task.indexOf('.')), 0L);
        long used = running.values().stream().mapToLong(r -> r.cpu).sum() + needs;
        if (enforces && used > cpu) {
            extend(body.get("deadline_ms"));
            return refused("room");
        }
        extend(body.get("deadline_ms"));
        running.put(task, new Run(task, number, needs, Long.parseLong(spec.split(" ")[0])));
        observer.started(this, task, number, spec, used);
        return new Web.Answer(200, Json.write(Json.map("clock_ms", clockMs())));
    }

    private Web.Answer runStop(Map<String, Object> body) {
        String task = (String) body.get("task");
        int number = (int) (long) (Long) body.get("run");
        Run present = running.get(task);
        if (present != null && present.number == number) present.stopAtNs = Math.min(present.stopAtNs, System.nanoTime() + stopMs * 1_000_000);
        else refusedUpTo.merge(task, number, Math::max);
        return new Web.Answer(200, Json.write(Json.map("clock_ms", clockMs())));
    }

    private Web.Answer hold(Map<String, Object> body) throws InterruptedException {
        long life = bornMs;
        long seen = body.get("last_seen") == null ? 0 : (Long) body.get("last_seen");
        extend(body.get("deadline_ms"));
        ended.removeIf(end -> (Long) end[0] <= seen);
        long until = System.nanoTime() + Math.min(2_000, body.get("wait_ms") == null ? 0 : (Long) body.get("wait_ms")) * 1_000_000;
        while (ended.isEmpty() && System.nanoTime() < until && alive && life == bornMs) wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        if (!alive || life != bornMs) return null;
        List<Object> runs = new ArrayList<>();
        for (Run run : running.values()) {
            long percent = Math.min(99, (System.nanoTime() - run.startedNs) / 10_000 / Math.max(1, run.runMs));
            runs.add(List.of(run.task, (long) run.number, "", percent, run.cpu));
        }
        List<Object> rows = new ArrayList<>();
        ended.stream().limit(500).forEach(end -> rows.add(List.of(end[0], end[1], (long) (Integer) end[2], end[3], "")));
        return new Web.Answer(200, Json.write(Json.map("clock_ms", clockMs(), "born", bornMs, "running", runs, "ended", rows)));
    }
}
