import java.nio.file.*;
import java.util.*;

/**
 * A worker that has nothing to do crashes and starts again under its id, at its address, as a worker of another kind. Its entry in the
 * store is written at its start. A client then submits a job that only the earlier kind may run: its tasks require the label of that kind
 * (mode "label"), or more CPU than the present life has (mode "capacity", in a service whose workers don't guard their capacity).
 */
final class RestartedWorker {
    static final int ROUNDS = 6;

    /** How long the worker is down. */
    static final long DOWN_MS = 400;

    /** From the new start, with the new entry in the store, to the submission. */
    static final long AFTER_START_MS = 150;

    public static void main(String[] arguments) {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = 2;
        try (Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]))) {
            exit = new RestartedWorker(lab, arguments[2].equals("label"), isTrouble).run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private final Lab lab;
    private final boolean byLabel;
    private final boolean isTrouble;

    private RestartedWorker(Lab lab, boolean byLabel, boolean isTrouble) {
        this.lab = lab;
        this.byLabel = byLabel;
        this.isTrouble = isTrouble;
    }

    private int cpuOfTask() { return byLabel ? 2_000 : 12_000; }

    private Lab.Worker special(int port, boolean isFirstKind) throws Exception {
        int cpu = byLabel || isFirstKind ? 16_000 : 8_000;
        return lab.new Worker("i-special", "akl-a", port, cpu, Set.of(isFirstKind ? "a" : "c", "r1-1"), byLabel);
    }

    private int run() throws Exception {
        lab.putConfiguration(1, byLabel);
        lab.cpuOf = task -> cpuOfTask();
        int port = Lab.freePort();
        for (int i = 0; i < 7; i++) lab.new Worker("i-plain" + i, "akl-a", 0, 8_000, Set.of("b", "r1-" + (1 + i / 4)), byLabel);
        Lab.Worker special = special(port, true);
        Lab.Vm first = lab.new Vm("front-akl-a-1", "akl-a", "");
        lab.new Vm("front-akl-a-2", "akl-a", Lab.HOST + ":" + first.peers);
        lab.awaitReady(30_000);
        Lab.sleep(3_000);
        int served = 0;
        int wrong = 0;
        for (int round = 1; round <= ROUNDS; round++) {
            if (submit(round, 1).status() == 200) served++;
            Lab.sleep(2_500);
            if (isTrouble) {
                lab.log("worker i-special crashes");
                special.crash();
                Lab.sleep(DOWN_MS);
                special = special(port, false);
                lab.log("worker i-special starts again: labels " + special.labels + ", CPU " + special.cpu + "; its entry is in the store");
            }
            Lab.sleep(AFTER_START_MS);
            int before = lab.starts.size();
            submit(round, 2);
            for (Lab.Start start : List.copyOf(lab.starts.subList(before, lab.starts.size()))) {
                boolean isAllowed = byLabel ? start.labels().contains("a") : cpuOfTask() <= special.cpu;
                if (isAllowed) continue;
                wrong++;
                lab.log((byLabel ? "ROUTE: " : "LIMIT: ") + start.task() + " starts on " + start.worker() + ", labels " + start.labels() + ", CPU " + special.cpu);
            }
            Lab.sleep(1_500);
            if (isTrouble) {
                special.crash();
                Lab.sleep(DOWN_MS);
                special = special(port, true);
                lab.log("worker i-special starts again as it was at first");
                Lab.sleep(3_000);
            }
        }
        String result = "rounds " + ROUNDS + ", served before the crash " + served + ", starts that only the earlier life allowed " + wrong;
        lab.log(result);
        System.out.println(result);
        if (served < ROUNDS - 1) return 2;
        return wrong > 0 ? 1 : 0;
    }

    private Lab.Answer submit(int round, int number) {
        String id = String.format("%08x%08x", 0xc0de0000 + round, number);
        String more = byLabel ? ",\"required_label\":\"a\"" : "";
        return lab.submit(lab.vms.get(round % 2), id, Lab.job("work", byLabel ? 2 : 1, cpuOfTask(), 60, more), 1_500);
    }
}
