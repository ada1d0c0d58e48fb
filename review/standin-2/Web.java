import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server on a loopback port. */
final class Web {
    interface Handler {
        /** Answers a request; null closes the connection without an answer. */
        Answer handle(String method, String path, String query, com.sun.net.httpserver.Headers headers, byte[] body) throws Exception;
    }

    record Answer(int status, String body) {}

    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    private final HttpServer server;

    Web(int port, Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        Answer answer;
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            var uri = exchange.getRequestURI();
            answer = handler.handle(exchange.getRequestMethod(), uri.getPath(), uri.getRawQuery(), exchange.getRequestHeaders(), body);
        } catch (Exception e) {
            World.note("stand-in failed: " + e);
            answer = new Answer(500, "{}");
        }
        if (answer == null) {
            exchange.close();
            return;
        }
        byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    /** Closes the port and all connections at once. */
    void stop() {
        server.stop(0);
    }

    /** A free port below those that outgoing connections get. */
    static int freePort() {
        while (true) {
            int port = java.util.concurrent.ThreadLocalRandom.current().nextInt(12_000, 30_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // It is in use.
            }
        }
    }
}
