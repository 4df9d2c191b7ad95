package damsonslip.faktory.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.faktory.jobs.RetryPolicy.NextState;
import damsonslip.faktory.jobs.RetryPolicy.RecoveryAction;
import damsonslip.faktory.jobs.RetryPolicy.RunFailure;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;
import damsonslip.store.JobRecord;
import damsonslip.store.JobRecord.Options;
import damsonslip.store.JobRecord.State;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What follows a failed run and a restart, for each class and retry limit. */
class RetryPolicyTest {
    static final JobClass SAFE =
            new JobClass(1, 2, 1, Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS, 0, -1);
    static final JobClass ONCE =
            new JobClass(1, 2, 1, Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS, 0, -1);
    static final JobClass KEYED =
            new JobClass(
                    1,
                    2,
                    1,
                    Idempotency.IDEMPOTENT_WITH_KEY,
                    IdempotencyScope.ALL_WORKERS,
                    40_000_000,
                    -1);
    static final JobClass BY_ZONE =
            new JobClass(
                    1,
                    2,
                    1,
                    Idempotency.IDEMPOTENT_WITH_KEY,
                    IdempotencyScope.ZONE,
                    40_000_000,
                    -1);
    private static final RunFailure BROKEN = new RunFailure("E", "m", List.of("a", "b", "c"));
    private final SplittableRandom random = new SplittableRandom(1);

    static JobRecord record(String id, String queue, int retry, long deadlineMs) {
        Options facts =
                new Options(
                        queue,
                        "t",
                        "any",
                        5,
                        retry,
                        60_000,
                        1,
                        deadlineMs,
                        0,
                        "",
                        "",
                        "",
                        0,
                        false,
                        2);
        return JobRecord.pushed(id, facts, 0, 1_000);
    }

    private static JobRecord ran(int retry, long deadlineMs) {
        return record("j", "q", retry, deadlineMs).reserved("w", 10_000);
    }

    private NextState fail(JobRecord record, JobClass of) {
        return RetryPolicy.nextState(record, of, BROKEN, 20_000, random);
    }

    @Test
    void backsOffByTheFourthPowerWithJitter() {
        for (int count : new int[] {0, 1, 2, 5, 24}) {
            long least = 1000L * (count * count * count * count + 15);
            for (int i = 0; i < 200; i++) {
                long ms = RetryPolicy.backoffMs(count, random);
                assertTrue(ms >= least && ms <= least + 29_000L * (count + 1), count + ": " + ms);
            }
        }
        assertTrue(RetryPolicy.backoffMs(1_000_000, random) > 0, "and no count makes it negative");
    }

    /** The wall clock was put back between two starts: the time since the first run is unknown. */
    @Test
    void allowsNoRunWithinAWindowAfterTheClockWasPutBack() {
        JobRecord ran = ran(5, 0); // first run at 10,000 ms
        assertTrue(RetryPolicy.mayRun(ran, KEYED, 10_000));
        assertFalse(RetryPolicy.mayRun(ran, KEYED, 9_999));
        assertFalse(RetryPolicy.mayRun(ran, KEYED, 10_000 - 3_600_000));
        assertTrue(RetryPolicy.mayRun(ran, SAFE, 9_999));
    }

    @Test
    void retriesUntilTheRetryLimit() {
        JobRecord record = ran(2, 0);
        for (int count = 0; count < 2; count++) {
            NextState next = fail(record, SAFE);
            assertEquals(State.RETRY, next.state());
            assertEquals(count, next.failure().count());
            assertTrue(next.dueMs() >= 20_000 + 15_000);
            assertEquals(List.of("a", "b"), next.failure().backtrace(), "as much as it asked for");
            record = record.withFailure(next.failure());
        }
        NextState last = fail(record, SAFE);
        assertEquals(State.DEAD, last.state());
        assertTrue(last.message().contains("no retries are left"));
    }

    @Test
    void discardsWithoutRetriesAndMovesToTheDeadSetOnMinusOne() {
        assertEquals(State.DISCARDED, fail(ran(0, 0), SAFE).state());
        assertEquals(State.DEAD, fail(ran(-1, 0), SAFE).state());
    }

    @Test
    void movesNonIdempotentJobToTheDeadSetWhateverItsRetryLimit() {
        for (int retry : new int[] {-1, 0, 1, 25}) {
            NextState next = fail(ran(retry, 0), ONCE);
            assertEquals(State.DEAD, next.state());
            assertTrue(next.message().contains("may have run"), next.message());
        }
        assertFalse(RetryPolicy.mayRun(ran(25, 0), ONCE, 20_000));
        assertTrue(RetryPolicy.mayRun(record("j", "q", 25, 0), ONCE, 20_000), "what never ran may");
    }

    @Test
    void allowsRunsOfKeyedJobWithinItsWindowInAllZones() {
        assertTrue(RetryPolicy.mayRun(ran(1, 0), KEYED, 49_999));
        assertFalse(
                RetryPolicy.mayRun(ran(1, 0), KEYED, 50_000), "40 s after the first run at 10 s");
        assertFalse(
                RetryPolicy.mayRun(ran(1, 0), BY_ZONE, 10_001),
                "a new hand-over may lead to another zone");
        assertEquals(State.DEAD, fail(ran(5, 0), BY_ZONE).state());
        JobRecord late = ran(5, 0);
        assertEquals(
                State.DEAD, RetryPolicy.nextState(late, KEYED, BROKEN, 45_000, random).state());
    }

    @Test
    void recoversByWhatMayHaveRun() {
        JobRecord waiting = record("j", "q", 25, 0);
        assertEquals(RecoveryAction.RESTORE, RetryPolicy.recoveryAction(waiting, ONCE, 5_000));
        assertEquals(
                RecoveryAction.AWAIT_REPORT,
                RetryPolicy.recoveryAction(ran(25, 0), SAFE, 5_000),
                "its worker may be at it");
        assertEquals(
                RecoveryAction.AWAIT_REPORT,
                RetryPolicy.recoveryAction(ran(25, 90_000), ONCE, 5_000));
        assertEquals(
                RecoveryAction.DISPATCH,
                RetryPolicy.recoveryAction(ran(25, 90_000), SAFE, 5_000),
                "somebody waits for it");
        assertEquals(
                RecoveryAction.DISPATCH,
                RetryPolicy.recoveryAction(record("j", "q", 25, 90_000), ONCE, 5_000));
        assertEquals(
                RecoveryAction.EXPIRE,
                RetryPolicy.recoveryAction(record("j", "q", 25, 90_000), ONCE, 90_000));
        JobRecord back = ran(25, 90_000).returned(true, 11_000);
        assertEquals(
                RecoveryAction.AWAIT_REPORT,
                RetryPolicy.recoveryAction(back, ONCE, 20_000),
                "queued again, but it had run");
        assertEquals(
                RecoveryAction.DISPATCH,
                RetryPolicy.recoveryAction(ran(25, 90_000).returned(false, 11_000), ONCE, 20_000));
        for (State state : List.of(State.DEAD, State.RETRY, State.SCHEDULED)) {
            assertEquals(
                    RecoveryAction.RESTORE,
                    RetryPolicy.recoveryAction(ran(1, 0).withState(state, 9, "", 9), ONCE, 5_000));
        }
        assertEquals(70_000, RetryPolicy.reportDeadlineMs(ran(25, 0)), "its reservation's end");
        assertEquals(
                15_000,
                RetryPolicy.reportDeadlineMs(ran(25, 15_000)),
                "or its deadline, if that is earlier");
    }
}
