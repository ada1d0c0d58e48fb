import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A VM is added, takes the cells over, and freezes for a second as the answer to its claim is on its way. */
final class FrozenTakeover {
    static final long FREEZE_MS = 1_000;
    static final long RECOVERY_MS = 12_000;

    public static void main(String[] arguments) throws Exception {
        World.begin(arguments);
        Store store = new Store();
        store.put("op", "config", World.configuration(3, "pool", true));
        for (int i = 0; i < 4; i++) {
            new Worker("worker-" + i, "pool", "za", 16_000, true, List.of("a", "r1"), store, (w, task, run, spec, used) ->
                World.note("start " + task + " run " + run + " on " + w.id));
        }
        World.Vm first = new World.Vm("vm-a", "za", store, null);
        World.await("vm-a is ready", 20_000, first::isReady);
        World.sleep(4_000);
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        Thread clients = new Thread(() -> {
            for (long n = 1; ; n++) {
                String id = World.jobId(n);
                Worker.CPU_OF_JOB.put(id, 1_000L);
                String job = "{\"spec\":\"100 job\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":100}]}";
                Web.THREADS.submit(() -> {
                    World.Call call = new World.Call("POST", first.clients, "/q/" + id, "jobs.example", job, 1_500);
                    World.note("answer " + id + ": " + call.status + (call.status == 200 ? "" : " " + call.body));
                    if (call.status == 200) served.incrementAndGet();
                    asked.incrementAndGet();
                });
                World.sleep(100);
            }
        });
        clients.setDaemon(true);
        clients.start();
        World.sleep(6_000);
        int askedBefore = asked.get();
        int servedBefore = served.get();
        World.note("before: served " + servedBefore + " of " + askedBefore);

        World.Vm second = new World.Vm("vm-b", "za", store, first);
        AtomicInteger takeovers = new AtomicInteger();
        store.observer = (table, keys, before, after) -> {
            boolean isTakeover = table.equals("cells") && before.get(0) != null && before.get(0).contains("\"vm-a\"") && after.get(0).contains("\"vm-b\"");
            if (!isTakeover) return;
            int number = takeovers.incrementAndGet();
            World.note("vm-b takes over " + keys.size() + " cells: " + keys);
            if (!World.trouble || number > 1) return;
            second.signal("STOP");
            Web.THREADS.submit(() -> {
                World.sleep(FREEZE_MS);
                second.signal("CONT");
            });
        };
        World.await("vm-b has taken cells over", 20_000, () -> takeovers.get() > 0);
        World.sleep(FREEZE_MS + RECOVERY_MS + 1_000);
        World.note("claims: " + World.owners(store));
        int askedUntil = asked.get();
        int servedUntil = served.get();
        World.sleep(30_000);
        int askedAfter = asked.get() - askedUntil;
        int servedAfter = served.get() - servedUntil;
        World.note("later than " + RECOVERY_MS + " ms after the VM was back: served " + servedAfter + " of " + askedAfter);
        if (servedBefore * 4 < askedBefore) World.finish(2);
        World.finish(servedAfter * 4 < askedAfter ? 1 : 0);
    }
}
