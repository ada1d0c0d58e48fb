package standin;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: rows-tx, rows-get and rows-feed as PROTOCOL.md has them. Linearizable, loses nothing, keeps all history. */
final class Store {
    private record Row(String table, String part, String key, String value, long ver) {
        String json() {
            return "{\"table\":" + Json.text(table) + ",\"part\":" + Json.text(part) + ",\"key\":" + Json.text(key)
                + (value == null ? ",\"deleted\":true" : ",\"value\":\"" + value + "\"") + ",\"ver\":" + ver + "}";
        }
    }

    private static final long TXN_LATENCY_MS = 3;
    private static final int MAX_ROWS = 500;
    private final Map<String, TreeMap<String, Row>> rows = new HashMap<>();
    private final List<Row> history = new ArrayList<>();
    private final long beganNs = System.nanoTime();
    private long version = 100;
    private final HttpServer server;

    /** Is told the keys and the decoded value of a transaction's first put, once it has been applied and before it is answered. */
    interface Observer {
        void applied(String table, List<String> keys, String value);
    }

    private volatile Observer observer = (table, keys, value) -> { };

    void observe(Observer observer) {
        this.observer = observer;
    }

    /** Decoded values of the rows of [table] with an empty part, by key. */
    synchronized Map<String, String> values(String table) {
        Map<String, String> result = new TreeMap<>();
        rows.getOrDefault(table + "\n", new TreeMap<>()).forEach((key, row) -> result.put(key, decode(row.value)));
        return result;
    }

    private static String decode(String value) {
        return new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8);
    }

    Store(String host) throws IOException {
        server = Http.serve(host, 0, (path, query, exchange, body) -> switch (path) {
            case "/v1/rows-tx" -> transaction(Json.object(body));
            case "/v1/rows-get" -> get(query);
            case "/v1/rows-feed" -> feed(query);
            default -> new Http.Answer(404, "");
        });
    }

    int port() {
        return server.getAddress().getPort();
    }

    void stop() {
        server.stop(0);
    }

    /** Writes the row as the operator or a worker does. */
    synchronized void put(String table, String key, String value) {
        version++;
        apply(table, "", key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
    }

    private void apply(String table, String part, String key, String value) {
        Row row = new Row(table, part, key, value, version);
        TreeMap<String, Row> ofTable = rows.computeIfAbsent(table + "\n" + part, name -> new TreeMap<>());
        if (value == null) ofTable.remove(key); else ofTable.put(key, row);
        history.add(row);
    }

    private long nowMs() {
        return (System.nanoTime() - beganNs) / 1_000_000 + 50_000;
    }

    private String tail() {
        return "\"ver\":" + version + ",\"now_ms\":" + nowMs() + "}";
    }

    @SuppressWarnings("unchecked")
    private Http.Answer transaction(Map<String, Object> body) throws InterruptedException {
        Thread.sleep(TXN_LATENCY_MS);
        synchronized (this) {
            List<Row> current = new ArrayList<>();
            boolean holds = true;
            for (Object entry : (List<Object>) body.getOrDefault("precondition", List.of())) {
                Map<String, Object> wanted = (Map<String, Object>) entry;
                Row row = find(wanted);
                if (row != null) current.add(row);
                if ((row == null ? 0 : row.ver) != Json.number(wanted, "ver", 0)) holds = false;
            }
            if (!holds) return new Http.Answer(412, "{\"rows\":" + json(current) + "," + tail());
            version++;
            for (Object entry : (List<Object>) body.getOrDefault("puts", List.of())) {
                Map<String, Object> put = (Map<String, Object>) entry;
                apply((String) put.get("table"), (String) put.get("part"), (String) put.get("key"), (String) put.get("value"));
            }
            for (Object entry : (List<Object>) body.getOrDefault("remove", List.of())) {
                Map<String, Object> gone = (Map<String, Object>) entry;
                apply((String) gone.get("table"), (String) gone.get("part"), (String) gone.get("key"), null);
            }
            notifyAll();
            List<Object> puts = (List<Object>) body.getOrDefault("puts", List.of());
            if (!puts.isEmpty()) {
                List<String> keys = new ArrayList<>();
                for (Object put : puts) keys.add((String) ((Map<String, Object>) put).get("key"));
                Map<String, Object> first = (Map<String, Object>) puts.get(0);
                observer.applied((String) first.get("table"), keys, decode((String) first.get("value")));
            }
            return new Http.Answer(200, "{" + tail());
        }
    }

    private Row find(Map<String, Object> wanted) {
        TreeMap<String, Row> ofTable = rows.get(wanted.get("table") + "\n" + wanted.get("part"));
        return ofTable == null ? null : ofTable.get((String) wanted.get("key"));
    }

    private synchronized Http.Answer get(Map<String, String> query) {
        List<Row> found = new ArrayList<>();
        boolean hasMore = false;
        TreeMap<String, Row> ofTable = rows.getOrDefault(query.get("table") + "\n" + query.getOrDefault("part", ""), new TreeMap<>());
        for (Row row : ofTable.tailMap(query.getOrDefault("from", "")).values()) {
            String to = query.get("to");
            if (to != null && row.key.compareTo(to) >= 0) break;
            if (found.size() == MAX_ROWS) {
                hasMore = true;
                break;
            }
            found.add(row);
        }
        return new Http.Answer(200, "{\"rows\":" + json(found) + ",\"has_more\":" + hasMore + "," + tail());
    }

    private synchronized Http.Answer feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            List<Row> found = new ArrayList<>();
            for (Row row : history) if (row.ver > after && row.table.equals(query.get("table"))) found.add(row);
            long leftMs = (until - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || leftMs <= 0) return new Http.Answer(200, "{\"rows\":" + json(found) + "," + tail());
            wait(leftMs);
        }
    }

    private static String json(List<Row> rows) {
        List<String> texts = new ArrayList<>();
        for (Row row : rows) texts.add(row.json());
        return "[" + String.join(",", texts) + "]";
    }
}
