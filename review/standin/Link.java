package standin;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** The path of one machine to a server. While it is cut, bytes are held up in both directions; they arrive after that. */
final class Link implements AutoCloseable {
    private final ServerSocket listener;
    private final InetSocketAddress target;
    private boolean isCut;

    Link(String host, int port) throws IOException {
        target = new InetSocketAddress(host, port);
        listener = new ServerSocket(0, 256, InetAddress.getByName(host));
        daemon(() -> {
            while (true) {
                Socket near = listener.accept();
                daemon(() -> connect(near));
            }
        });
    }

    int port() {
        return listener.getLocalPort();
    }

    synchronized void cut() {
        isCut = true;
    }

    synchronized void heal() {
        isCut = false;
        notifyAll();
    }

    private synchronized void awaitPath() throws InterruptedException {
        while (isCut) wait();
    }

    private void connect(Socket near) throws Exception {
        awaitPath();
        Socket far = new Socket();
        far.connect(target, 1_000);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        daemon(() -> forward(near, far));
        daemon(() -> forward(far, near));
    }

    private void forward(Socket from, Socket to) throws Exception {
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[65_536];
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitPath();
                out.write(buffer, 0, count);
                out.flush();
            }
        }
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void daemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection or the listener has ended.
            }
        }, "link");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        heal();
    }
}
