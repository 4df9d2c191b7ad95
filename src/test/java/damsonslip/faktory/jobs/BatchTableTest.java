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

/** Conditions under which the callbacks of batches become due. */
class BatchTableTest {
    private final JobTable jobTable = new JobTable(1, new JobTable.Limits(100, 100, 100, 1_000), 0);
    private final BatchTable batches = new BatchTable(jobTable);

    private void addBatch(String bid, String parent) {
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

    private void addBatchWithoutSuccessCallback(String bid, String parent, boolean committed) {
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

    private JobEntry addJob(String id, String bid) {
        batches.countPushedJob(bid);
        Options options = new Options("q", "t", "any", 5, 5, 1, 1, 0, 0, bid, "", "", 0, false, 0);
        return jobTable.add(
                JobRecord.pushed(id, options, 0, 0).withSequence(jobTable.nextSequence()), 0);
    }

    private String collectDue(String bid) {
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
        addBatch("b", "");
        JobEntry one = addJob("one", "b");
        JobEntry two = addJob("two", "b");
        jobTable.remove(one);
        fail(two, State.RETRY);
        assertEquals("[]", collectDue("b"), "not committed");
        batches.commit("b");
        assertEquals("[b-complete]", collectDue("b"));
        assertEquals("[]", collectDue("b"), "each callback becomes due once only");
        assertEquals(1, batches.failedJobs("b"));
        jobTable.remove(two);
        assertEquals("[b-success]", collectDue("b"));
        assertEquals("[]", collectDue("b"));
    }

    /** The scheduler stopped after a job was recorded and before its batch was. */
    @Test
    void correctsTotalsToTheJobsInTheStore() {
        addBatch("b", "");
        addJob("one", "b");
        addJob("two", "b");
        batches.correctTotals();
        assertEquals(2, batches.get("b").total());
        assertEquals(3, batches.countPushedJob("b").total());
        batches.correctTotals();
        assertEquals(
                3, batches.get("b").total(), "a total that includes ended jobs is not lowered");
    }

    @Test
    void withholdsSuccessWhileAJobIsDead() {
        addBatch("b", "");
        JobEntry job = addJob("one", "b");
        batches.commit("b");
        fail(job, State.DEAD);
        assertEquals("[b-complete]", collectDue("b"));
        assertEquals("[]", collectDue("b"));
        jobTable.move(job, job.record().enqueued(jobTable.nextSequence(), 0));
        assertEquals("[]", collectDue("b"));
        jobTable.remove(job);
        assertEquals("[b-success]", collectDue("b"));
    }

    @Test
    void awaitsTheCallbacksOfNestedBatches() {
        addBatch("outer", "");
        addBatch("inner", "outer");
        JobEntry job = addJob("one", "inner");
        batches.commit("outer");
        assertEquals("[]", collectDue("outer"));
        batches.commit("inner");
        jobTable.remove(job);
        assertEquals("[inner-complete, inner-success]", collectDue("inner"));
        assertEquals(
                "[]",
                collectDue("outer"),
                "the callbacks of the nested batch have not succeeded yet");
        batches.markCallbackDone("inner", false);
        assertEquals("[outer-complete]", collectDue("inner"));
        batches.markCallbackDone("inner", true);
        assertEquals("[outer-success]", collectDue("inner"));
    }

    @Test
    void acceptsJobsOnlyWhileOpen() {
        assertNotNull(batches.rejectionReason("none"));
        addBatch("b", "");
        assertNull(batches.rejectionReason("b"));
        addJob("one", "b");
        batches.commit("b");
        assertTrue(batches.rejectionReason("b").contains("committed"));
        assertNotNull(batches.open("b"));
        assertNull(batches.rejectionReason("b"));
        batches.commit("b");
        jobTable.remove(jobTable.get("one"));
        collectDue("b");
        assertNull(batches.open("b"), "its completion callback is due");
        assertNull(batches.open("none"));
        assertNull(batches.commit("none"));
    }

    @Test
    void findsUnfinishedCallbacksAfterRestart() {
        addBatch("b", "");
        batches.commit("b");
        collectDue("b");
        BatchTable restarted = new BatchTable(new JobTable(1, new JobTable.Limits(1, 1, 1, 1), 0));
        batches.all().forEach(restarted::add);
        assertEquals(
                List.of("b-complete", "b-success"),
                restarted.unfinishedCallbacks().stream()
                        .map(callback -> callback.batch().callbackJobId(callback.isSuccess()))
                        .toList());
    }

    @Test
    void toleratesCyclicParentsAndMissingCallbacks() {
        addBatchWithoutSuccessCallback("b", "c", false);
        addBatchWithoutSuccessCallback("c", "b", false);
        batches.commit("b");
        assertEquals(
                "[]",
                collectDue("b"),
                "each waits for the other, and the search along the parents terminates");
        addBatchWithoutSuccessCallback("d", "", true);
        assertEquals(2, batches.collectDueCallbacks("d").size());
        assertEquals(
                CallbackState.DONE,
                batches.get("d").onSuccess(),
                "done at once, since there is no callback to run");
        assertEquals(CallbackState.DUE, batches.get("d").onComplete());
        assertEquals(
                List.of("d"),
                batches.removeExpired(4_000_000),
                "an ended batch is removed after an hour");
    }
}
