package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;

import damsonslip.testkit.FaktoryPeer;
import org.junit.jupiter.api.Test;

/** Tests concurrent, duplicate and late pushes and reports. */
class CrossingCommandsTest extends FaktoryProgramFixture {
    CrossingCommandsTest() {
        super(NO_PASSWORD, "least_reserve_s = 60", "least_reserve_s = 1");
    }

    @Test
    void acceptsJobOnceIfPushedOnTwoConnections() throws Exception {
        FaktoryPeer one = producer();
        FaktoryPeer two = producer();
        for (int i = 10; i < 30; i++) {
            String push =
                    "PUSH {\"jid\":\"job-000"
                            + i
                            + "\",\"jobtype\":\"t\",\"args\":[],\"queue\":\"q\"}\r\n";
            one.peer().send(push);
            two.peer().send(push);
            assertEquals("+OK", one.peer().line());
            assertEquals("+OK", two.peer().line());
        }
        assertEquals(20, one.info().path("faktory").path("queues").path("q").asInt());
        assertEquals(20, one.info().path("counters").path("pushes_repeated").asInt());
    }

    @Test
    void ignoresDuplicateReportsAndThoseOfOtherWorkers() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        FaktoryPeer other = peer("w2");
        producer.plain("job-00001", ",\"queue\":\"q\"");
        assertEquals("job-00001", worker.fetch("q", 2_000));
        assertEquals("+OK", other.ack("job-00001"), "another worker's report is acknowledged");
        assertEquals("working", producer.state("job-00001"));
        worker.peer()
                .send(
                        "ACK {\"jid\":\"job-00001\"}\r\n"
                            + "FAIL {\"jid\":\"job-00001\",\"errtype\":\"E\",\"message\":\"m\"}\r\n"
                            + "ACK {\"jid\":\"job-00001\"}\r\n");
        for (int i = 0; i < 3; i++) {
            assertEquals("+OK", worker.peer().line());
        }
        assertEquals("success", producer.state("job-00001"));
        assertEquals(0, producer.size("Retries"));
        assertEquals(3, producer.info().path("counters").path("words_late").asInt());
    }

    /**
     * After the reservation has expired, a FAIL changes nothing, but an ACK completes the job
     * instead of its retry.
     */
    @Test
    void acceptsLateAcknowledgementOfExpiredReservation() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        producer.plain("job-00001", ",\"queue\":\"q\",\"reserve_for\":1");
        assertEquals("job-00001", worker.fetch("q", 2_000));
        await("the job is waiting for a retry", () -> producer.size("Retries") == 1);
        assertEquals("+OK", worker.fail("job-00001"));
        assertEquals(1, producer.size("Retries"));
        assertEquals("+OK", worker.ack("job-00001"));
        assertEquals(0, producer.size("Retries"));
        assertEquals("success", producer.state("job-00001"));
    }
}
