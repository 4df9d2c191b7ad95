package damsonslip.engine.invariants;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.engine.invariants.InvariantMonitor.Mode;
import damsonslip.engine.invariants.RetryGuard.EarlierAttempt;
import damsonslip.engine.invariants.RetryGuard.WorkerLocation;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.IdempotencyScope;
import damsonslip.policy.api.JobClass;
import damsonslip.policy.api.SlowStartLoad;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** The guards by the words of the rules. */
class GuardsTest {
    private static final long MS = 1_000;
    private static final long NOW = 50_000 * MS;
    private static final WorkerLocation HERE = new WorkerLocation("a", 0, 0);
    private static final WorkerLocation SAME_ZONE = new WorkerLocation("b", 0, 1);
    private static final WorkerLocation OTHER_ZONE = new WorkerLocation("c", 1, 2);

    private static Optional<Violation> send(
            long drainingSinceUs, boolean waits, long leftUs, long toldUs, SlowStartLoad cold) {
        return SendGuard.check(
                new SendGuard.Facts(
                        "q",
                        "a",
                        NOW,
                        drainingSinceUs,
                        500 * MS,
                        waits,
                        NOW + leftUs,
                        toldUs,
                        cold));
    }

    private static void assertBreaks(Invariant expected, Optional<Violation> found) {
        assertEquals(Optional.of(expected), found.map(Violation::invariant));
    }

    @Test
    void sendsWithinTheGraceAndNotPastIt() {
        assertTrue(send(NOW - 500 * MS, true, 900 * MS, 900 * MS, null).isEmpty());
        assertBreaks(
                Invariant.NO_SEND_PAST_DRAIN_GRACE,
                send(NOW - 501 * MS, true, 900 * MS, 900 * MS, null));
    }

    @Test
    void sendsOnlyForAClientThatWaits() {
        assertBreaks(
                Invariant.NO_SEND_AFTER_DEPARTURE,
                send(Long.MAX_VALUE, false, 900 * MS, 900 * MS, null));
    }

    @Test
    void tellsWhatIsLeftAndItsSlack() {
        assertTrue(send(Long.MAX_VALUE, true, 900 * MS, 1_050 * MS, null).isEmpty());
        assertBreaks(
                Invariant.NO_MORE_TIME_TOLD_THAN_LEFT,
                send(Long.MAX_VALUE, true, 900 * MS, 1_051 * MS, null));
    }

    @Test
    void aColdWorkerBearsItsBudgetAndWhatChanceAdds() {
        assertTrue(send(Long.MAX_VALUE, true, 900 * MS, 0, new SlowStartLoad(122, 100)).isEmpty());
        assertBreaks(
                Invariant.NO_COLD_WORKER_OVERLOADED,
                send(Long.MAX_VALUE, true, 900 * MS, 0, new SlowStartLoad(123, 100)));
    }

    private static JobClass of(Idempotency effect, IdempotencyScope group) {
        return new JobClass(0, 0, 1, effect, group, 1_000 * MS, -1);
    }

    private static EarlierAttempt earlier(long agoUs, boolean isOut, boolean provenNotRun) {
        return new EarlierAttempt(HERE, NOW - agoUs, isOut, provenNotRun);
    }

    private static Optional<Violation> repeat(
            JobClass of, WorkerLocation place, EarlierAttempt... before) {
        return RetryGuard.check("q", of, place, List.of(before), NOW);
    }

