package damsonslip.engine.invariants;

import damsonslip.policy.api.SlowStartLoad;
import java.util.Optional;

/** Checks an attempt when its first byte is about to be written to the worker. */
public final class SendGuard {
    /** A worker's time limit may exceed its client's remaining time by this much (STANDING). */
    private static final long TIME_LIMIT_SLACK_US = 150_000;

    /** Below this capacity the tolerance is three standard deviations instead of two. */
    private static final double SMALL_CAPACITY = 30;

    /**
     * What is known about the attempt.
     *
     * @param job the request's id
     * @param worker the id of the worker that it goes to
     * @param nowUs the current time
     * @param drainingSinceUs when the worker was reported as draining or removed; {@link
     *     Long#MAX_VALUE} if it is running
     * @param drainGraceUs how long after that requests may still be sent to it
     * @param clientWaits whether the client has neither disconnected nor been answered
     * @param clientDeadlineUs the earliest time at which the client may stop waiting
     * @param timeLimitUs the time limit that the worker is given
     * @param slowStartLoad the worker's load in slow start; null if it is not in slow start
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

    /** Arrivals are random, so a limited excess over the capacity is tolerated (STANDING). */
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
