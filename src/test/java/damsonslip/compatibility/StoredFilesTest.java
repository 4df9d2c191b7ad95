package damsonslip.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Program;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The program reads the saved files of the shared directory and writes the same format. What it
 * writes in a run of this test is left in {@code target}.
 */
class StoredFilesTest {
    private static final String OVERRIDES = "damsonslip-bans";
    private static final String MARK = "damsonslip-mark-";
    private static final String DIRECTORY_LOCK = "damsonslip-guard";
    private static final Path WRITTEN = Path.of("target/compatibility/stored");
    private static final Pattern MICROS = Pattern.compile("\\b1[0-9]{15}\\b");
    private static final int REQUESTS = 12;

    /** The program polls the directory each 100 ms. */
    private static final long SEVERAL_POLLS_MS = 500;

    /** Enough requests that each of the two workers receives some. */
    private static final int MANY_REQUESTS = 200;

    @TempDir Path temporary;
    private SavedDirectory directory;

    @BeforeEach
    void createDirectory() {
        directory = new SavedDirectory(temporary);
    }

    @AfterEach
    void end() throws Exception {
        directory.close();
    }

    private void assertWritten(String savedName, String name) throws IOException {
        Files.createDirectories(WRITTEN);
        Files.copy(
                directory.path(name),
                WRITTEN.resolve(savedName),
                StandardCopyOption.REPLACE_EXISTING);
        assertEquals(
                masked(SavedDirectory.saved(savedName)),
                masked(Files.readString(directory.path(name))));
    }

    private static String masked(String text) {
        return MICROS.matcher(text).replaceAll("MICROSECONDS");
    }

    /** The saved overrides as if the enabled worker had been enabled just now. */
    private static String savedOverrides(long nowUs) throws IOException {
        return MICROS.matcher(SavedDirectory.saved(OVERRIDES)).replaceAll(Long.toString(nowUs));
    }

    private static long nowUs() {
        return System.currentTimeMillis() * 1_000;
    }

    private void awaitCommands(Program program) {
        Program.await(
                "the management port accepts commands",
                () -> directory.command("READY").startsWith("YES"),
                program);
    }

