package standin;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection, HTTP/1.1 with keep-alive. */
final class Connection implements Closeable {
    static final String HOST = "nony24.example";
    static final String PREFIX = "/pule252/";
    private final Socket socket = new Socket();
    private String answer = "";

    Connection(String host, int port, int readTimeoutMs) throws IOException {
        socket.connect(new InetSocketAddress(host, port), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(readTimeoutMs);
    }

    void send(String method, String path, String hostName, String headers, String body) throws IOException {
        byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + hostName + "\r\n" + headers
            + (body == null ? "" : "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n") + "\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.UTF_8));
        all.write(bytes);
        socket.getOutputStream().write(all.toByteArray());
        socket.getOutputStream().flush();
    }

    /** Submits a best-effort job of [count] tasks of one core that each work for [workMs]. */
    void submit(String id, int count, long workMs, long deadlineMs) throws IOException {
        send("POST", PREFIX + id, HOST, "Deadline-Remaining-Ms: " + deadlineMs + "\r\n",
            "{\"spec\":\"work_ms=" + workMs + "\",\"best_effort\":true,\"steps\":[{\"count\":" + count
                + ",\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":" + workMs + "}]}");
    }

    /** Submits a best-effort job of two steps, one after the other, of one task each that works for [workMs]. */
    void submitChain(String id, long workMs, long deadlineMs) throws IOException {
        String step = "{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":" + workMs;
        send("POST", PREFIX + id, HOST, "Deadline-Remaining-Ms: " + deadlineMs + "\r\n",
            "{\"spec\":\"work_ms=" + workMs + "\",\"best_effort\":true,\"steps\":[" + step + "}," + step + ",\"after\":[0]}]}");
    }

    /** Reads one complete answer and returns its status. Throws EOFException if the connection ends before. */
    int readStatus() throws IOException {
        InputStream in = socket.getInputStream();
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) throw new EOFException("the connection ended after " + head.size() + " bytes of an answer");
            head.write(next);
        }
        String text = head.toString(StandardCharsets.ISO_8859_1);
        int length = 0;
        for (String line : text.split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) length = Integer.parseInt(line.substring(15).trim());
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) throw new EOFException("the connection ended within the body of an answer");
        answer = new String(body, StandardCharsets.UTF_8);
        return Integer.parseInt(text.split(" ")[1]);
    }

    String body() {
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
