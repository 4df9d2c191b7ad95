package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import damsonslip.testkit.FaktoryPeer;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that draining workers get no new jobs. */
class DrainingWorkerTest extends FaktoryProgramFixture {
    DrainingWorkerTest() {
        super(NO_PASSWORD, "least_reserve_s = 60", "least_reserve_s = 1");
    }

    @ParameterizedTest
    @ValueSource(strings = {"quiet", "terminate"})
    void handsNothingToDrainingWorkerFromResumedQueuesOrDueJobs(String state) throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        FaktoryPeer waiting = peer("w1");
        assertEquals("+OK", producer.call("QUEUE PAUSE q"));
        assertEquals("+OK", producer.plain("job-00001", ",\"queue\":\"q\""));
        String at = Instant.now().plusSeconds(2).toString();
        assertEquals("+OK", producer.plain("job-00002", ",\"queue\":\"q\",\"at\":\"" + at + "\""));
        assertEquals("+OK", producer.plain("job-00003", ",\"queue\":\"other\",\"retry\":5"));
        assertEquals("job-00003", worker.fetch("other", 2_000));
        assertEquals("+OK", worker.fail("job-00003"));
        waiting.peer().send("FETCH q other\r\n");
        assertEquals(
                "+OK", worker.call("BEAT {\"wid\":\"w1\",\"current_state\":\"" + state + "\"}"));
        assertEquals("+OK", producer.call("QUEUE RESUME *"));
        assertEquals("+OK", producer.mutate("requeue", "retries", "job-00003"));
        assertEquals("$-1", waiting.peer().line(), "the waiting FETCH gets no job");
        assertNull(worker.fetch("q other", 2_500), "nor does a new FETCH");
        FaktoryPeer other = peer("w2");
        List<String> fetched = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            String jid = other.fetch("q other", 3_000);
            other.ack(jid);
            fetched.add(jid);
        }
        fetched.sort(null);
        assertEquals(List.of("job-00001", "job-00002", "job-00003"), fetched);
    }
}