    @Test
    void neverHasTwoOut() {
        assertBreaks(
                Invariant.NO_SECOND_COPY,
                repeat(
                        of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS),
                        SAME_ZONE,
                        earlier(MS, true, false)));
    }

    @Test
    void repeatsWhatMustRunOnceOnlyWhereItNeverRan() {
        JobClass once = of(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS);
        assertTrue(repeat(once, SAME_ZONE, earlier(MS, false, true)).isEmpty());
        assertBreaks(
                Invariant.NO_REPEAT_OF_WHAT_MAY_HAVE_RUN,
                repeat(once, SAME_ZONE, earlier(MS, false, false)));
        assertTrue(
                repeat(
                                of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS),
                                SAME_ZONE,
                                earlier(MS, false, false))
                        .isEmpty());
    }

    @Test
    void repeatsKeyedOnesInTheGroupAndInTheWindow() {
        JobClass keyed = of(Idempotency.IDEMPOTENT_WITH_KEY, IdempotencyScope.ZONE);
        assertTrue(repeat(keyed, SAME_ZONE, earlier(1_000 * MS, false, false)).isEmpty());
        Invariant broken = Invariant.NO_KEYED_REPEAT_OUTSIDE_GROUP_OR_WINDOW;
        assertBreaks(broken, repeat(keyed, OTHER_ZONE, earlier(MS, false, false)));
        assertBreaks(broken, repeat(keyed, SAME_ZONE, earlier(1_051 * MS, false, false)));
        assertBreaks(
                broken,
                repeat(
                        of(Idempotency.IDEMPOTENT_WITH_KEY, IdempotencyScope.CELL),
                        SAME_ZONE,
                        earlier(MS, false, false)));
    }

    @Test
    void refusesOnlyWhatMayBeTriedAgain() {
        List<EarlierAttempt> run = List.of(earlier(MS, false, false));
        assertBreaks(
                Invariant.NO_REFUSAL_AFTER_A_RUN,
                RetryGuard.checkRejection(
                        "q", of(Idempotency.NOT_IDEMPOTENT, IdempotencyScope.ALL_WORKERS), run));
        assertBreaks(
                Invariant.NO_REFUSAL_AFTER_A_RUN,
                RetryGuard.checkRejection(
                        "q", of(Idempotency.IDEMPOTENT_WITH_KEY, IdempotencyScope.ZONE), run));
        assertTrue(
                RetryGuard.checkRejection(
                                "q",
                                of(Idempotency.IDEMPOTENT_WITH_KEY, IdempotencyScope.ALL_WORKERS),
                                run)
                        .isEmpty());
        assertTrue(
                RetryGuard.checkRejection(
                                "q", of(Idempotency.IDEMPOTENT, IdempotencyScope.ALL_WORKERS), run)
                        .isEmpty());
    }

    @Test
    void closesNoConnectionThatIsOwedAnAnswer() {
        assertBreaks(
                Invariant.NO_CLOSE_WITHOUT_ANSWER,
                CloseGuard.check(new CloseGuard.Facts("q", true, false, "idle")));
        assertTrue(CloseGuard.check(new CloseGuard.Facts("q", true, true, "left")).isEmpty());
        assertTrue(CloseGuard.checkAnswer("q", NOW, NOW - 500 * MS).isEmpty());
        assertBreaks(
                Invariant.NO_ANSWER_TOO_LATE, CloseGuard.checkAnswer("q", NOW, NOW - 501 * MS));
    }

    @Test
    void endsNoWorkerConnectionOverAnOpenAttempt() {
        assertBreaks(
                Invariant.NO_CLOSE_OVER_AN_OPEN_ATTEMPT,
                CloseGuard.checkWorkerConnection("q", "w", true));
        assertTrue(CloseGuard.checkWorkerConnection("q", "w", false).isEmpty());
    }

    @Test
    void servesOnceTheListIsThere() {
        assertTrue(StartGuard.check(new StartGuard.Facts(true, true)).isEmpty());
        assertBreaks(
                Invariant.NO_SERVICE_BEFORE_THE_LIST,
                StartGuard.check(new StartGuard.Facts(false, true)));
    }

    @Test
    void countsAndReportsAndRefusesInTestsAlone() {
        List<Violation> reported = new ArrayList<>();
        Optional<Violation> found =
                CloseGuard.check(new CloseGuard.Facts("q", true, false, "idle"));
        InvariantMonitor production = new InvariantMonitor(Mode.REPORT, reported::add);
        assertTrue(production.permits(found));
        assertTrue(production.permits(Optional.empty()));
        assertFalse(new InvariantMonitor(Mode.REFUSE, reported::add).permits(found));
        assertEquals(1, production.count(Invariant.NO_CLOSE_WITHOUT_ANSWER));
        assertEquals(1, production.total());
        assertEquals(2, reported.size());
    }
}
