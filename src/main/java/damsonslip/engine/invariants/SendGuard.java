package damsonslip.engine.invariants;

import damsonslip.policy.api.SlowStartLoad;
import java.util.Optional;

/** Checks an attempt at the moment at which its first byte is about to be written. */
public final class SendGuard {
    /** A worker may be given this much more than its client's remaining time (STANDING). */
    private static final long TIME_LIMIT_SLACK_US = 150_000;

    /** Below this number of requests the tolerance is three standard deviations, not two. */
    private static final double SMALL_CAPACITY = 30;

    /**
     * What is known about the attempt.
     *
     * @param job the request's id
     * @param worker where it is sent
     * @param nowUs the current time
     * @param drainingSinceUs when the worker was reported as draining or removed; {@link
     *     Long#MAX_VALUE} if it runs
     * @param drainGraceUs how long after that it may still be sent to
     * @param clientWaits whether the client has neither disconnected nor been answered
     * @param clientDeadlineUs when the client stops waiting, at the earliest
     * @param timeLimitUs the time limit that the worker is given
     * @param slowStartLoad the worker's load while it is in slow start; null if it is warm
     */
    public record Facts(
            String job,
            String worker,
            long nowUs,
            long drainingSinceUs,
            long drainGraceUs,
            boolean clientWaits,
            long clientDeadlineUs,
            long timeLimitUs,
            SlowStartLoad slowStartLoad) {
        private long drainingForUs() {
            return drainingSinceUs == Long.MAX_VALUE ? 0 : nowUs - drainingSinceUs;
        }

        private long remainingUs() {
            return clientDeadlineUs - nowUs;
        }
    }

    private SendGuard() {}

    /** Returns the first invariant that this attempt would violate. */
    public static Optional<Violation> check(Facts facts) {
        if (!facts.clientWaits()) {
            return violation(
                    Invariant.NO_SEND_AFTER_DEPARTURE,
                    facts,
                    "the client has disconnected or was answered");
        }
        if (facts.drainingForUs() > facts.drainGraceUs()) {
            return violation(
                    Invariant.NO_SEND_PAST_DRAIN_GRACE,
                    facts,
                    "draining for " + facts.drainingForUs() + " us, grace " + facts.drainGraceUs());
        }
        if (facts.timeLimitUs() > Math.max(0, facts.remainingUs()) + TIME_LIMIT_SLACK_US) {
            return violation(
                    Invariant.NO_MORE_TIME_TOLD_THAN_LEFT,
                    facts,
                    "limit " + facts.timeLimitUs() + " us, remaining " + facts.remainingUs());
        }
        if (facts.slowStartLoad() != null && isOverloaded(facts.slowStartLoad())) {
            return violation(
                    Invariant.NO_COLD_WORKER_OVERLOADED, facts, facts.slowStartLoad().toString());
        }
        return Optional.empty();
    }

    /** Arrivals are random, so some more requests than the capacity are tolerated (STANDING). */
    private static boolean isOverloaded(SlowStartLoad load) {
        double capacity = load.capacity();
        double deviation = Math.sqrt(capacity);
        double tolerance = capacity < SMALL_CAPACITY ? 3 * deviation + 3 : 2 * deviation + 2;
        return load.requests() > capacity + tolerance;
    }

    private static Optional<Violation> violation(Invariant invariant, Facts facts, String detail) {
        return Optional.of(new Violation(invariant, facts.job(), facts.worker(), detail));
    }
}