    private void assertRequestsGoToWorkerBOnly(String prefix) throws IOException {
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(200, directory.request(prefix + i).status());
        }
        assertEquals(0, directory.received("worker-a", prefix), "worker-a is disabled");
        assertEquals(REQUESTS, directory.received("worker-b", prefix));
    }

    @Test
    void sendsToEveryWorkerOfTheSavedList() throws Exception {
        awaitCommands(directory.startServing());
        for (int i = 0; i < MANY_REQUESTS && !bothWorkersServed(); i++) {
            assertEquals(200, directory.request("known" + i).status());
        }
        assertTrue(bothWorkersServed());
    }

    private boolean bothWorkersServed() {
        return directory.received("worker-a", "known") > 0
                && directory.received("worker-b", "known") > 0;
    }

    @Test
    void writesOverridesInTheirSavedForm() throws Exception {
        awaitCommands(directory.startServing());
        for (String change :
                new String[] {"DISABLE worker-a", "DISABLE worker-b", "ENABLE worker-b"}) {
            String reply = directory.command(change);
            assertTrue(reply.startsWith("YES"), change + ": " + reply);
        }
        assertWritten(OVERRIDES, OVERRIDES);
    }

    @Test
    void appliesSavedOverridesAtItsStart() throws Exception {
        Files.writeString(directory.path(OVERRIDES), SavedDirectory.saved(OVERRIDES));
        awaitCommands(directory.startServing());
        assertRequestsGoToWorkerBOnly("request");
        String statistics = directory.command("STATS");
        assertTrue(statistics.contains("router.targets_disabled:1|g"), statistics);
    }

    @Test
    void appliesSavedOverridesThatAnotherProcessWrites() throws Exception {
        awaitCommands(directory.startServing());
        Path temporaryFile =
                Files.writeString(directory.path("part"), SavedDirectory.saved(OVERRIDES));
        Files.move(temporaryFile, directory.path(OVERRIDES), StandardCopyOption.ATOMIC_MOVE);
        Program.await(
                "the overrides are applied",
                () -> directory.command("STATS").contains("router.targets_disabled:1|g"));
        assertRequestsGoToWorkerBOnly("request");
    }

    /** An operator's change is added to the saved overrides; all others are written back. */
    @Test
    void keepsSavedOverridesThroughAChange() throws Exception {
        String overrides = savedOverrides(nowUs());
        Files.writeString(directory.path(OVERRIDES), overrides);
        awaitCommands(directory.startServing());
        assertTrue(directory.command("DISABLE worker-b").startsWith("YES"));
        assertEquals(
                overrides.replace("out worker-a\n", "out worker-a\nout worker-b\n"),
                Files.readString(directory.path(OVERRIDES)));
    }

    @Test
    void marksThatItServes() throws Exception {
        awaitCommands(directory.startServing());
        assertWritten("damsonslip-mark-serving", MARK + 1);
        assertWritten(DIRECTORY_LOCK, DIRECTORY_LOCK);
    }

    /** Places a saved mark file in the directory, locked as the process that wrote it would do. */
    private FileChannel lockSavedMark(int number, String savedName) throws IOException {
        Path temporaryFile = directory.path("part");
        Files.copy(SavedDirectory.SAVED.resolve(savedName), temporaryFile);
        FileChannel lock = FileChannel.open(temporaryFile, StandardOpenOption.WRITE);
        lock.lock();
        Files.move(temporaryFile, directory.path(MARK + number), StandardCopyOption.ATOMIC_MOVE);
        return lock;
    }

    /** While another process serves, a new one does not serve before it has the endpoint list. */
    @Test
    void marksThatItStarts() throws Exception {
        try (FileChannel other = lockSavedMark(1, "damsonslip-mark-serving")) {
            Program program = directory.startWithoutDiscovery();
            program.awaitOutput("processes of this scheduler: 2");
            assertTrue(other.isOpen());
            assertFalse(program.output().contains("listens on"), program.output());
            assertWritten("damsonslip-mark-starting", MARK + 2);
        }
    }

    @Test
    void recognizesASavedMarkOfASuccessor() throws Exception {
        Program program = directory.startServing();
        try (FileChannel successor = lockSavedMark(2, "damsonslip-mark-starting")) {
            Thread.sleep(SEVERAL_POLLS_MS);
            assertFalse(
                    program.output().contains("processes of this scheduler"),
                    "a process that is still starting is no successor: " + program.output());
            successor.position(0);
            successor.write(
                    ByteBuffer.wrap(
                            Files.readAllBytes(
                                    SavedDirectory.SAVED.resolve("damsonslip-mark-serving"))));
            program.awaitOutput(
                    "processes of this scheduler: 2, this one is number 0, "
                            + "a successor serves");
        }
        program.awaitOutput("processes of this scheduler: 1");
    }

    @Test
    void removesASavedMarkThatNobodyLocks() throws Exception {
        Files.copy(
                SavedDirectory.SAVED.resolve("damsonslip-mark-serving"), directory.path(MARK + 4));
        awaitCommands(directory.startServing());
        assertFalse(Files.exists(directory.path(MARK + 4)));
        assertTrue(Files.exists(directory.path(MARK + 1)));
    }

    /** Nothing is changed in the directory while another process holds the lock on it. */
    @Test
    void waitsForTheLockOnTheDirectory() throws Exception {
        Path lockFile = directory.path(DIRECTORY_LOCK);
        awaitCommands(directory.startServing());
        try (FileChannel lock = FileChannel.open(lockFile, StandardOpenOption.WRITE)) {
            lock.lock();
            String reply = directory.command("DISABLE worker-a");
            assertTrue(reply.startsWith("NO"), reply);
            assertFalse(Files.exists(directory.path(OVERRIDES)));
        }
        assertTrue(directory.command("DISABLE worker-a").startsWith("YES"));
    }
}
