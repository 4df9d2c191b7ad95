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

/** Next states after a failed run and after a restart, by job class and retry limit. */
class RetryPolicyTest {
    static final JobClass IDEMPOTENT =
            new JobClass(1, 2, 1, Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS, 0, -1);
    static final JobClass ONCE =
            new JobClass(1, 2, 1, Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS, 0, -1);
    static final JobClass WITH_KEY =
            new JobClass(
                    1,
                    2,
                    1,
                    Idempotency.IDEMPOTENT_WITH_KEY,
                    IdempotencyScope.ALL_WORKERS,
                    40_000_000,
                    -1);
    static final JobClass WITH_ZONAL_KEY =
            new JobClass(
                    1,
                    2,
                    1,
                    Idempotency.IDEMPOTENT_WITH_KEY,
                    IdempotencyScope.ZONE,
                    40_000_000,
                    -1);
    private static final RunFailure RUN_FAILURE = new RunFailure("E", "m", List.of("a", "b", "c"));
    private final SplittableRandom random = new SplittableRandom(1);

    static JobRecord record(String id, String queue, int retry, long deadlineMs) {
        Options options =
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
        return JobRecord.pushed(id, options, 0, 1_000);
    }

    private static JobRecord reserved(int retry, long deadlineMs) {
        return record("j", "q", retry, deadlineMs).reserved("w", 10_000);
    }

    private NextState fail(JobRecord record, JobClass jobClass) {
        return RetryPolicy.nextState(record, jobClass, RUN_FAILURE, 20_000, random);
    }

    @Test
    void backsOffByTheFourthPowerWithJitter() {
        for (int count : new int[] {0, 1, 2, 5, 24}) {
            long minMs = 1000L * (count * count * count * count + 15);
            for (int i = 0; i < 200; i++) {
                long ms = RetryPolicy.backoffMs(count, random);
                assertTrue(ms >= minMs && ms <= minMs + 29_000L * (count + 1), count + ": " + ms);
            }
        }
        assertTrue(RetryPolicy.backoffMs(1_000_000, random) > 0, "a huge count does not overflow");
    }

    /** If the wall clock was set back between two runs, the time since the first run is unknown. */
    @Test
    void deniesRunWithKeyAfterTheClockWasSetBack() {
        JobRecord record = reserved(5, 0); // first run at 10,000 ms
        assertTrue(RetryPolicy.mayRun(record, WITH_KEY, 10_000));
        assertFalse(RetryPolicy.mayRun(record, WITH_KEY, 9_999));
        assertFalse(RetryPolicy.mayRun(record, WITH_KEY, 10_000 - 3_600_000));
        assertTrue(RetryPolicy.mayRun(record, IDEMPOTENT, 9_999));
    }

    @Test
    void retriesUntilTheRetryLimit() {
        JobRecord record = reserved(2, 0);
        for (int count = 0; count < 2; count++) {
            NextState next = fail(record, IDEMPOTENT);
            assertEquals(State.RETRY, next.state());
            assertEquals(count, next.failure().count());
            assertTrue(next.dueMs() >= 20_000 + 15_000);
            assertEquals(
                    List.of("a", "b"),
                    next.failure().backtrace(),
                    "as many lines as the job asked for");
            record = record.withFailure(next.failure());
        }
        NextState last = fail(record, IDEMPOTENT);
        assertEquals(State.DEAD, last.state());
        assertTrue(last.message().contains("no retries are left"));
    }

    @Test
    void discardsWithoutRetriesAndMovesToTheDeadSetOnMinusOne() {
        assertEquals(State.DISCARDED, fail(reserved(0, 0), IDEMPOTENT).state());
        assertEquals(State.DEAD, fail(reserved(-1, 0), IDEMPOTENT).state());
    }

    @Test
    void movesNonIdempotentJobToTheDeadSetWhateverItsRetryLimit() {
        for (int retry : new int[] {-1, 0, 1, 25}) {
            NextState next = fail(reserved(retry, 0), ONCE);
            assertEquals(State.DEAD, next.state());
            assertTrue(next.message().contains("may have run"), next.message());
        }
        assertFalse(RetryPolicy.mayRun(reserved(25, 0), ONCE, 20_000));
        assertTrue(
                RetryPolicy.mayRun(record("j", "q", 25, 0), ONCE, 20_000),
                "a job that never ran may run");
    }

    @Test
    void allowsRerunWithKeyWithinItsWindowIfAllWorkersRecogniseTheKey() {
        assertTrue(RetryPolicy.mayRun(reserved(1, 0), WITH_KEY, 49_999));
        assertFalse(
                RetryPolicy.mayRun(reserved(1, 0), WITH_KEY, 50_000),
                "40 s after the first run at 10 s");
        assertFalse(
                RetryPolicy.mayRun(reserved(1, 0), WITH_ZONAL_KEY, 10_001),
                "the next run may be in another zone");
        assertEquals(State.DEAD, fail(reserved(5, 0), WITH_ZONAL_KEY).state());
        JobRecord record = reserved(5, 0);
        assertEquals(
                State.DEAD,
                RetryPolicy.nextState(record, WITH_KEY, RUN_FAILURE, 45_000, random).state());
    }

    @Test
    void recoversByWhatMayHaveRun() {
        JobRecord job = record("j", "q", 25, 0);
        assertEquals(RecoveryAction.RESTORE, RetryPolicy.recoveryAction(job, ONCE, 5_000));
        assertEquals(
                RecoveryAction.AWAIT_REPORT,
                RetryPolicy.recoveryAction(reserved(25, 0), IDEMPOTENT, 5_000),
                "its worker may still be running it");
        assertEquals(
                RecoveryAction.AWAIT_REPORT,
                RetryPolicy.recoveryAction(reserved(25, 90_000), ONCE, 5_000));
        assertEquals(
                RecoveryAction.DISPATCH,
                RetryPolicy.recoveryAction(reserved(25, 90_000), IDEMPOTENT, 5_000),
                "a client waits for it");
        JobRecord awaited = record("j", "q", 25, 90_000);
        assertEquals(RecoveryAction.DISPATCH, RetryPolicy.recoveryAction(awaited, ONCE, 5_000));
        assertEquals(RecoveryAction.EXPIRE, RetryPolicy.recoveryAction(awaited, ONCE, 90_000));
        JobRecord returned = reserved(25, 90_000).returned(true, 11_000);
        assertEquals(
                RecoveryAction.AWAIT_REPORT,
                RetryPolicy.recoveryAction(returned, ONCE, 20_000),
                "queued again, but it may have run before");
        assertEquals(
                RecoveryAction.DISPATCH,
                RetryPolicy.recoveryAction(
                        reserved(25, 90_000).returned(false, 11_000), ONCE, 20_000));
        for (State state : List.of(State.DEAD, State.RETRY, State.SCHEDULED)) {
            assertEquals(
                    RecoveryAction.RESTORE,
                    RetryPolicy.recoveryAction(
                            reserved(1, 0).withState(state, 9, "", 9), ONCE, 5_000));
        }
        assertEquals(70_000, RetryPolicy.reportDeadlineMs(reserved(25, 0)), "its reservation ends");
        assertEquals(
                15_000,
                RetryPolicy.reportDeadlineMs(reserved(25, 15_000)),
                "its deadline is earlier");
    }
}
