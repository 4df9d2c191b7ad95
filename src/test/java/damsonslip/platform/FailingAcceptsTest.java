package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.Peer;
import damsonslip.tools.lab.soak.Errno;
import damsonslip.tools.lab.soak.SystemCall;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The real program while accept(2) fails. */
class FailingAcceptsTest extends FaultStage {
    /** A busy loop makes tens of thousands of calls a second. */
    private static final long MAX_CALLS_PER_SECOND = 500;

    /** Guards against a failed accept that closes the connection accepted before it. */
    @ParameterizedTest
    @EnumSource(
            value = Errno.class,
            names = {"ENOBUFS", "ENFILE", "EMFILE", "ENOMEM", "EPROTO", "EINTR", "ECONNABORTED"})
    void answersAllNewConnectionsWhileEverySecondAcceptFails(Errno error) throws Exception {
        startWithFaults(worker("a", SERVE));
        faults.fail(SystemCall.ACCEPT, error, 2);
        List<String> outcomes = outcomesOfNewConnections(CLIENTS);
        assertAllAnswered(outcomes);
    }

    @Test
    void backsOffBetweenFailingAcceptsAndAnswersWaitingClients() throws Exception {
        startWithFaults(worker("a", SERVE));
        faults.fail(SystemCall.ACCEPT, Errno.ENFILE, 1);
        try (Peer waiting = Peer.connect(port).send(requestText("w", "read", "5000m"))) {
            long before = faults.calls(SystemCall.ACCEPT);
            Thread.sleep(1_000);
            long calls = faults.calls(SystemCall.ACCEPT) - before;
            faults.restore(SystemCall.ACCEPT);
            assertEquals(200, waiting.message().status());
            assertTrue(calls < MAX_CALLS_PER_SECOND, calls + " accepts in a second");
        }
    }

    /**
     * A shutdown accepts the connections that wait in the accept queue, also while accepts fail.
     */
    @Test
    void answersWaitingClientsWhenStoppedWhileAcceptsFail() throws Exception {
        startWithFaults(worker("a", SERVE));
        program.terminate();
        Thread.sleep(2_000); // the listening socket is closed 2.4 s after the signal
        faults.fail(SystemCall.ACCEPT, Errno.ENOBUFS, 1);
        List<Peer> waiting = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            waiting.add(Peer.connect(port).send(requestText("s" + i, "read", "900m")));
        }
        Thread.sleep(600);
        faults.restore(SystemCall.ACCEPT);
        for (Peer client : waiting) {
            assertTrue(client.message().status() > 0, "an answer, possibly a rejection");
        }
        assertEquals(143, program.exit());
    }
}
