package damsonslip.faktory.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.store.JobRecord;
import damsonslip.store.JobRecord.Options;
import damsonslip.store.JobRecord.State;
import java.util.List;
import org.junit.jupiter.api.Test;

/** When callbacks are due. */
class BatchTableTest {
    private final JobTable jobTable = new JobTable(1, new JobTable.Limits(100, 100, 100, 1_000));
    private final BatchTable batches = new BatchTable(jobTable);

    private void batch(String bid, String parent) {
        batches.add(
                new Batch(
                        bid,
                        parent,
                        "",
                        "{s}",
                        "{c}",
                        false,
                        0,
                        CallbackState.NOT_YET,
                        CallbackState.NOT_YET,
                        0));
    }

    private void batchWithoutSuccessCallback(String bid, String parent, boolean committed) {
        batches.add(
                new Batch(
                        bid,
                        parent,
                        "",
                        "",
                        "{c}",
                        committed,
                        0,
                        CallbackState.NOT_YET,
                        CallbackState.NOT_YET,
                        0));
    }

    private JobEntry job(String id, String bid) {
        batches.countPushedJob(bid);
        Options facts = new Options("q", "t", "any", 5, 5, 1, 1, 0, 0, bid, "", "", 0, false, 0);
        return jobTable.add(
                JobRecord.pushed(id, facts, 0, 0).withSequence(jobTable.nextSequence()), 0);
    }

    private String due(String bid) {
        return batches.collectDueCallbacks(bid).stream()
                .map(callback -> callback.batch().callbackJobId(callback.isSuccess()))
                .toList()
                .toString();
    }

    private void fail(JobEntry entry, State state) {
        JobRecord failed =
                entry.record().withFailure(new JobRecord.Failure(0, 1, 0, "E", "m", List.of()));
        jobTable.move(entry, failed.withState(state, 9, "", 9));
    }

    @Test
    void completesOnceAllJobsRanAndSucceedsOnceAllSucceeded() {
        batch("b", "");
        JobEntry one = job("one", "b");
        JobEntry two = job("two", "b");
        jobTable.remove(one);
        fail(two, State.RETRY);
        assertEquals("[]", due("b"), "not committed");
        batches.commit("b");
        assertEquals("[b-complete]", due("b"));
        assertEquals("[]", due("b"), "once only");
        assertEquals(1, batches.failedJobs("b"));
        jobTable.remove(two);
        assertEquals("[b-success]", due("b"));
        assertEquals("[]", due("b"));
    }

    /** The scheduler was stopped after a job was recorded and before its batch was. */
    @Test
    void correctsTotalsToTheJobsInTheStore() {
        batch("b", "");
        job("one", "b");
        job("two", "b");
        batches.correctTotals();
        assertEquals(2, batches.get("b").total());
        assertEquals(3, batches.countPushedJob("b").total());
        batches.correctTotals();
        assertEquals(3, batches.get("b").total(), "one that was done already is not forgotten");
    }

    @Test
    void withholdsSuccessWhileAJobIsDead() {
        batch("b", "");
        JobEntry job = job("one", "b");
        batches.commit("b");
        fail(job, State.DEAD);
        assertEquals("[b-complete]", due("b"));
        assertEquals("[]", due("b"));
        jobTable.move(job, job.record().enqueued(jobTable.nextSequence(), 0));
        assertEquals("[]", due("b"));
        jobTable.remove(job);
        assertEquals("[b-success]", due("b"));
    }

    @Test
    void awaitsTheCallbacksOfNestedBatches() {
        batch("out", "");
        batch("in", "out");
        JobEntry job = job("one", "in");
        batches.commit("out");
        assertEquals("[]", due("out"));
        batches.commit("in");
        jobTable.remove(job);
        assertEquals("[in-complete, in-success]", due("in"));
        assertEquals("[]", due("out"), "its callbacks have not succeeded yet");
        batches.markCallbackDone("in", false);
        assertEquals("[out-complete]", due("in"));
        batches.markCallbackDone("in", true);
        assertEquals("[out-success]", due("in"));
    }

    @Test
    void acceptsJobsOnlyWhileOpen() {
        assertNotNull(batches.rejectionReason("none"));
        batch("b", "");
        assertNull(batches.rejectionReason("b"));
        job("one", "b");
        batches.commit("b");
        assertTrue(batches.rejectionReason("b").contains("committed"));
        assertNotNull(batches.open("b"));
        assertNull(batches.rejectionReason("b"));
        batches.commit("b");
        jobTable.remove(jobTable.get("one"));
        due("b");
        assertNull(batches.open("b"), "its completion callback is due");
        assertNull(batches.open("none"));
        assertNull(batches.commit("none"));
    }

    @Test
    void knowsUnfinishedCallbacksAfterRestart() {
        batch("b", "");
        batches.commit("b");
        due("b");
        BatchTable after = new BatchTable(new JobTable(1, new JobTable.Limits(1, 1, 1, 1)));
        batches.all().forEach(after::add);
        assertEquals(
                List.of("b-complete", "b-success"),
                after.unfinishedCallbacks().stream()
                        .map(callback -> callback.batch().callbackJobId(callback.isSuccess()))
                        .toList());
    }

    @Test
    void endsWithoutCallbackAndToleratesCyclicParents() {
        batchWithoutSuccessCallback("b", "c", false);
        batchWithoutSuccessCallback("c", "b", false);
        batches.commit("b");
        assertEquals(
                "[]", due("b"), "each waits for the other, and the search for what is due ends");
        batchWithoutSuccessCallback("d", "", true);
        assertEquals(2, batches.collectDueCallbacks("d").size());
        assertEquals(CallbackState.DONE, batches.get("d").onSuccess(), "there is nothing to run");
        assertEquals(CallbackState.DUE, batches.get("d").onComplete());
        assertEquals(
                List.of("d"),
                batches.removeExpired(4_000_000),
                "an ended batch is removed after its retention");
    }
}
