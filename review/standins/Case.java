import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** What the cases share: the folders, the record and the exit code. */
abstract class Case {
    private static final int BROKEN = 1;
    private static final int HELD = 0;
    private static final int COULD_NOT_RUN = 2;
    private static final long TIME_LIMIT_S = 110;

    Path root;
    Path folder;
    Record record;

    /** Whether the disruption is played. */
    boolean trouble;

    /** Plays the case; returns what broke the rule, or null if it held. */
    abstract String play() throws Exception;

    /** Runs a case; the arguments are the repository's root and the folder of the case. */
    static void main(Case played, String[] args) {
        int code = COULD_NOT_RUN;
        try {
            limitTime();
            played.root = Path.of(args[0]).toAbsolutePath();
            played.record = new Record(Path.of(args[1]).resolve("record.txt"));
            played.trouble = !"0".equals(System.getenv("TROUBLE"));
            played.folder = Files.createTempDirectory("review");
            try {
                code = played.judge();
            } finally {
                if (System.getenv("KEEP") == null) {
                    delete(played.folder);
                } else {
                    System.out.println("kept " + played.folder);
                }
            }
        } catch (Exception e) {
            e.printStackTrace();
            code = COULD_NOT_RUN;
        }
        System.exit(code);
    }

    private int judge() throws Exception {
        record.log("trouble: %s", trouble ? "on" : "off");
        String broken = play();
        record.log("%s", broken == null ? "HELD" : "BROKEN: " + broken);
        return broken == null ? HELD : BROKEN;
    }

    private static void limitTime() {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                TimeUnit.SECONDS.sleep(TIME_LIMIT_S);
                            } catch (InterruptedException e) {
                                return;
                            }
                            System.err.println("the time limit is over");
                            System.exit(COULD_NOT_RUN);
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    /** Ends the case as one that could not run, unless this holds. */
    static void require(boolean holds, String otherwise) throws IOException {
        if (!holds) {
            throw new IOException(otherwise);
        }
    }

    static void sleepUntil(long timeNs) throws InterruptedException {
        long leftNs = timeNs - System.nanoTime();
        if (leftNs > 0) {
            TimeUnit.NANOSECONDS.sleep(leftNs);
        }
    }

    static long ms(long milliseconds) {
        return TimeUnit.MILLISECONDS.toNanos(milliseconds);
    }
}
