package damsonslip.faktory.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.store.JobRecord;
import damsonslip.store.JobRecord.Options;
import damsonslip.store.JobRecord.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The sets of jobs, the order of dispatch, and the limits. */
class JobTableTest {
    private final JobTable jobTable = new JobTable(2, new JobTable.Limits(50, 20, 3, 1_000), 0);

    private JobEntry add(String id, String queue, int jobClass) {
        return jobTable.add(
                RetryPolicyTest.record(id, queue, 5, 0).withSequence(jobTable.nextSequence()),
                jobClass);
    }

    private String next(boolean fair, String... queues) {
        JobEntry entry = jobTable.next(List.of(queues), fair, 0, jobClass -> true);
        if (entry == null) {
            return null;
        }
        jobTable.dispatch(entry);
        return entry.id();
    }

    @Test
    void servesQueuesInFetchOrderAndJobsInArrivalOrder() {
        add("a1", "a", 0);
        add("b1", "b", 1);
        add("a2", "a", 1);
        assertEquals("b1", next(false, "b", "a"));
        assertEquals("a1", next(false, "b", "a"));
        assertEquals("a2", next(false, "a"));
        assertNull(next(false, "a", "b", "c"));
    }

    @Test
    void servesQueuesInRotationInFairOrder() {
        for (int i = 0; i < 10; i++) {
            add("a" + i, "a", 0);
        }
        add("b0", "b", 0);
        add("c0", "c", 0);
        List<String> served = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            served.add(next(true, "a", "b", "c"));
        }
        assertEquals(List.of("a0", "b0", "c0", "a1", "a2"), served);
    }

    @Test
    void returnsJobToItsOldPositionAndDelaysIt() {
        add("a1", "a", 0);
        add("a2", "a", 0);
        JobEntry first = jobTable.get("a1");
        jobTable.dispatch(first);
        jobTable.returnToQueue(first, 500);
        assertNull(
                jobTable.next(List.of("a"), false, 499, c -> true),
                "a delayed first job blocks the jobs behind it");
        assertEquals("a1", jobTable.next(List.of("a"), false, 500, c -> true).id());
        assertNull(
                jobTable.next(List.of("a"), false, 500, c -> false),
                "no job of a class that may not be dispatched");
        jobTable.pause("a");
        assertNull(jobTable.next(List.of("a"), false, 500, c -> true));
    }

    @Test
    void servesHigherPriorityFirst() {
        Options low = new Options("a", "t", "any", 1, 5, 1, 1, 0, 0, "", "", "", 0, false, 0);
        Options high = new Options("a", "t", "any", 9, 5, 1, 1, 0, 0, "", "", "", 0, false, 0);
        jobTable.add(JobRecord.pushed("low", low, 0, 0).withSequence(jobTable.nextSequence()), 0);
        jobTable.add(JobRecord.pushed("high", high, 0, 0).withSequence(jobTable.nextSequence()), 1);
        assertEquals("high", next(false, "a"));
        assertEquals("low", next(false, "a"));
    }

    @Test
    void limitsJobsInTotalAndPerQueueExceptDeadJobs() {
        for (int i = 0; i < 20; i++) {
            assertNull(jobTable.rejectionReason("a"));
            add("a" + i, "a", 0);
        }
        assertTrue(jobTable.rejectionReason("a").contains("queue a"));
        for (int i = 0; i < 30; i++) {
            assertNull(jobTable.rejectionReason("b" + i % 2));
            add("b" + i, "b" + i % 2, 0);
        }
        assertTrue(jobTable.rejectionReason("c").contains("too many"));
        JobEntry dead = jobTable.get("a0");
        jobTable.move(dead, dead.record().withState(State.DEAD, 10, "", 10));
        assertNull(jobTable.rejectionReason("a"));
    }

    @Test
    void expiresDeadJobsByAgeAndNumber() {
        for (int i = 0; i < 5; i++) {
            JobEntry entry = add("d" + i, "a", 0);
            jobTable.move(entry, entry.record().withState(State.DEAD, 100 + i, "", 0));
        }
        assertEquals(
                List.of("d0", "d1"),
                jobTable.expiredDead(200).stream().map(JobEntry::id).toList(),
                "the limit is three dead jobs");
        assertEquals(4, jobTable.expiredDead(1_103).size(), "the retention is one second");
        assertEquals(5, jobTable.size(State.DEAD));
    }

    @Test
    void returnsDueJobsEarliestFirstUpToALimit() {
        for (int i = 0; i < 10; i++) {
            JobEntry entry = add("s" + i, "a", 0);
            jobTable.move(entry, entry.record().withState(State.SCHEDULED, 1_000 - i, "", 0));
        }
        assertEquals(0, jobTable.due(990, 5).size());
        assertEquals(
                List.of("s9", "s8", "s7"),
                jobTable.due(1_000, 3).stream().map(JobEntry::id).toList());
    }

    @Test
    void holdsUniqueLockUntilEndExpiryOrStart() {
        Options options =
                new Options("a", "t", "any", 5, 5, 1, 1, 0, 0, "", "", "key", 1_000, true, 0);
        assertTrue(jobTable.lockUnique("one", options, 0));
        JobEntry one = jobTable.add(JobRecord.pushed("one", options, 0, 0), 0);
        assertFalse(jobTable.lockUnique("two", options, 999));
        assertTrue(jobTable.lockUnique("one", options, 999), "the same job may lock again");
        jobTable.move(one, one.record().reserved("w", 5));
        assertTrue(
                jobTable.lockUnique("two", options, 999),
                "the lock was released at the start of the first job");
        jobTable.remove(one);
        assertFalse(
                jobTable.lockUnique("three", options, 999),
                "the end of the first job does not release the lock of the second");
        assertTrue(jobTable.lockUnique("three", options, 1_000), "the lock has expired");
    }

    @Test
    void rejectsDuplicateId() {
        add("a1", "a", 0);
        assertThrows(IllegalArgumentException.class, () -> add("a1", "a", 0));
    }

    /**
     * Compares the sizes of sets and queues, and the next job of each queue, with a plain count
     * over many random moves.
     */
    @Test
    void keepsCountsThroughRandomMoves() {
        SplittableRandom random = new SplittableRandom(7);
        JobTable table =
                new JobTable(
                        3,
                        new JobTable.Limits(1_000_000, 1_000_000, 1_000_000, Long.MAX_VALUE / 2),
                        0);
        Map<String, JobEntry> entries = new HashMap<>();
        int ids = 0;
        for (int step = 0; step < 20_000; step++) {
            if (entries.size() < 40 || random.nextInt(3) == 0) {
                String id = "j" + ids++;
                JobRecord record =
                        RetryPolicyTest.record(id, "q" + random.nextInt(4), 5, 0)
                                .withSequence(table.nextSequence());
                entries.put(id, table.add(record, random.nextInt(3)));
            } else {
                moveAtRandom(
                        table,
                        entries,
                        new ArrayList<>(entries.values()).get(random.nextInt(entries.size())),
                        random);
            }
            if (step % 500 == 0) {
                assertCountsMatch(table, entries);
            }
        }
        assertCountsMatch(table, entries);
    }

    private static void moveAtRandom(
            JobTable table,
            Map<String, JobEntry> entries,
            JobEntry entry,
            SplittableRandom random) {
        boolean queued = entry.record().state() == State.QUEUED;
        switch (random.nextInt(6)) {
            case 0 -> {
                table.remove(entry);
                entries.remove(entry.id());
            }
            case 1 ->
                    table.move(
                            entry,
                            entry.record().withState(State.RETRY, random.nextInt(1_000), "", 0));
            case 2 ->
                    table.move(
                            entry,
                            entry.record().withState(State.DEAD, random.nextInt(1_000), "", 0));
            case 3 -> {
                if (queued && !entry.isDispatched()) {
                    table.dispatch(entry);
                } else if (entry.isDispatched()) {
                    table.returnToQueue(entry, 0);
                }
            }
            case 4 -> table.move(entry, entry.record().enqueued(table.nextSequence(), 0));
            default -> table.move(entry, entry.record().reserved("w", 1));
        }
    }

    private static void assertCountsMatch(JobTable table, Map<String, JobEntry> entries) {
        assertEquals(entries.size(), table.size());
        for (State state :
                List.of(State.QUEUED, State.RESERVED, State.RETRY, State.DEAD, State.SCHEDULED)) {
            assertEquals(
                    entries.values().stream().filter(e -> e.record().state() == state).count(),
                    table.size(state));
        }
        assertEquals(
                entries.values().stream().filter(JobEntry::isDispatched).count(),
                table.dispatchedCount());
        for (int queue = 0; queue < 4; queue++) {
            String name = "q" + queue;
            List<JobEntry> waiting =
                    entries.values().stream()
                            .filter(
                                    e ->
                                            e.record().state() == State.QUEUED
                                                    && !e.isDispatched()
                                                    && e.record().options().queue().equals(name))
                            .toList();
            assertEquals(waiting.size(), table.waitingIn(name).size());
            JobEntry next = table.next(List.of(name), false, 0, c -> true);
            assertEquals(
                    waiting.stream().mapToLong(e -> e.record().sequence()).min().orElse(-1),
                    next == null ? -1 : next.record().sequence());
        }
    }

    /**
     * Guards against the loss of a job whose place another one takes: schedulers of earlier
     * versions gave the same numbers again after each restart.
     */
    @Test
    void keepsBothOfTwoJobsWithEqualSequenceNumber() {
        jobTable.add(RetryPolicyTest.record("b", "q", 5, 0).withSequence(7), 0);
        jobTable.add(RetryPolicyTest.record("a", "q", 5, 0).withSequence(7), 0);
        assertEquals("a", next(false, "q"));
        assertEquals("b", next(false, "q"));
        assertNull(next(false, "q"));
    }

    /** Jobs are pushed before all earlier ones are recovered, and queue up behind them. */
    @Test
    void ordersJobsOfThisProcessBehindThoseOfEarlierOnes() {
        JobTable restarted = new JobTable(1, new JobTable.Limits(50, 20, 3, 1_000), 1_000);
        JobRecord pushed = RetryPolicyTest.record("pushed", "q", 5, 0);
        restarted.add(pushed.withSequence(restarted.nextSequence()), 0);
        restarted.add(RetryPolicyTest.record("recovered", "q", 5, 0).withSequence(999), 0);
        assertEquals("recovered", restarted.next(List.of("q"), false, 0, c -> true).id());
    }

    /** Guards against the return of a job that ends while its older record is being read. */
    @Test
    void recoversNoJobThatEndedSinceRecoveryBegan() {
        jobTable.beginRecovery();
        jobTable.remove(add("a1", "a", 0));
        assertFalse(jobTable.mayRecover("a1"));
        assertTrue(jobTable.mayRecover("a2"));
        jobTable.endRecovery();
        assertTrue(jobTable.mayRecover("a1"));
    }
}
