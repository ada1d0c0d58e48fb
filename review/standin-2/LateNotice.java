import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A VM starts and is about to take the cells over; the store gives their owner no response for some seconds, and serves the others. */
final class LateNotice {
    static final long SILENCE_MS = 7_000;
    static final long DELAY_MS = 1_950;
    static final long RECOVERY_MS = 12_000;

    public static void main(String[] arguments) throws Exception {
        World.begin(arguments);
        Store store = new Store();
        Store.Door door = store.new Door();
        store.put("op", "config", World.configuration(3, "pool", true));
        for (int i = 0; i < 8; i++) {
            new Worker("w" + i, "pool", "za", 8_000, true, List.of("a", "r1"), store, (w, task, run, spec, used) ->
                World.note("start " + task + " run " + run + " on " + w.id));
        }
        World.Vm first = new World.Vm("vm-a", "za", door.port, null);
        World.await("vm-a is ready", 20_000, first::isReady);
        World.Vm third = new World.Vm("vm-c", "za", store, first);
        World.await("vm-c is ready", 20_000, third::isReady);
        World.sleep(4_000);
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        Thread clients = new Thread(() -> {
            for (long n = 1; ; n++) {
                String id = World.jobId(n);
                World.Vm vm = n % 2 == 0 ? first : third;
                Worker.CPU_OF_JOB.put(id, 1_000L);
                String job = "{\"spec\":\"100 job\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":100}]}";
                Web.THREADS.submit(() -> {
                    World.Call call = new World.Call("POST", vm.clients, "/q/" + id, "jobs.example", job, 1_500);
                    World.note("answer " + id + " at " + vm.name + ": " + call.status + (call.status == 200 ? "" : " " + call.body));
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

        // Of the three VMs vm-b is assigned all cells while it is there, and vm-a otherwise, by the hash of the names.
        World.Vm second = null;
        store.observer = (table, keys, before, after) -> {
            boolean isTakeover = table.equals("cells") && before.get(0) != null && before.get(0).contains("\"vm-a\"") && after.get(0).contains("\"vm-b\"");
            if (isTakeover) World.note("vm-b takes over " + keys.size() + " cells; last renewal of vm-a " + (World.ms() - door.lastWriteMs) + " ms ago");
        };
        boolean isStuck = false;
        for (int round = 0; round < 3 && !isStuck; round++) {
            String earlier = store.values("vms").get("vm-b");
            if (second == null) {
                second = new World.Vm("vm-b", "za", store, first);
            } else {
                second.kill();
                World.await("vm-a owns all cells again", 10_000, () -> World.owners(store).getOrDefault("vm-a", 0) == 64);
                World.sleep(1_000);
                second.start();
            }
            World.await("vm-b is there", 10_000, () -> !java.util.Objects.equals(earlier, store.values("vms").get("vm-b")));
            World.note("vm-b is there");
            World.sleep(DELAY_MS);
            if (World.trouble) {
                World.note("the store gives vm-a no response; claims: " + World.owners(store));
                door.silent = true;
            }
            World.sleep(SILENCE_MS);
            door.silent = false;
            World.note("the store serves vm-a again; claims: " + World.owners(store));
            World.sleep(1_500);
            int servedThen = served.get();
            World.sleep(2_000);
            isStuck = served.get() - servedThen < 5;
        }
        World.sleep(RECOVERY_MS);
        int askedUntil = asked.get();
        int servedUntil = served.get();
        World.sleep(25_000);
        int askedAfter = asked.get() - askedUntil;
        int servedAfter = served.get() - servedUntil;
        World.note("claims: " + World.owners(store) + ", ready: " + first.isReady() + " " + second.isReady() + " " + third.isReady());
        World.note("later than " + RECOVERY_MS + " ms after: served " + servedAfter + " of " + askedAfter);
        if (servedBefore * 4 < askedBefore) World.finish(2);
        World.finish(servedAfter * 4 < askedAfter ? 1 : 0);
    }
}
