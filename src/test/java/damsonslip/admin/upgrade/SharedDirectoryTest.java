package damsonslip.admin.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Lock files in the directory that processes of one scheduler share. */
class SharedDirectoryTest {
    private static final int STARTS = 6_000;
    private static final long LONGEST_S = 30;

    @TempDir Path dir;

    /** Another process that probes the lock files for live holders as fast as it can. */
    public static final class Looker {
        private Looker() {}

        public static void main(String[] args) throws IOException {
            System.out.println("looks");
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LONGEST_S);
            while (System.in.available() == 0 && System.nanoTime() < end) {
                try (DirectoryStream<Path> marks =
                        Files.newDirectoryStream(Path.of(args[0]), "damsonslip-mark-*[0-9]")) {
                    for (Path mark : marks) {
                        look(mark);
                    }
                }
            }
        }

        private static void look(Path mark) {
            try (FileChannel channel =
                            FileChannel.open(
                                    mark, StandardOpenOption.READ, StandardOpenOption.WRITE);
                    FileLock taken = channel.tryLock()) {
                Thread.onSpinWait();
            } catch (IOException e) {
                // it has gone meanwhile
            }
        }
    }

    /**
     * A probe between the creation of a lock file and its lock would hold the lock briefly, and the
     * start would fail.
     */
    @Test
    void aStartIsNotEndedByAnotherProcessThatLooks() throws Exception {
        Process looker =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty(
                                        "surefire.test.class.path",
                                        System.getProperty("java.class.path")),
                                Looker.class.getName(),
                                dir.toString())
                        .redirectErrorStream(true)
                        .start();
        InputStreamReader words =
                new InputStreamReader(looker.getInputStream(), StandardCharsets.UTF_8);
        try (BufferedReader said = new BufferedReader(words)) {
            assertEquals("looks", said.readLine());
            for (int i = 0; i < STARTS; i++) {
                SharedDirectory directory = new SharedDirectory(dir);
                assertEquals(1, directory.peers().processes());
                directory.close();
            }
            looker.getOutputStream().write('\n');
            looker.getOutputStream().flush();
            assertTrue(looker.waitFor(LONGEST_S, TimeUnit.SECONDS));
        } finally {
            looker.destroyForcibly();
        }
    }
}
