package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;

/** One case: plays its clients, workers and store, records what happens, and judges the rule. */
abstract class Case {
    static final int COULD_NOT_RUN = 2;

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final long TIME_LIMIT_MS = 115_000;

    /** Whether the case plays its disruption. */
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    Path folder;
    private final long startNs = System.nanoTime();
    private final List<AutoCloseable> open = new ArrayList<>();
    private PrintWriter record;
    private int broken;

    /** Thrown if the case could not be brought about. */
    static final class NotPlayed extends Exception {
        private static final long serialVersionUID = 1L;

        NotPlayed(String reason) {
            super(reason);
        }
    }

    /** Plays the case; reports a break of the rule with {@link #broken}. */
    abstract void play() throws Exception;

    /** Runs the case and ends the program; {@code recordFile} is where it is recorded. */
    final void run(String recordFile) throws IOException {
        record = new PrintWriter(recordFile, StandardCharsets.UTF_8);
        folder = Files.createTempDirectory("review-case");
        Threads.start(
                "time-limit",
                () -> {
                    Thread.sleep(TIME_LIMIT_MS);
                    note("not played: over " + TIME_LIMIT_MS + " ms");
                    System.exit(COULD_NOT_RUN);
                });
        int code;
        try {
            note("disruption: " + (trouble ? "yes" : "no (TROUBLE=0)"));
            play();
            code = broken > 0 ? BROKEN : HELD;
            note(broken > 0 ? "RULE BROKEN" : "rule held");
        } catch (Exception | Error e) {
            code = COULD_NOT_RUN;
            note("not played: " + e);
        }
        try {
            closeAll();
        } finally {
            System.exit(code);
        }
    }

    private void closeAll() throws IOException {
        for (int i = open.size() - 1; i >= 0; i--) {
            try {
                open.get(i).close();
            } catch (Exception e) {
                note("close: " + e);
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    final <C extends AutoCloseable> C closing(C each) {
        synchronized (open) {
            open.add(each);
        }
        return each;
    }

    /** Adds a line to the record, with the time since the start of the case. */
    final synchronized void note(String text) {
        double seconds = (System.nanoTime() - startNs) / 1e9;
        String line = String.format(Locale.ROOT, "%8.3f %s", seconds, text);
        record.println(line);
        record.flush();
        System.out.println(line);
    }

    /** Adds a line to the record only. */
    final synchronized void log(String text) {
        double seconds = (System.nanoTime() - startNs) / 1e9;
        record.println(String.format(Locale.ROOT, "%8.3f %s", seconds, text));
    }

    final void broken(String text) {
        broken++;
        note("BROKEN: " + text);
    }

    static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    static void require(boolean condition, String reason) throws NotPlayed {
        if (!condition) {
            throw new NotPlayed(reason);
        }
    }
}
