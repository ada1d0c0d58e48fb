import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A worker crashes and starts again under its id as one of another kind, while jobs come that need the kind that it had. */
final class OtherKind {
    public static void main(String[] arguments) throws Exception {
        World.begin(arguments);
        AtomicLong wrong = new AtomicLong();
        Store store = new Store();
        store.put("op", "config", World.configuration(3, "pool", true));
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            workers.add(new Worker("w" + i, "pool", "za", 4_000, true, List.of("a", "r" + i / 4), store, (w, task, run, spec, used) -> {
                boolean fits = w.labels().contains("a");
                World.note("start " + task + " run " + run + " on " + w.id + " " + w.labels() + (fits ? "" : ", which lacks the required label a"));
                if (!fits) wrong.incrementAndGet();
            }));
        }
        World.Vm first = new World.Vm("vm-a", "za", store, null);
        World.Vm second = new World.Vm("vm-b", "za", store, first);
        World.await("both VMs are ready", 20_000, () -> first.isReady() && second.isReady());
        World.sleep(6_000);

        // 20 jobs a second of one task of one core, 0.9 s each, for 32 cores.
        Thread clients = new Thread(() -> {
            for (long n = 1; ; n++) {
                String id = World.jobId(n);
                World.Vm vm = n % 2 == 0 ? first : second;
                Worker.CPU_OF_JOB.put(id, 1_000L);
                String job = "{\"spec\":\"900 job\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":900,\"required_label\":\"a\"}]}";
                Web.THREADS.submit(() -> {
                    World.Call call = new World.Call("POST", vm.clients, "/q/" + id, "jobs.example", job, 5_000);
                    World.note("answer " + id + " at " + vm.name + ": " + call.status);
                });
                World.sleep(50);
            }
        });
        clients.setDaemon(true);
        clients.start();
        World.sleep(6_000);
        for (int round = 0; round < 6; round++) {
            Worker worker = workers.get(round % 8);
            if (World.trouble) {
                World.note("crash of " + worker.id);
                worker.crash();
                World.sleep(3_000);
                worker.setLabels(List.of("b", "r" + round % 8 / 4));
                worker.start();
                World.note("start of " + worker.id + " under its id, with the labels " + worker.labels());
            }
            World.sleep(4_000);
            if (World.trouble) {
                worker.crash();
                worker.setLabels(List.of("a", "r" + round % 8 / 4));
                World.sleep(1_000);
                worker.start();
                World.sleep(4_000);
            }
        }
        World.note("starts on a worker without the required label: " + wrong);
        World.finish(wrong.get() > 0 ? 1 : 0);
    }
}
