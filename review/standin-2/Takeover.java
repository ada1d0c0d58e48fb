import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** The VM that owns the workers is killed while they are full; the workers of the service don't guard their capacity. */
final class Takeover {
    public static void main(String[] arguments) throws Exception {
        World.begin(arguments);
        AtomicLong over = new AtomicLong();
        Store store = new Store();
        store.put("op", "config", World.configuration(3, "pool", false));
        Map<String, Worker> workers = new HashMap<>();
        for (int i = 0; i < 8; i++) {
            Worker worker = new Worker("w" + i, "pool", "za", 4_000, false, List.of("a", "r1"), store, new Worker.Observer() {
                @Override
                public void started(Worker w, String task, int run, String spec, long used) {
                    World.note("start " + task + " run " + run + " on " + w.id + ", which then uses " + used + " of " + w.cpu);
                    if (used > w.cpu) over.incrementAndGet();
                }

                @Override
                public void ended(Worker w, String task, int run, String how) {
                    World.note("end " + task + " run " + run + " on " + w.id + " " + how);
                }
            });
            workers.put(worker.id, worker);
        }
        World.Vm first = new World.Vm("vm-a", "za", store, null);
        World.Vm second = new World.Vm("vm-b", "za", store, first);
        World.await("both VMs are ready", 20_000, () -> first.isReady() && second.isReady());
        World.sleep(6_000);

        // 21 jobs a second of one task of one core, 0.6 to 2.6 s each, for 32 cores: the workers are full. A quarter of the clients are at vm-b.
        Thread clients = new Thread(() -> {
            for (long n = 1; ; n++) {
                String id = World.jobId(n);
                World.Vm vm = n % 4 != 0 ? first : second;
                Worker.CPU_OF_JOB.put(id, 1_000L);
                long runMs = 600 + n * 677 % 2_000;
                String job = "{\"spec\":\"" + runMs + " job\",\"best_effort\":true,\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":" + runMs + "}]}";
                Web.THREADS.submit(() -> {
                    World.Call call = new World.Call("POST", vm.clients, "/q/" + id, "jobs.example", job, 8_000);
                    World.note("answer " + id + " at " + vm.name + ": " + call.status);
                });
                World.sleep(47);
            }
        });
        clients.setDaemon(true);
        clients.start();
        World.sleep(8_000);
        for (int round = 0; round < 12; round++) {
            Map<String, Integer> owners = World.owners(store);
            World.note("claims: " + owners);
            World.Vm owner = owners.getOrDefault("vm-a", 0) >= owners.getOrDefault("vm-b", 0) ? first : second;
            if (World.trouble) {
                owner.kill();
                World.sleep(1_000);
                owner.start();
                World.await("the VM is ready again", 20_000, owner::isReady);
            }
            World.sleep(5_500);
        }
        World.note("starts that brought a worker over its capacity: " + over);
        World.finish(over.get() > 0 ? 1 : 0);
    }
}
