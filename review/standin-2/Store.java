import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: rows, transactions and the feed, as PROTOCOL.md has them. Nothing is lost, and no history is dropped. */
final class Store {
    private record Row(String table, String part, String key, byte[] value, long version) {}

    private record Change(String table, Map<String, Object> row, long version) {}

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private long version = 100;
    private final long startNs = System.nanoTime() - 50_000_000_000L;
    final int port = Web.freePort();
    /** While true, each call gets 503: nothing was done. */
    volatile boolean busy;

    interface WriteObserver {
        /** A transaction was done that replaced the values [before] of [keys] in [table] by [after]; its answer is on its way. Null: no such row. */
        void done(String table, List<String> keys, List<String> before, List<String> after);
    }

    volatile WriteObserver observer;

    /** An address of the store that one machine uses. While it is silent, calls there get no response; nothing is done. */
    final class Door {
        final int port = Web.freePort();
        volatile boolean silent;
        /** When the last transaction was done here, in ms of the script. */
        volatile long lastWriteMs;

        Door() throws Exception {
            new Web(port, (method, path, query, headers, body) -> {
                if (silent) {
                    while (silent) Thread.sleep(10);
                    return null;
                }
                if (path.equals("/v1/rows-tx")) lastWriteMs = World.ms();
                return handle(path, query, body);
            });
        }
    }

    Store() throws Exception {
        new Web(port, (method, path, query, headers, body) -> {
            if (busy) return new Web.Answer(503, "{}");
            return handle(path, query, body);
        });
    }

    private Web.Answer handle(String path, String query, byte[] body) throws Exception {
        {
            Map<String, String> q = parameters(query);
            return switch (path) {
                case "/v1/rows-get" -> get(q);
                case "/v1/rows-feed" -> feed(q);
                case "/v1/rows-tx" -> transact(Json.object(body));
                default -> new Web.Answer(404, "{}");
            };
        }
    }

    private static Map<String, String> parameters(String query) {
        Map<String, String> out = new HashMap<>();
        if (query == null) return out;
        for (String pair : query.split("&")) {
            int eq = pair.indexOf('=');
            if (eq > 0) out.put(pair.substring(0, eq), URLDecoder.decode(pair.substring(eq + 1), StandardCharsets.UTF_8));
        }
        return out;
    }

    private long nowMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    private static String id(String table, String part, String key) {
        return table + "\u0001" + part + "\u0001" + key;
    }

    private static Map<String, Object> shown(Row row) {
        return Json.map("table", row.table, "part", row.part, "key", row.key, "value", Base64.getEncoder().encodeToString(row.value), "ver", row.version);
    }

    synchronized void put(String table, String key, String value) {
        version++;
        set(table, "", key, value.getBytes(StandardCharsets.UTF_8));
    }

    private void set(String table, String part, String key, byte[] value) {
        Row row = new Row(table, part, key, value, version);
        rows.put(id(table, part, key), row);
        history.add(new Change(table, shown(row), version));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        version++;
        drop(table, "", key);
    }

    private void drop(String table, String part, String key) {
        if (rows.remove(id(table, part, key)) == null) return;
        history.add(new Change(table, Json.map("table", table, "part", part, "key", key, "ver", version, "deleted", true), version));
        notifyAll();
    }

    /** The values of all rows of a table. */
    synchronized Map<String, String> values(String table) {
        Map<String, String> out = new TreeMap<>();
        rows.values().stream().filter(r -> r.table.equals(table)).forEach(r -> out.put(r.key, new String(r.value, StandardCharsets.UTF_8)));
        return out;
    }

    private synchronized Web.Answer get(Map<String, String> q) {
        String table = q.get("table");
        String part = q.getOrDefault("part", "");
        String from = q.getOrDefault("from", "");
        String to = q.get("to");
        List<Object> found = new ArrayList<>();
        boolean more = false;
        for (Row row : rows.values()) {
            boolean in = row.table.equals(table) && row.part.equals(part) && row.key.compareTo(from) >= 0 && (to == null || row.key.compareTo(to) < 0);
            if (!in) continue;
            if (found.size() == 500) {
                more = true;
                break;
            }
            found.add(shown(row));
        }
        return new Web.Answer(200, Json.write(Json.map("rows", found, "has_more", more, "ver", version, "now_ms", nowMs())));
    }

    private synchronized Web.Answer feed(Map<String, String> q) throws InterruptedException {
        String table = q.get("table");
        long after = Long.parseLong(q.get("after"));
        long until = nowMs() + Math.min(30_000, Long.parseLong(q.getOrDefault("wait_ms", "0")));
        while (true) {
            List<Object> found = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).version > after; i--) {
                if (history.get(i).table.equals(table)) found.add(0, history.get(i).row);
            }
            long left = until - nowMs();
            if (!found.isEmpty() || left <= 0) {
                return new Web.Answer(200, Json.write(Json.map("rows", found, "ver", version, "now_ms", nowMs())));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private Web.Answer transact(Map<String, Object> body) throws InterruptedException {
        Thread.sleep(3);
        List<String> keys = new ArrayList<>();
        List<String> before = new ArrayList<>();
        List<String> after = new ArrayList<>();
        Web.Answer answer = transact(body, keys, before, after);
        WriteObserver listener = observer;
        if (listener != null && !after.isEmpty()) {
            listener.done((String) ((List<Map<String, Object>>) body.get("puts")).get(0).get("table"), keys, before, after);
        }
        return answer;
    }

    @SuppressWarnings("unchecked")
    private synchronized Web.Answer transact(Map<String, Object> body, List<String> keys, List<String> before, List<String> after) {
        {
            List<Map<String, Object>> conditions = (List<Map<String, Object>>) body.getOrDefault("precondition", List.of());
            List<Object> current = new ArrayList<>();
            boolean holds = true;
            for (Map<String, Object> c : conditions) {
                Row row = rows.get(id((String) c.get("table"), (String) c.getOrDefault("part", ""), (String) c.get("key")));
                if (row != null) current.add(shown(row));
                if ((row == null ? 0 : row.version) != (Long) c.get("ver")) holds = false;
            }
            if (!holds) return new Web.Answer(412, Json.write(Json.map("rows", current, "ver", version, "now_ms", nowMs())));
            version++;
            for (Map<String, Object> p : (List<Map<String, Object>>) body.getOrDefault("puts", List.of())) {
                Row earlier = rows.get(id((String) p.get("table"), (String) p.getOrDefault("part", ""), (String) p.get("key")));
                keys.add((String) p.get("key"));
                before.add(earlier == null ? null : new String(earlier.value, StandardCharsets.UTF_8));
                after.add(new String(Base64.getDecoder().decode((String) p.get("value")), StandardCharsets.UTF_8));
                set((String) p.get("table"), (String) p.getOrDefault("part", ""), (String) p.get("key"), Base64.getDecoder().decode((String) p.get("value")));
            }
            for (Map<String, Object> r : (List<Map<String, Object>>) body.getOrDefault("remove", List.of())) {
                drop((String) r.get("table"), (String) r.getOrDefault("part", ""), (String) r.get("key"));
            }
            return new Web.Answer(200, Json.write(Json.map("ver", version, "now_ms", nowMs())));
        }
    }
}
