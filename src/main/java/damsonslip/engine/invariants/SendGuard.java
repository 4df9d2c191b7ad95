package damsonslip.engine.invariants;

import damsonslip.policy.api.SlowStartLoad;
import java.util.Optional;

/** Checks an attempt in the moment in which its first byte is about to leave. */
public final class SendGuard {
    /** A worker may be told so much more than its client has left (STANDING). */
    private static final long TOLD_SLACK_US = 150_000;

    /** Below this number of requests chance counts for more (STANDING). */
    private static final double FEW = 30;

    /**
     * What is known of the attempt.
     *
     * @param job the request's id
     * @param worker where it goes
     * @param nowUs the time
     * @param drainingSinceUs when it was told that the worker drains or has gone; {@link
     *     Long#MAX_VALUE} if it runs
     * @param drainGraceUs how long after that it may still be sent to
     * @param clientWaits whether the client has neither left nor been answered
     * @param clientEndsUs when the client gives up, at the earliest
     * @param toldUs the time that the worker is told is left
     * @param cold the worker's load while it is cold; null if it is warm
     */
    public record Facts(
            String job,
            String worker,
            long nowUs,
            long drainingSinceUs,
            long drainGraceUs,
            boolean clientWaits,
            long clientEndsUs,
            long toldUs,
            SlowStartLoad cold) {}

    private SendGuard() {}

    /** Gives the first rule that this attempt would break. */
    public static Optional<Violation> check(Facts facts) {
        if (!facts.clientWaits()) {
            return violation(
                    Invariant.NO_SEND_AFTER_DEPARTURE,
                    facts,
                    "the client has left or was answered");
        }
        long drainedUs =
                facts.drainingSinceUs() == Long.MAX_VALUE
                        ? 0
                        : facts.nowUs() - facts.drainingSinceUs();
        if (drainedUs > facts.drainGraceUs()) {
            return violation(
                    Invariant.NO_SEND_PAST_DRAIN_GRACE,
                    facts,
                    "told " + drainedUs + " us ago, grace " + facts.drainGraceUs());
        }
        long leftUs = facts.clientEndsUs() - facts.nowUs();
        if (facts.toldUs() > Math.max(0, leftUs) + TOLD_SLACK_US) {
            return violation(
                    Invariant.NO_MORE_TIME_TOLD_THAN_LEFT,
                    facts,
                    "told " + facts.toldUs() + " us of " + leftUs);
        }
        if (facts.cold() != null && isTooMuch(facts.cold())) {
            return violation(Invariant.NO_COLD_WORKER_OVERLOADED, facts, facts.cold().toString());
        }
        return Optional.empty();
    }

    private static boolean isTooMuch(SlowStartLoad cold) {
        double n = cold.capacity();
        double chance = n < FEW ? 3 * Math.sqrt(n) + 3 : 2 * Math.sqrt(n) + 2;
        return cold.requests() > n + chance;
    }

    private static Optional<Violation> violation(Invariant invariant, Facts facts, String detail) {
        return Optional.of(new Violation(invariant, facts.job(), facts.worker(), detail));
    }
}
