package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import damsonslip.tools.lab.soak.Errno;
import damsonslip.tools.lab.soak.SystemCall;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The real program when the shared directory cannot be written. */
class LastingFolderTest extends FaultStage {
    private static final int SLOW_SYNC_MS = 2_000;

    private final int mgmt = Program.freePort();

    private void startWithManagement(String... entries) throws IOException {
        program =
                new Program(
                        config(list(7, true, entries), mgmt(mgmt)),
                        faults.environment(),
                        List.of(),
                        "serve");
    }

    @ParameterizedTest
    @CsvSource({"FILE_OPEN,ENOSPC", "FILE_OPEN,EIO", "FILE_WRITE,ENOSPC", "RENAME,EIO"})
    void servesWhenSharedDirectoryCannotBeWrittenAtStart(SystemCall call, Errno error)
            throws Exception {
        faults.fail(call, error, 1);
        startWithManagement(worker("a", SERVE));
        program.awaitOutput("listens on");
        assertEquals(200, exchange(requestText("q1", "read", "4000m")).status());
        assertTrue(call(mgmt, "READY").startsWith("YES"), "the management address answers");
        assertTrue(call(mgmt, "DISABLE a").startsWith("NO"), "nothing can be stored yet");
        faults.restore(call);
        Program.await(
                "the directory is used once it can be written",
                () -> call(mgmt, "DISABLE a").startsWith("YES"));
    }

    /**
     * A change that is confirmed to the operator is stored; one that could not be stored is
     * reported as failed.
     */
    @ParameterizedTest
    @CsvSource({"FILE_OPEN,ENOSPC", "FILE_WRITE,ENOSPC", "FILE_SYNC,EIO", "RENAME,EIO"})
    void reportsFailureToStoreAChange(SystemCall call, Errno error) throws Exception {
        startWithManagement(worker("a", SERVE), worker("b", SERVE));
        program.awaitOutput("listens on");
        Program.await("commands are accepted", () -> call(mgmt, "READY").startsWith("YES"));
        faults.fail(call, error, 1);
        String answer = call(mgmt, "DISABLE a");
        assertTrue(answer.startsWith("NO"), answer);
        assertEquals(200, exchange(requestText("q1", "read", "4000m")).status());
        faults.restore(call);
        answer = call(mgmt, "DISABLE a");
        assertTrue(answer.startsWith("YES"), answer);
        program.kill();
        program.exit();
        startWithManagement(worker("a", SERVE), worker("b", SERVE));
        program.awaitOutput("took over the operators' bans");
    }

    /**
     * Guards against missing a worker that another process disabled because the shared file could
     * not be read at first.
     */
    @Test
    void appliesChangeOfAnotherProcessAfterReadFailure() throws Exception {
        startWithManagement(worker("a", SERVE), worker("b", SERVE));
        program.awaitOutput("listens on");
        Program.await("commands are accepted", () -> call(mgmt, "READY").startsWith("YES"));
        assertTrue(call(mgmt, "DISABLE a").startsWith("YES"));
        Path bansFile = dir.resolve("damsonslip-bans");
        String disabled = Files.readString(bansFile);
        assertTrue(call(mgmt, "ENABLE a").startsWith("YES"));
        assertTrue(call(mgmt, "STATS").contains("router.targets_disabled:0|g"));
        faults.fail(SystemCall.FILE_READ_OPEN, Errno.EIO, 1);
        Path written = Files.writeString(dir.resolve("of-another-process"), disabled);
        Files.move(
                written,
                bansFile,
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        program.awaitOutput("cannot be read");
        faults.restore(SystemCall.FILE_READ_OPEN);
        Program.await(
                "the change of the other process takes effect",
                () -> call(mgmt, "STATS").contains("router.targets_disabled:1|g"),
                program);
    }

    /** A slow disk delays only the command that waits for it. */
    @Test
    void servesWhileDiskIsSlow() throws Exception {
        startWithManagement(worker("a", SERVE), worker("b", SERVE));
        program.awaitOutput("listens on");
        Program.await("commands are accepted", () -> call(mgmt, "READY").startsWith("YES"));
        assertEquals(200, exchange(requestText("q0", "read", "4000m")).status());
        faults.hold(SystemCall.FILE_SYNC, SLOW_SYNC_MS);
        long syncs = faults.calls(SystemCall.FILE_SYNC);
        try (Peer operator = Peer.connect(mgmt).send("DISABLE a\n")) {
            Program.await(
                    "the command waits for the disk",
                    () -> faults.calls(SystemCall.FILE_SYNC) > syncs,
                    program);
            long askedNs = System.nanoTime();
            assertEquals(200, exchange(requestText("q1", "read", "4000m")).status());
            long tookMs = (System.nanoTime() - askedNs) / 1_000_000;
            assertTrue(tookMs < SLOW_SYNC_MS / 2, "answered after " + tookMs + " ms");
            assertTrue(operator.line().startsWith("NO"), "the change is not stored yet");
        }
        faults.restore(SystemCall.FILE_SYNC);
        Program.await(
                "the change is stored", () -> call(mgmt, "DISABLE a").startsWith("YES"), program);
    }
}
