package standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** An HTTP/1.1 server on a loopback address whose handler returns a status and a JSON body. */
final class Http {
    record Answer(int status, String body) {}

    /** Returns null if the call shall get no answer: its connection is then closed. */
    interface Handler {
        Answer handle(String path, Map<String, String> query, HttpExchange exchange, String body) throws Exception;
    }

    static HttpServer serve(String host, int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 256);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "http");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> {
            try {
                String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                Answer answer = handler.handle(exchange.getRequestURI().getPath(), query(exchange), exchange, body);
                if (answer == null) {
                    exchange.close();
                    return;
                }
                byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
                if (bytes.length > 0) exchange.getResponseBody().write(bytes);
                exchange.close();
            } catch (IOException e) {
                exchange.close(); // The caller has gone.
            } catch (Exception e) {
                e.printStackTrace();
                exchange.close();
            }
        });
        server.start();
        return server;
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw == null) return result;
        for (String pair : raw.split("&")) {
            int split = pair.indexOf('=');
            if (split > 0) result.put(decode(pair.substring(0, split)), decode(pair.substring(split + 1)));
        }
        return result;
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
