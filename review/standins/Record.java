import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to {@code record.txt}, one event a line. Thread-safe. */
final class Record {
    private final PrintWriter out;
    private final long startNs = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    }

    /** Writes an event with the time since the start, in seconds. */
    synchronized void log(String format, Object... args) {
        double seconds = (System.nanoTime() - startNs) / 1e9;
        String line =
                String.format(Locale.ROOT, "%8.3f  ", seconds)
                        + String.format(Locale.ROOT, format, args);
        out.println(line);
        out.flush();
        System.out.println(line);
    }
}
