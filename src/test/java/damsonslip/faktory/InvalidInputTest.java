package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonslip.testkit.FaktoryPeer;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/** Tests that invalid commands and wrong passwords get an error and do not affect other clients. */
class InvalidInputTest extends FaktoryProgramFixture {
    private static final ObjectMapper JSON = new ObjectMapper();

    InvalidInputTest() {
        super(PASSWORD);
    }

    @Test
    void rejectsInvalidCommandsAndKeepsConnectionOpen() throws Exception {
        assertThrows(IOException.class, () -> new FaktoryPeer(server.port, "", "wrong"));
        FaktoryPeer producer = producer();
        assertTrue(
                producer.push("job-00001", "no-such", 4, "").startsWith("-MALFORMED custom.class"));
        assertTrue(producer.push("short", "apply-submit", 4, "").startsWith("-MALFORMED jid"));
        assertTrue(producer.call("PUSH {").startsWith("-ERR not JSON"));
        assertTrue(producer.call("JUMP").startsWith("-ERR unknown command JUMP"));
        assertTrue(producer.call("FETCH default").startsWith("-ERR"));
        assertTrue(producer.call("PUSHB [{\"jid\":\"job-00002\"}]").contains("jobtype is missing"));
        assertEquals(
                "+OK",
                producer.push("job-00003", "status-read", 1, ""),
                "the connection stays open");
    }

    /**
     * Each wrong password is rejected and its connection closed; another client is served without
     * delay.
     */
    @Test
    void servesOthersDuringWrongPasswords() throws Exception {
        FaktoryPeer producer = producer();
        for (int i = 0; i < 300; i++) {
            int attempt = i;
            IOException rejected =
                    assertThrows(
                            IOException.class,
                            () -> new FaktoryPeer(server.port, "", "wrong" + attempt).close());
            assertEquals("-ERR invalid password", rejected.getMessage());
        }
        long startNs = System.nanoTime();
        assertEquals("+OK", producer.push("job-00001", "status-read", 4, ""));
        assertTrue(System.nanoTime() - startNs < 500_000_000L);
        assertEquals(300, producer.info().path("counters").path("passwords_wrong").asInt());
        await(
                "the rejected connections are closed",
                () -> producer.info().path("server").path("connections").asInt() <= 2);
    }
}
