package standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: the store, workers and entry VMs, all on loopback addresses. */
final class Fleet implements AutoCloseable {
    static final String SERVICE = "huvo11a";
    final Record record;
    final Store store;
    final List<Vm> vms = new ArrayList<>();
    final List<Worker> workers = new ArrayList<>();
    private final Path folder;

    Fleet(Record record) throws IOException {
        this.record = record;
        folder = Files.createTempDirectory("review");
        if (System.getenv("KEEP_LOGS") != null) record.line("logs of the VMs: " + folder);
        store = new Store("127.0.0.1");
        store.put("op", "config", configuration(7));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    private static String configuration(int version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-73hh2b9\",\"host\":\"" + Connection.HOST + "\",\"path_prefix\":\""
            + Connection.PREFIX + "\",\"kind\":\"non_idempotent\",\"timeout_ms\":30000,\"latency_target_ms\":60,\"priority\":1,"
            + "\"service\":\"" + SERVICE + "\",\"max_attempts\":4,\"stretch\":1.6}],\"services\":[{\"name\":\"" + SERVICE
            + "\",\"health_path\":\"/health\",\"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":true,"
            + "\"standby\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
            + "\"idle_timeout_ms\":15000}}";
    }

    Worker worker(String id, String zone) throws IOException {
        Worker worker = new Worker(id, "127.0.0.1", zone, "r1-" + workers.size(), SERVICE, 16_000, store, record);
        workers.add(worker);
        return worker;
    }

    Vm vm(String name, String zone) throws IOException {
        Vm vm = new Vm(name, zone, "127.0.0.1", vms, store, folder, record);
        vms.add(vm);
        return vm;
    }

    /** True while a run of the job is at work on a worker. */
    boolean runs(String job) {
        return workers.stream().anyMatch(worker -> worker.runs(job));
    }

    /** Records each pair of runs of one task that were at work at the same time, and returns their number. */
    int parallelRuns() {
        List<Worker.Interval> all = new ArrayList<>();
        for (Worker worker : workers) all.addAll(worker.intervals());
        int count = 0;
        for (int i = 0; i < all.size(); i++) {
            for (int k = i + 1; k < all.size(); k++) {
                Worker.Interval a = all.get(i);
                Worker.Interval b = all.get(k);
                long common = Math.min(a.to(), b.to()) - Math.max(a.from(), b.from());
                if (!a.task().equals(b.task()) || common <= 0) continue;
                count++;
                record.line(String.format("task %s: run %d on %s and run %d on %s were at work at the same time for %.1f ms", a.task(), a.run(),
                    a.worker(), b.run(), b.worker(), common / 1e6));
            }
        }
        return count;
    }

    @Override
    public void close() {
        vms.forEach(Vm::kill);
        workers.forEach(Worker::stop);
        store.stop();
        if (System.getenv("KEEP_LOGS") != null) return;
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // The folder is gone already.
        }
    }
}
