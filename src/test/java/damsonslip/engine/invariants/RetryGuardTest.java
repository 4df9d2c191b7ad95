package damsonslip.engine.invariants;

import static damsonslip.engine.invariants.GuardAssertions.assertViolates;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.invariants.RetryGuard.EarlierAttempt;
import damsonslip.engine.invariants.RetryGuard.WorkerLocation;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RetryGuardTest {
    private static final long MS = 1_000;
    private static final long NOW = 50_000 * MS;
    private static final WorkerLocation FIRST = new WorkerLocation("a", 0, 0);
    private static final WorkerLocation SAME_ZONE = new WorkerLocation("b", 0, 1);
    private static final WorkerLocation OTHER_ZONE = new WorkerLocation("c", 1, 2);

    private static JobClass jobClass(Idempotency idempotency, IdempotencyScope scope) {
        return new JobClass(0, 0, 1, idempotency, scope, 1_000 * MS, -1);
    }

    private static EarlierAttempt open(long agoUs) {
        return new EarlierAttempt(FIRST, NOW - agoUs, true, false);
    }

    private static EarlierAttempt mayHaveRun(long agoUs) {
        return new EarlierAttempt(FIRST, NOW - agoUs, false, false);
    }

    private static EarlierAttempt neverRan(long agoUs) {
        return new EarlierAttempt(FIRST, NOW - agoUs, false, true);
    }

    private static Optional<Violation> retry(
            JobClass jobClass, WorkerLocation location, EarlierAttempt earlier) {
        return RetryGuard.check("q", jobClass, location, List.of(earlier), NOW);
    }

    private static Optional<Violation> reject(JobClass jobClass) {
        return RetryGuard.checkRejection("q", jobClass, List.of(mayHaveRun(MS)));
    }

    @Test
    void permitsOneOpenAttemptOnly() {
        assertViolates(
                Invariant.NO_SECOND_COPY,
                retry(
                        jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS),
                        SAME_ZONE,
                        open(MS)));
    }

    @Test
    void permitsRetryOfNonIdempotentRequestOnlyIfItNeverRan() {
        JobClass nonIdempotent = jobClass(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS);
        assertTrue(retry(nonIdempotent, SAME_ZONE, neverRan(MS)).isEmpty());
        assertViolates(
                Invariant.NO_REPEAT_OF_WHAT_MAY_HAVE_RUN,
                retry(nonIdempotent, SAME_ZONE, mayHaveRun(MS)));
        JobClass idempotent = jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS);
        assertTrue(retry(idempotent, SAME_ZONE, mayHaveRun(MS)).isEmpty());
    }

    @Test
    void permitsKeyedRetryInItsScopeAndWindowOnly() {
        JobClass byZone = jobClass(Idempotency.IDEMPOTENT_WITH_KEY, IdempotencyScope.ZONE);
        assertTrue(retry(byZone, SAME_ZONE, mayHaveRun(1_000 * MS)).isEmpty());
        Invariant invariant = Invariant.NO_KEYED_REPEAT_OUTSIDE_GROUP_OR_WINDOW;
        assertViolates(invariant, retry(byZone, OTHER_ZONE, mayHaveRun(MS)));
        assertViolates(invariant, retry(byZone, SAME_ZONE, mayHaveRun(1_051 * MS)));
        JobClass byCell = jobClass(Idempotency.IDEMPOTENT_WITH_KEY, IdempotencyScope.CELL);
        assertViolates(invariant, retry(byCell, SAME_ZONE, mayHaveRun(MS)));
    }

    @Test
    void permitsRejectionOnlyIfARetryIsHarmless() {
        assertViolates(
                Invariant.NO_REFUSAL_AFTER_A_RUN,
                reject(jobClass(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS)));
        assertViolates(
                Invariant.NO_REFUSAL_AFTER_A_RUN,
                reject(jobClass(Idempotency.IDEMPOTENT_WITH_KEY, IdempotencyScope.ZONE)));
        assertTrue(
                reject(jobClass(Idempotency.IDEMPOTENT_WITH_KEY, IdempotencyScope.ALL_WORKERS))
                        .isEmpty());
        assertTrue(
                reject(jobClass(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS)).isEmpty());
    }
}
