package damsonslip.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.testkit.Peer;
import damsonslip.testkit.Program;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests of which a part was read when their connection has to make way. */
class HalfReadRequestsTest extends PlatformStage {
    private static final int SOCKETS = 128;
    private static final int CROWD = 80;

    /** A client that writes slowly, and a crowd that says nothing and fills the room. */
    @Test
    void requestThatHasPartlyComeIsAnsweredWhereItsConnectionMakesWay() throws Exception {
        startWithFewDescriptors();
        String whole = requestText("q1", "read", "4000m");
        Peer slow = Peer.connect(port).send(whole.substring(0, whole.length() / 2));
        Thread.sleep(100);
        List<Peer> crowd = new ArrayList<>();
        for (int i = 0; i < CROWD; i++) {
            crowd.add(Peer.connect(port));
            awaitOpened(2 + i);
        }
        Thread.sleep(100);
        slow.send(whole.substring(whole.length() / 2));
        assertEquals(200, slow.message().status(), "those that have said nothing go first");
    }

    /** All have begun, and some have to go. */
    @Test
    void requestsThatHavePartlyComeAreRefusedWhereAllOthersAreNeeded() throws Exception {
        startWithFewDescriptors();
        List<Peer> slow = new ArrayList<>();
        for (int i = 0; i < CROWD; i++) {
            slow.add(Peer.connect(port).send("POST /api HTTP/1.1\r\n"));
            awaitOpened(1 + i);
        }
        List<String> outcomes = new ArrayList<>();
        for (Peer peer : slow) {
            outcomes.add(outcome(peer));
        }
        outcomes.removeIf(status -> status.equals("503") || status.equals("408"));
        assertEquals(List.of(), outcomes, "closed without a word");
    }

    private void startWithFewDescriptors() throws IOException {
        startWithConsole(
                file -> file.replace("\"sockets\":1024", "\"sockets\":" + SOCKETS),
                worker("a", SERVE));
    }

    /**
     * One by one: of many that come in the same moment, those that there is no room for are shut
     * unread.
     */
    private void awaitOpened(int count) {
        Program.await(count + " are taken in", () -> counts("client_links_opened", count), program);
    }

    private static String outcome(Peer peer) {
        try {
            return Integer.toString(peer.message().status());
        } catch (IOException e) {
            return e.toString();
        }
    }
}
