package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Program;
import damsonslip.tools.lab.soak.Errno;
import damsonslip.tools.lab.soak.SystemCall;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The real program, started while the system cannot create sockets (socket(2)). */
class ShortageAtStartTest extends FaultStage {
    private static final long SHORTAGE_MS = 1_500;

    @ParameterizedTest
    @EnumSource(
            value = Errno.class,
            names = {"ENOMEM", "ENOBUFS", "ENFILE", "EMFILE"})
    void startsOnceSocketsAreAvailableAgain(Errno error) throws Exception {
        Map<String, String> environment = new HashMap<>(faults.environment());
        int managementPort = Program.freePort();
        faults.fail(SystemCall.SOCKET, error, 1);
        program =
                new Program(
                        config(list(7, true, worker("a", SERVE)), mgmt(managementPort)),
                        environment,
                        List.of(),
                        "serve");
        Thread.sleep(SHORTAGE_MS);
        assertTrue(program.isAlive(), program.output());
        faults.restore(SystemCall.SOCKET);
        program.awaitOutput("listens on");
        assertEquals(200, exchange(requestText("q1", "read", "4000m")).status());
        Program.await(
                "the management address listens",
                () -> call(managementPort, "READY").startsWith("YES"),
                program);
    }
}
