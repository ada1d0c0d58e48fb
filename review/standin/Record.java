package standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** The file record.txt: what was sent, answered and run. Times are in seconds since the start of the script. */
final class Record {
    private final long beganNs = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(file.toFile());
    }

    double seconds() {
        return (System.nanoTime() - beganNs) / 1e9;
    }

    synchronized void line(String text) {
        String line = String.format("%8.3f  %s", seconds(), text);
        out.println(line);
        out.flush();
        System.out.println(line);
    }
}
