package standin;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Runs one case: `Review CASE FOLDER`. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. */
public final class Review {
    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    public static void main(String[] arguments) throws Exception {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        limitTime();
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(arguments[1], "record.txt"));
        int result;
        try (Fleet fleet = new Fleet(record)) {
            result = switch (arguments[0]) {
                case "drain" -> drain(fleet, record, trouble);
                case "pause" -> pause(fleet, record, trouble);
                case "handover" -> handover(fleet, record, trouble);
                case "hup" -> hup(fleet, record, trouble);
                case "cancel" -> cancel(fleet, record, trouble);
                default -> NOT_RUN;
            };
        } catch (Exception e) {
            record.line("the case could not run: " + e);
            e.printStackTrace();
            result = NOT_RUN;
        }
        record.line(result == HELD ? "HELD" : result == BROKEN ? "BROKEN" : "NOT RUN");
        System.exit(result);
    }

    /** Ends a case that takes longer than the 120 s that a script may. */
    private static void limitTime() {
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(110_000);
            } catch (InterruptedException e) {
                return;
            }
            System.exit(NOT_RUN);
        });
        limit.setDaemon(true);
        limit.start();
    }

    /** A planned stop: a request on an open connection, read by the stopping VM late in its grace time. */
    private static int drain(Fleet fleet, Record record, boolean trouble) throws Exception {
        for (int i = 0; i < 4; i++) fleet.worker("i-7f3a91c" + i, "akl-a");
        Vm first = fleet.vm("front-akl-a-1", "akl-a");
        Vm second = fleet.vm("front-akl-a-2", "akl-a");
        first.start();
        second.start();
        first.awaitReady(30);
        second.awaitReady(30);
        Thread.sleep(3_000);
        if (!serves(first, record)) return NOT_RUN;
        // Open connections, one for each client, as a client's pool holds them. Each has served a request.
        List<Connection> clients = new ArrayList<>();
        for (int i = 0; i < SENT_AT_MS.length; i++) {
            Connection client = new Connection(first.host, first.front, 10_000);
            client.submit(String.format("%016x", 8_192 + i), 1, 50, 1_500);
            record.line("client " + i + ": connection opened, first job answered " + client.readStatus());
            clients.add(client);
        }
        if (trouble) first.signal("TERM");
        long stopAt = System.nanoTime();
        List<Future<Integer>> results = new ArrayList<>();
        ExecutorService threads = Executors.newCachedThreadPool();
        // The platform sends SIGKILL after grace_s.
        if (trouble) threads.submit(() -> first.endAfterGrace(stopAt));
        for (int i = 0; i < clients.size(); i++) {
            int client = i;
            results.add(threads.submit(() -> sendDuringStop(clients.get(client), client, stopAt, record)));
        }
        int result = HELD;
        for (Future<Integer> each : results) if (each.get() != HELD) result = each.get();
        threads.shutdown();
        Thread.sleep(1_500);
        return result;
    }

    /** Times after SIGTERM at which each client sends its job, in ms. */
    private static final long[] SENT_AT_MS = {1_500, 2_500, 3_500, 4_600, 4_900};
    private static final long WORK_MS = 1_200;
    private static final long DEADLINE_MS = 1_500;

    private static int sendDuringStop(Connection connection, int client, long stopAt, Record record) throws Exception {
        long sentAt = stopAt + SENT_AT_MS[client] * 1_000_000;
        Thread.sleep(Math.max(0, (sentAt - System.nanoTime()) / 1_000_000));
        String id = String.format("5c0e7a21d94b36f%x", client);
        record.line("client " + client + ": POST of job " + id + " on its open connection, one task of " + WORK_MS + " ms, Deadline-Remaining-Ms "
            + DEADLINE_MS);
        try (connection) {
            try {
                connection.submit(id, 1, WORK_MS, DEADLINE_MS);
                int status = connection.readStatus();
                record.line("client " + client + ": job " + id + " answered " + status + " " + connection.body());
                return HELD;
            } catch (SocketTimeoutException e) {
                record.line("client " + client + ": job " + id + " got no answer within 10 s");
                return NOT_RUN;
            } catch (IOException e) {
                long afterMs = (System.nanoTime() - sentAt) / 1_000_000;
                record.line("client " + client + ": job " + id + ": " + e.getMessage() + ", " + afterMs + " ms after the request and "
                    + (System.nanoTime() - stopAt) / 1_000_000 + " ms after SIGTERM");
                return afterMs > LOSS_SLACK_MS && afterMs < DEADLINE_MS ? BROKEN : HELD;
            }
        }
    }

    private static final long LOSS_SLACK_MS = 200;

    /** True if a short job is completed, once the VM has found the workers. */
    private static boolean serves(Vm vm, Record record) throws Exception {
        try (Connection client = new Connection(vm.host, vm.front, 10_000)) {
            return serves(client, record);
        }
    }

    private static boolean serves(Connection client, Record record) throws Exception {
        for (int attempt = 0; attempt < 20; attempt++) {
            client.submit(String.format("%016x", 4_096 + attempt), 1, 50, 1_500);
            int status = client.readStatus();
            record.line("client: job " + String.format("%016x", 4_096 + attempt) + " answered " + status + " " + client.body());
            if (status == 200) return true;
            Thread.sleep(1_000);
        }
        return false;
    }

    /** The VM that has a job's client is killed while the one whose worker runs the task is paused for less than half a second. */
    private static int pause(Fleet fleet, Record record, boolean trouble) throws Exception {
        fleet.worker("i-7f3a91c0", "akl-b");
        fleet.worker("i-7f3a91c1", "ham-a");
        Vm entry = fleet.vm("front-tga-a-1", "tga-a");
        fleet.vm("front-akl-b-1", "akl-b");
        fleet.vm("front-ham-a-1", "ham-a");
        for (Vm vm : fleet.vms) vm.start();
        for (Vm vm : fleet.vms) vm.awaitReady(30);
        Thread.sleep(5_000);
        for (int round = 1; round <= PAUSE_ROUNDS && fleet.parallelRuns() == 0; round++) {
            if (!entry.isAlive()) {
                entry.start();
                entry.awaitReady(30);
                Thread.sleep(5_000);
            }
            String id = String.format("5c0e7a21d94b36f%x", round);
            if (!pauseOnce(fleet, record, trouble, id, PHASE_STEP_MS * round)) return NOT_RUN;
        }
        return fleet.parallelRuns() > 0 ? BROKEN : HELD;
    }

    private static boolean pauseOnce(Fleet fleet, Record record, boolean trouble, String id, long phaseMs) throws Exception {
        Vm entry = fleet.vms.get(0);
        long deadlineMs = 8_000;
        try (Connection client = new Connection(entry.host, entry.front, 10_000)) {
            record.line("client: POST of job " + id + " to " + entry.name + ", one task of 3000 ms, Deadline-Remaining-Ms " + deadlineMs);
            client.submit(id, 1, 3_000, deadlineMs);
            Thread.sleep(1_000 + phaseMs);
            int runner = fleet.workers.get(0).runs(id) ? 1 : 2;
            if (!fleet.runs(id)) return false;
            Vm paused = fleet.vms.get(runner);
            Vm other = fleet.vms.get(3 - runner);
            if (!trouble) {
                record.line("client: " + client.readStatus() + " " + client.body());
                return true;
            }
            paused.signal("STOP");
            long pausedAt = System.nanoTime();
            sleepUntil(pausedAt, KILL_AFTER_MS);
            entry.signal("KILL");
            long killedAt = System.nanoTime();
            sleepUntil(pausedAt, PAUSE_MS);
            paused.signal("CONT");
            try {
                record.line("client: " + client.readStatus() + " " + client.body());
            } catch (IOException e) {
                record.line("client: " + e.getMessage());
            }
            // The client sends its job again retry_delay_ms after the broken connection.
            sleepUntil(killedAt, RETRY_DELAY_MS);
            try (Connection again = new Connection(other.host, other.front, 10_000)) {
                record.line("client: POST of job " + id + " again, to " + other.name);
                again.submit(id, 1, 3_000, deadlineMs);
                record.line("client: " + again.readStatus() + " " + again.body());
            }
            return true;
        }
    }

    private static final int PAUSE_ROUNDS = 4;

    /** Each round begins the pause this much later, so that the rounds differ in when the killed VM sent its last heartbeat, in ms. */
    private static final long PHASE_STEP_MS = 40;

    /** Length of the pause, in ms. */
    private static final long PAUSE_MS = 460;

    /** From the begin of the pause to the kill, in ms. */
    private static final long KILL_AFTER_MS = 120;
    private static final long RETRY_DELAY_MS = 1_300;

    private static void sleepUntil(long beganNs, long ms) throws InterruptedException {
        Thread.sleep(Math.max(0, ms - (System.nanoTime() - beganNs) / 1_000_000));
    }

    /** A VM is added; it is cut off from the store for a second just as it takes over the cells that are offered to it. */
    private static int handover(Fleet fleet, Record record, boolean trouble) throws Exception {
        for (String id : HANDOVER_WORKERS) fleet.worker(id, "akl-a");
        Vm old = fleet.vm("front-akl-a-2", "akl-a");
        old.start();
        old.awaitReady(30);
        Thread.sleep(3_000);
        int before = serveJobs(fleet, record, 0x1000, 10);
        record.line("before: " + before + " of 10 jobs served; cells by owner: " + owners(fleet));
        if (before < 5) return NOT_RUN;

        Vm added = fleet.vm("front-akl-a-1", "akl-a");
        CountDownLatch claimed = new CountDownLatch(1);
        fleet.store.observe((table, keys, value) -> {
            if (!table.equals("cells") || !value.contains("\"name\":\"" + added.name + "\"") || !value.contains("\"token\":0")) return;
            record.line("store: a transaction of " + added.name + " has claimed " + keys.size() + " cells");
            if (claimed.getCount() == 0 || !keys.contains(CELL_OF_WORKER)) return;
            if (trouble) cutFor(added, CUT_MS, record);
            claimed.countDown();
        });
        added.start();
        added.awaitReady(30);
        if (!claimed.await(20, TimeUnit.SECONDS)) {
            record.line("no claim was seen");
            return NOT_RUN;
        }
        Thread.sleep(CUT_MS + RECOVERY_MS);
        int after = serveJobs(fleet, record, 0x2000, 40);
        record.line("sent later than " + RECOVERY_MS + " ms after the cut: " + after + " of 40 jobs served; cells by owner: " + owners(fleet));
        return after < 10 ? BROKEN : HELD;
    }

    /** Ids of workers whose cells are claimed in the same transaction. With other ids, part of the workers may remain usable. */
    private static final List<String> HANDOVER_WORKERS = List.of("i-7f3a9005", "i-7f3a9064", "i-7f3a9043", "i-7f3a9028");

    /** The cell of the first of them. */
    private static final String CELL_OF_WORKER = "akl-a/17";
    private static final long CUT_MS = 1_000;
    private static final long RECOVERY_MS = 12_000;

    private static void cutFor(Vm vm, long ms, Record record) {
        vm.storeLink.cut();
        record.line("vm " + vm.name + ": cut off from the store");
        new Thread(() -> {
            try {
                Thread.sleep(ms);
            } catch (InterruptedException e) {
                return;
            }
            vm.storeLink.heal();
            record.line("vm " + vm.name + ": reaches the store again");
        }).start();
    }

    private static String owners(Fleet fleet) {
        Map<String, Integer> counts = new TreeMap<>();
        fleet.store.values("cells").values().forEach(value -> counts.merge(value.replaceAll(".*\"name\":\"([^\"]+)\".*", "$1"), 1, Integer::sum));
        return counts.toString();
    }

    /** Sends jobs one after the other, to each VM in turn. Returns how many were completed. */
    private static int serveJobs(Fleet fleet, Record record, int firstId, int count) throws Exception {
        int served = 0;
        for (int i = 0; i < count; i++) {
            Vm vm = fleet.vms.get(i % fleet.vms.size());
            String id = String.format("%016x", firstId + i);
            try (Connection client = new Connection(vm.host, vm.front, 5_000)) {
                client.submit(id, 2, 50, 1_500);
                int status = client.readStatus();
                record.line("client: job " + id + " at " + vm.name + " answered " + status + " " + client.body());
                if (status == 200) served++;
            } catch (IOException e) {
                record.line("client: job " + id + " at " + vm.name + ": " + e);
            }
            Thread.sleep(100);
        }
        return served;
    }

    /** The settings files of two VMs change, with SIGHUP, while the processes start. */
    private static int hup(Fleet fleet, Record record, boolean trouble) throws Exception {
        for (int i = 0; i < 4; i++) fleet.worker("i-7f3a91c" + i, "akl-a");
        Vm first = fleet.vm("front-akl-a-1", "akl-a");
        Vm second = fleet.vm("front-akl-a-2", "akl-a");
        Vm third = fleet.vm("front-akl-a-3", "akl-a");
        third.start();
        List<Vm> changed = List.of(first, second);
        int ownEnds = 0;
        for (int round = 1; round <= HUP_ROUNDS; round++) {
            for (Vm vm : changed) if (!vm.isAlive()) vm.start();
            Thread.sleep(HUP_AFTER_MS);
            if (trouble) for (Vm vm : changed) vm.signal("HUP");
            for (Vm vm : changed) {
                Integer code = vm.exitCode(1_000);
                if (code == null) continue;
                ownEnds++;
                record.line("vm " + vm.name + ": ended by itself, exit code " + code);
            }
            Thread.sleep(RESTART_AFTER_MS);
        }
        for (Vm vm : fleet.vms) if (!vm.isAlive()) vm.start();
        for (Vm vm : fleet.vms) vm.awaitReady(30);
        record.line(ownEnds + " ends by themselves, on " + changed.size() + " of " + fleet.vms.size() + " machines");
        return ownEnds == HUP_ROUNDS * changed.size() ? BROKEN : HELD;
    }

    private static final int HUP_ROUNDS = 3;

    /** From the start of a process to SIGHUP, in ms. */
    private static final long HUP_AFTER_MS = 250;

    /** From the end of a process to its next start, in ms. */
    private static final long RESTART_AFTER_MS = 500;

    /** A job is cancelled at a VM that has been added while the job was running at another one. */
    private static int cancel(Fleet fleet, Record record, boolean trouble) throws Exception {
        for (int i = 0; i < 4; i++) fleet.worker("i-7f3a91c" + i, "akl-a");
        Vm first = fleet.vm("front-akl-a-1", "akl-a");
        first.start();
        first.awaitReady(30);
        Thread.sleep(2_000);
        if (!serves(first, record)) return NOT_RUN;
        Vm second = null;
        if (trouble) {
            second = fleet.vm("front-akl-a-2", "akl-a");
            second.start();
            second.awaitReady(30);
            Thread.sleep(3_000);
        }
        String id = "5c0e7a21d94b36f8";
        try (Connection client = new Connection(first.host, first.front, 30_000)) {
            client.submitChain(id, 4_000, 20_000);
            record.line("client: POST of job " + id + " to " + first.name + ", two steps of one task of 4000 ms, Deadline-Remaining-Ms 20000");
            Thread.sleep(1_000);
            Vm asked = trouble ? second : first;
            int status;
            try (Connection other = new Connection(asked.host, asked.front, 5_000)) {
                other.send("GET", Connection.PREFIX + id, Connection.HOST, "", null);
                record.line("client: GET of job " + id + " from " + asked.name + " answered " + other.readStatus() + " " + other.body());
                other.send("DELETE", Connection.PREFIX + id, Connection.HOST, "", null);
                status = other.readStatus();
                record.line("client: DELETE of job " + id + " at " + asked.name + " answered " + status + " " + other.body());
            }
            if (status != 410 && status / 100 != 2) return NOT_RUN;
            Thread.sleep(CANCEL_MS + STOP_TIMEOUT_MS + 500);
            boolean isRunning = fleet.runs(id);
            record.line(CANCEL_MS + STOP_TIMEOUT_MS + 500 + " ms after that answer: a task of the job " + (isRunning ? "is" : "is not") + " at work");
            Thread.sleep(5_000);
            return isRunning ? BROKEN : HELD;
        }
    }

    private static final long CANCEL_MS = 3_000;
    private static final long STOP_TIMEOUT_MS = 50;
}
