package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonslip.testkit.FaktoryPeer;
import java.io.IOException;
import org.junit.jupiter.api.Test;

/**
 * Tests that input beyond the limits is rejected within bounded memory and does not affect other
 * clients.
 */
class OversizedInputTest extends FaktoryProgramFixture {
    private static final ObjectMapper JSON = new ObjectMapper();

    OversizedInputTest() {
        super(NO_PASSWORD, "least_reserve_s = 60", "least_reserve_s = 1");
    }

    @Test
    void rejectsOversizedInputAndServesOthers() throws Exception {
        FaktoryPeer producer = producer();
        assertTrue(
                producer.call("PUSH " + "[".repeat(10_000) + "]".repeat(10_000))
                        .startsWith("-ERR not JSON"));
        assertTrue(producer.plain("job-00001", ",\"retry\":1e400").startsWith("-MALFORMED retry"));
        assertTrue(
                producer.plain("job-00001", ",\"reserve_for\":99999999999999999999")
                        .startsWith("-MALFORMED"));
        StringBuilder many = new StringBuilder("PUSHB [{}");
        many.append(",{}".repeat(99_999)).append(']');
        assertTrue(
                producer.call(many.toString()).startsWith("-ERR more than 5000 jobs"),
                "a single error for the whole push");
        FaktoryPeer endless = producer();
        String reply = null;
        try {
            for (int i = 0; i < 40; i++) {
                endless.peer().send("x".repeat(100_000));
            }
            reply = endless.peer().line();
        } catch (IOException e) {
            reply = "closed";
        }
        assertTrue(
                reply == null || reply.equals("closed") || reply.startsWith("-ERR a line too long"),
                reply);
        assertEquals("+OK", producer.plain("job-00001", ""), "other clients are served");
    }

    /**
     * Many connections send lines that never end: their total memory is bounded, and another client
     * is served.
     */
    @Test
    void boundsMemoryOfIncompleteLines() throws Exception {
        int closed = 0;
        for (int i = 0; i < 60; i++) {
            FaktoryPeer peer = producer();
            try {
                peer.peer().send("PUSH {\"jid\":\"" + "x".repeat(950_000));
            } catch (IOException e) {
                closed++;
            }
        }
        FaktoryPeer plain = producer();
        assertEquals("+OK", plain.plain("job-00001", ""));
        int mb = plain.info().path("server").path("used_memory_mb").asInt();
        System.out.println(
                "60 incomplete lines of 950 KB: "
                        + mb
                        + " MB used, "
                        + closed
                        + " rejected while sending");
        assertTrue(mb < 700, mb + " MB");
    }
}
