import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/** A job is cancelled by a DELETE that reaches another entry VM than its POST, because a VM was added meanwhile. */
final class CancelElsewhere {
    static final long CANCEL_MS = 3_000;
    static final long STOP_TIMEOUT_MS = 50;

    public static void main(String[] arguments) throws Exception {
        World.begin(arguments);
        AtomicLong cancelledAt = new AtomicLong(Long.MAX_VALUE);
        AtomicLong lateStarts = new AtomicLong();
        AtomicLong lateRuns = new AtomicLong();
        Store store = new Store();
        store.put("op", "config", World.configuration(3, "pool", true));
        for (int i = 0; i < 4; i++) {
            new Worker("w" + i, "pool", "za", 16_000, true, List.of("a", "r1"), store, new Worker.Observer() {
                @Override
                public void started(Worker worker, String task, int run, String spec, long usedCpu) {
                    World.note("start " + task + " run " + run + " on " + worker.id);
                    if (World.ms() - cancelledAt.get() > CANCEL_MS) lateStarts.incrementAndGet();
                }

                @Override
                public void ended(Worker worker, String task, int run, String how) {
                    World.note("end " + task + " run " + run + " " + how);
                    if (World.ms() - cancelledAt.get() > CANCEL_MS + STOP_TIMEOUT_MS) lateRuns.incrementAndGet();
                }
            });
        }
        World.Vm first = new World.Vm("vm-a", "za", store, null);
        World.Vm second = new World.Vm("vm-b", "za", store, first);
        World.await("both VMs are ready", 20_000, () -> first.isReady() && second.isReady());
        World.sleep(5_000);

        String id = World.jobId(1);
        Worker.CPU_OF_JOB.put(id, 2_000L);
        StringBuilder steps = new StringBuilder();
        for (int i = 0; i < 10; i++) {
            steps.append(i > 0 ? "," : "").append("{\"count\":2,\"cpu\":2000,\"mem_mb\":64,\"est_runtime_ms\":1500").append(i > 0 ? ",\"after\":[" + (i - 1) + "]}" : "}");
        }
        String job = "{\"spec\":\"1500 job\",\"best_effort\":true,\"steps\":[" + steps + "]}";
        Web.THREADS.submit(() -> {
            World.note("POST " + id + " to vm-a");
            World.Call call = new World.Call("POST", first.clients, "/q/" + id, "jobs.example", job, 25_000);
            World.note("answer to the POST: " + call.status + " " + call.body);
        });
        World.sleep(500);
        World.Vm target = first;
        if (World.trouble) {
            target = new World.Vm("vm-c", "za", store, first);
            World.Vm added = target;
            World.await("the added VM is ready", 20_000, added::isReady);
        } else {
            World.sleep(3_000);
        }
        World.sleep(200);
        World.note("DELETE " + id + " to " + target.name);
        World.Call delete = new World.Call("DELETE", target.clients, "/q/" + id, "jobs.example", "", 5_000);
        cancelledAt.set(World.ms());
        World.note("answer to the DELETE: " + delete.status + " " + delete.body);
        if (delete.status / 100 != 2 && delete.status != 410) World.finish(2);
        World.sleep(12_000);
        World.note("starts later than " + CANCEL_MS + " ms after the acknowledgement: " + lateStarts + "; ends later than " + (CANCEL_MS + STOP_TIMEOUT_MS) + " ms: " + lateRuns);
        World.finish(lateStarts.get() + lateRuns.get() > 0 ? 1 : 0);
    }
}
