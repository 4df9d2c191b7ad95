package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Requests that were read in part when their connection is a candidate for eviction, because
 * connections run short.
 */
class HalfReadRequestsTest extends PlatformStage {
    private static final int SOCKETS = 128;
    private static final int CONNECTIONS = 80;

    /**
     * A client writes its request slowly, and a burst of idle connections uses up the available
     * ones.
     */
    @Test
    void evictsIdleConnectionsBeforePartialRequests() throws Exception {
        startWithFewDescriptors();
        String request = requestText("q1", "read", "4000m");
        Peer slow = Peer.connect(port).send(request.substring(0, request.length() / 2));
        Thread.sleep(100);
        List<Peer> idleConnections = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            idleConnections.add(Peer.connect(port));
            awaitOpened(2 + i);
        }
        Thread.sleep(100);
        slow.send(request.substring(request.length() / 2));
        assertEquals(200, slow.message().status(), "idle connections are evicted first");
    }

    /** All connections have sent part of a request, and some have to be closed. */
    @Test
    void rejectsPartialRequestsThatAreEvicted() throws Exception {
        startWithFewDescriptors();
        List<Peer> slow = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            slow.add(Peer.connect(port).send("POST /api HTTP/1.1\r\n"));
            awaitOpened(1 + i);
        }
        List<String> outcomes = new ArrayList<>();
        for (Peer peer : slow) {
            outcomes.add(outcome(peer));
        }
        outcomes.removeIf(status -> status.equals("503") || status.equals("408"));
        assertEquals(List.of(), outcomes, "closed without an answer");
    }

    private void startWithFewDescriptors() throws IOException {
        startWithConsole(
                file -> file.replace("\"sockets\":1024", "\"sockets\":" + SOCKETS),
                worker("a", SERVE));
    }

    /**
     * Waits for each connection in turn: of many that arrive at once, those beyond the limit are
     * closed unread.
     */
    private void awaitOpened(int count) {
        Program.await(
                count + " connections are accepted",
                () -> counts("client_links_opened", count),
                program);
    }

    private static String outcome(Peer peer) {
        try {
            return Integer.toString(peer.message().status());
        } catch (IOException e) {
            return e.toString();
        }
    }
}
