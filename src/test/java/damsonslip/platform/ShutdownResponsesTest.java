package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import damsonslip.tools.lab.soak.SystemCall;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Guards against an operator's command that was read and gets no response at the end. */
class ShutdownResponsesTest extends FaultStage {
    private static final int SIGTERM_EXIT = 143;

    /** A change takes two of them, which is shorter than the second that operators' tools wait. */
    private static final int SLOW_SYNC_MS = 300;

    /** How long connections are accepted after SIGTERM. */
    private static final long ACCEPT_MS = 2_400;

    private final int mgmt = Program.freePort();
    private final CountDownLatch answer = new CountDownLatch(1);

    private void startWithBothPorts() throws Exception {
        Map<String, String> environment = new HashMap<>(faults.environment());
        environment.put("DAMSONSLIP_CONSOLE", "127.0.0.1:" + console);
        Work serveOnceTold =
                (peer, job) -> {
                    answer.await();
                    SERVE.on(peer, job);
                };
        program =
                new Program(
                        config(list(7, true, worker("a", serveOnceTold)), mgmt(mgmt)),
                        environment,
                        List.of(),
                        "serve");
        Program.await("it is ready", () -> call(mgmt, "READY").startsWith("YES"), program);
    }

    /** The process may end as soon as its last request is answered; the command is written then. */
    private void assertAnswered(int operatorPort, String command) throws Exception {
        Peer client = Peer.connect(port).send(requestText("q1", "read", "4000m"));
        Program.await("it is sent", () -> jobs("a") == 1);
        program.terminate();
        Thread.sleep(ACCEPT_MS);
        faults.hold(SystemCall.FILE_SYNC, SLOW_SYNC_MS);
        long syncs = faults.calls(SystemCall.FILE_SYNC);
        Peer operator = Peer.connect(operatorPort).send(command + "\n");
        Program.await(
                "the command waits for the disk",
                () -> faults.calls(SystemCall.FILE_SYNC) > syncs,
                program);
        answer.countDown();
        assertEquals(200, client.message().status());
        client.close();
        assertNotNull(operator.line(), "a response, whatever it says");
        assertEquals(SIGTERM_EXIT, program.exit());
    }

    @Test
    void respondsAtManagementPortBeforeItEnds() throws Exception {
        startWithBothPorts();
        assertAnswered(mgmt, "DISABLE a");
    }

    @Test
    void respondsAtConsoleBeforeItEnds() throws Exception {
        startWithBothPorts();
        assertAnswered(console, "disable a");
    }
}
