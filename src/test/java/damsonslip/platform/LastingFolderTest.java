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

/** The real program where the folder that lasts cannot be written. */
class LastingFolderTest extends FaultStage {
    private static final int SLOW_SYNC_MS = 2_000;

    private final int mgmt = Program.freePort();

    private void startManaged(String... entries) throws IOException {
        program =
                new Program(
                        config(list(7, true, entries), mgmt(mgmt)),
                        faults.environment(),
                        List.of(),
                        "serve");
    }

    @ParameterizedTest
    @CsvSource({"FILE_OPEN,ENOSPC", "FILE_OPEN,EIO", "FILE_WRITE,ENOSPC", "RENAME,EIO"})
    void servesThoughTheFolderCannotBeWrittenAtTheStart(SystemCall call, Errno error)
            throws Exception {
        faults.fail(call, error, 1);
        startManaged(worker("a", SERVE));
        program.awaitOutput("listens on");
        assertEquals(200, exchange(requestText("q1", "read", "4000m")).status());
        assertTrue(call(mgmt, "READY").startsWith("YES"), "the operators' tools get on");
        assertTrue(call(mgmt, "DISABLE a").startsWith("NO"), "nothing is kept yet");
        faults.restore(call);
        Program.await(
                "the folder is used once it can be",
                () -> call(mgmt, "DISABLE a").startsWith("YES"));
    }

    /** What an operator is told has been done is kept; what could not be kept is told. */
    @ParameterizedTest
    @CsvSource({"FILE_OPEN,ENOSPC", "FILE_WRITE,ENOSPC", "FILE_SYNC,EIO", "RENAME,EIO"})
    void tellsTheOperatorOfAChangeThatCouldNotBeKept(SystemCall call, Errno error)
            throws Exception {
        startManaged(worker("a", SERVE), worker("b", SERVE));
        program.awaitOutput("listens on");
        Program.await("it takes commands", () -> call(mgmt, "READY").startsWith("YES"));
        faults.fail(call, error, 1);
        String answer = call(mgmt, "DISABLE a");
        assertTrue(answer.startsWith("NO"), answer);
        assertEquals(200, exchange(requestText("q1", "read", "4000m")).status());
        faults.restore(call);
        answer = call(mgmt, "DISABLE a");
        assertTrue(answer.startsWith("YES"), answer);
        program.kill();
        program.exit();
        startManaged(worker("a", SERVE), worker("b", SERVE));
        program.awaitOutput("took over the operators' bans");
    }

    /**
     * Another process has disabled a worker; that its file could not be read at once does not leave
     * this one without.
     */
    @Test
    void takesOverWhatAnotherProcessHasKeptThoughItCannotBeReadAtOnce() throws Exception {
        startManaged(worker("a", SERVE), worker("b", SERVE));
        program.awaitOutput("listens on");
        Program.await("it takes commands", () -> call(mgmt, "READY").startsWith("YES"));
        assertTrue(call(mgmt, "DISABLE a").startsWith("YES"));
        Path kept = dir.resolve("damsonslip-bans");
        String disabled = Files.readString(kept);
        assertTrue(call(mgmt, "ENABLE a").startsWith("YES"));
        assertTrue(call(mgmt, "STATS").contains("router.targets_disabled:0|g"));
        faults.fail(SystemCall.FILE_READ_OPEN, Errno.EIO, 1);
        Path written = Files.writeString(dir.resolve("of-another-process"), disabled);
        Files.move(
                written, kept, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        program.awaitOutput("cannot be read");
        faults.restore(SystemCall.FILE_READ_OPEN);
        Program.await(
                "it has heard",
                () -> call(mgmt, "STATS").contains("router.targets_disabled:1|g"),
                program);
    }

    /** A disk that takes its time holds up the command that waits for it, and nobody else. */
    @Test
    void servesWhileTheDiskTakesItsTime() throws Exception {
        startManaged(worker("a", SERVE), worker("b", SERVE));
        program.awaitOutput("listens on");
        Program.await("it takes commands", () -> call(mgmt, "READY").startsWith("YES"));
        assertEquals(200, exchange(requestText("q0", "read", "4000m")).status());
        faults.hold(SystemCall.FILE_SYNC, SLOW_SYNC_MS);
        long syncs = faults.calls(SystemCall.FILE_SYNC);
        try (Peer operator = Peer.connect(mgmt).send("DISABLE a\n")) {
            Program.await(
                    "the disk is waited for",
                    () -> faults.calls(SystemCall.FILE_SYNC) > syncs,
                    program);
            long askedNs = System.nanoTime();
            assertEquals(200, exchange(requestText("q1", "read", "4000m")).status());
            long tookMs = (System.nanoTime() - askedNs) / 1_000_000;
            assertTrue(tookMs < SLOW_SYNC_MS / 2, "answered after " + tookMs + " ms");
            assertTrue(operator.line().startsWith("NO"), "it is not kept yet");
        }
        faults.restore(SystemCall.FILE_SYNC);
        Program.await("it is kept", () -> call(mgmt, "DISABLE a").startsWith("YES"), program);
    }
}
