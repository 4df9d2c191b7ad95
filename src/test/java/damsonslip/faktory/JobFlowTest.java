package damsonslip.faktory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.testkit.FaktoryPeer;
import damsonslip.testkit.FaktoryServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the path of a job from its push to its final state. */
class JobFlowTest extends FaktoryProgramFixture {
    JobFlowTest() {
        super(PASSWORD);
    }

    @Test
    void runsJobFromPushToAcknowledgement() throws Exception {
        FaktoryPeer producer = producer();
        assertEquals("+OK", producer.push("job-00001", "apply-submit", 4, ""));
        FaktoryPeer worker = peer("w1");
        assertEquals("job-00001", worker.fetch());
        assertEquals("working", producer.state("job-00001"));
        assertEquals("+OK", worker.ack("job-00001"));
        FaktoryServer.awaitState(producer, "job-00001", "success");
        assertEquals("unknown", producer.state("job-99999"));
        assertEquals(1, producer.info().path("faktory").path("total_processed").asInt());
        assertEquals("{}", producer.call("PUSHB []"));
    }

    /**
     * A worker is selected only among those that fetch from the job's queue, although the pools of
     * the scheduling policy are not divided by queue.
     */
    @Test
    void placesJobOnlyOnWorkerThatFetchesItsQueue() throws Exception {
        FaktoryPeer producer = producer();
        List<FaktoryPeer> others = new ArrayList<>();
        for (int i = 0; i < 6; i++) { // enough for each class's pool to contain some of them
            others.add(peer("other" + i));
            others.get(i).peer().send("FETCH elsewhere\r\n");
        }
        FaktoryPeer matching = peer("fits");
        for (int i = 0; i < 5; i++) {
            assertEquals(
                    "+OK", producer.push("job-0000" + i, "status-read", 4, ",\"queue\":\"here\""));
            assertEquals("job-0000" + i, matching.fetch("here", 0), "the first FETCH gets the job");
            matching.ack("job-0000" + i);
        }
        assertEquals(
                5,
                producer.info().path("counters").path("executions_sent").asInt(),
                "no attempt was sent to another worker");
    }

    @Test
    void runsRepeatedPushOnce() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer worker = peer("w1");
        assertEquals("+OK", producer.push("job-00001", "apply-submit", 5, ""));
        assertEquals("+OK", producer.push("job-00001", "apply-submit", 5, ""));
        assertEquals("job-00001", worker.fetch());
        worker.ack("job-00001");
        FaktoryServer.awaitState(producer, "job-00001", "success");
        assertEquals("+OK", producer.push("job-00001", "apply-submit", 5, ""));
        assertNull(worker.fetch());
    }

    @Test
    void repliesWithRetryAfterWhenThrottling() throws Exception {
        FaktoryPeer producer = producer();
        String reply = "+OK";
        for (int i = 0; i < 60 && reply.equals("+OK"); i++) {
            reply = producer.push("job-0000" + i, "status-read", 30, "");
        }
        assertTrue(reply.matches("-ERR throttled, retry after [0-9.]+ s"), reply);
    }

    /** A quiet worker gets no new job, not even for a FETCH that was already pending. */
    @Test
    void handsNothingToQuietWorker() throws Exception {
        FaktoryPeer producer = producer();
        FaktoryPeer waiting = peer("w1");
        FaktoryPeer heartbeatPeer = peer("w1");
        List<String> fetched = new ArrayList<>();
        Thread fetch =
                new Thread(
                        () -> {
                            try {
                                fetched.add(waiting.fetch());
                            } catch (IOException e) {
                                fetched.add(e.toString());
                            }
                        });
        fetch.start();
        Thread.sleep(300);
        assertEquals(
                "+OK", heartbeatPeer.call("BEAT {\"wid\":\"w1\",\"current_state\":\"quiet\"}"));
        assertEquals("+OK", producer.push("job-00001", "status-read", 3, ""));
        fetch.join();
        assertNull(fetched.get(0));
        assertNull(waiting.fetch());
        assertEquals("job-00001", peer("w2").fetch());
    }
}
