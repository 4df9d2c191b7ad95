package damsonslip.engine.invariants;

import static damsonslip.engine.invariants.GuardAssertions.assertViolates;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonslip.policy.api.SlowStartLoad;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SendGuardTest {
    private static final long MS = 1_000;
    private static final long NOW = 50_000 * MS;
    private static final long DRAIN_GRACE_US = 500 * MS;

    private static Optional<Violation> check(
            long drainingSinceUs,
            boolean clientWaits,
            long remainingUs,
            long timeLimitUs,
            SlowStartLoad slowStartLoad) {
        return SendGuard.check(
                new SendGuard.Facts(
                        "q",
                        "a",
                        NOW,
                        drainingSinceUs,
                        DRAIN_GRACE_US,
                        clientWaits,
                        NOW + remainingUs,
                        timeLimitUs,
                        slowStartLoad));
    }

    @Test
    void permitsSendsWithinTheDrainGraceOnly() {
        assertTrue(check(NOW - 500 * MS, true, 900 * MS, 900 * MS, null).isEmpty());
        assertViolates(
                Invariant.NO_SEND_PAST_DRAIN_GRACE,
                check(NOW - 501 * MS, true, 900 * MS, 900 * MS, null));
    }

    @Test
    void permitsSendsForWaitingClientsOnly() {
        assertViolates(
                Invariant.NO_SEND_AFTER_DEPARTURE,
                check(Long.MAX_VALUE, false, 900 * MS, 900 * MS, null));
    }

    @Test
    void permitsTimeLimitsUpToTheRemainingTimePlusSlack() {
        assertTrue(check(Long.MAX_VALUE, true, 900 * MS, 1_050 * MS, null).isEmpty());
        assertViolates(
                Invariant.NO_MORE_TIME_TOLD_THAN_LEFT,
                check(Long.MAX_VALUE, true, 900 * MS, 1_051 * MS, null));
    }

    @Test
    void permitsSlowStartLoadUpToTheCapacityPlusTolerance() {
        assertTrue(check(Long.MAX_VALUE, true, 900 * MS, 0, new SlowStartLoad(122, 100)).isEmpty());
        assertViolates(
                Invariant.NO_COLD_WORKER_OVERLOADED,
                check(Long.MAX_VALUE, true, 900 * MS, 0, new SlowStartLoad(123, 100)));
    }
}
