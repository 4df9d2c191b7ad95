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
    private static final int REGISTRATIONS = 6_000;
    private static final long TIMEOUT_S = 30;

    @TempDir Path dir;

    /** A process that continuously tests whether the lock files are locked. */
    public static final class Prober {
        private Prober() {}

        public static void main(String[] args) throws IOException {
            System.out.println("probing");
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            while (System.in.available() == 0 && System.nanoTime() < end) {
                try (DirectoryStream<Path> lockFiles =
                        Files.newDirectoryStream(Path.of(args[0]), "damsonslip-mark-*[0-9]")) {
                    for (Path lockFile : lockFiles) {
                        probe(lockFile);
                    }
                }
            }
        }

        private static void probe(Path lockFile) {
            try (FileChannel channel =
                            FileChannel.open(
                                    lockFile, StandardOpenOption.READ, StandardOpenOption.WRITE);
                    FileLock lock = channel.tryLock()) {
                if (lock != null) {
                    Thread.onSpinWait();
                }
            } catch (IOException e) {
                // the file was removed since it was listed
            }
        }
    }

    /**
     * A probe holds the lock of a file briefly. If a lock file could be probed between its creation
     * and its being locked, the registration would fail and with it the start.
     */
    @Test
    void registersWhileAnotherProcessProbesLockFiles() throws Exception {
        Process prober =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-cp",
                                System.getProperty(
                                        "surefire.test.class.path",
                                        System.getProperty("java.class.path")),
                                Prober.class.getName(),
                                dir.toString())
                        .redirectErrorStream(true)
                        .start();
        InputStreamReader output =
                new InputStreamReader(prober.getInputStream(), StandardCharsets.UTF_8);
        try (BufferedReader lines = new BufferedReader(output)) {
            assertEquals("probing", lines.readLine());
            for (int i = 0; i < REGISTRATIONS; i++) {
                SharedDirectory directory = new SharedDirectory(dir);
                assertEquals(1, directory.peers().processes());
                directory.close();
            }
            prober.getOutputStream().write('\n');
            prober.getOutputStream().flush();
            assertTrue(prober.waitFor(TIMEOUT_S, TimeUnit.SECONDS));
        } finally {
            prober.destroyForcibly();
        }
    }
}
