package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that jobs which must not run twice do not. */
class NonIdempotentJobTest extends FaktoryProgramFixture {
    /** Options in the push of a job that must not run twice. */
    private static final String NOT_IDEMPOTENT =
            ",\"queue\":\"q\",\"custom\":{\"class\":\"apply-submit\"}";

    NonIdempotentJobTest() {
        super(NO_PASSWORD, "least_reserve_s = 60", "least_reserve_s = 1");
    }

    /** A non-idempotent job runs once, however its run ends and whoever requests another run. */
    @ParameterizedTest
    @ValueSource(strings = {"fails", "expires", "disconnects"})
    void neverRepeatsJobThatMayHaveRun(String how) throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        assertEquals(
                "+OK",
                producer.plain("job-once1", NOT_IDEMPOTENT + ",\"retry\":25,\"reserve_for\":1"));
        assertEquals("job-once1", worker.fetch("q", 2_000));
        switch (how) {
            case "fails" -> assertEquals("+OK", worker.fail("job-once1"));
            case "disconnects" -> worker.close();
            default -> Thread.sleep(1_100); // its reservation expires
        }
        FaktoryServer.awaitState(producer, "job-once1", "dead");
        assertTrue(producer.track("job-once1").path("desc").asText().contains("may have run"));
        assertEquals(1, producer.size("Dead"));
        String reply = producer.mutate("requeue", "dead", "job-once1");
        assertTrue(reply.startsWith("-ERR 1 of 1 may have run"), reply);
        assertEquals(
                "+OK",
                producer.plain("job-once1", NOT_IDEMPOTENT),
                "a repeated push changes nothing");
        server.killAndStart();
        FaktoryPeer after = producer();
        FaktoryPeer other = peer("w2");
        assertNull(other.fetch("q", 0));
        assertEquals("+OK", after.mutate("discard", "dead", "job-once1"));
        assertEquals(
                "+OK",
                after.plain("job-once1", NOT_IDEMPOTENT),
                "a push after the job was discarded changes nothing either");
        assertNull(other.fetch("q", 0));
        assertEquals("discarded", after.state("job-once1"));
    }
}
