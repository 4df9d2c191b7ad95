package damsonslip.membership;

/**
 * Tells a lasting outage of discovery from overload. A failed poll alone does not show which it is:
 * discovery fails polls alike when it is down and when it has too many of them, such as those of
 * schedulers that restart after an outage. Only polls that have failed for longer than a short
 * outage and the recovery of the fleet after it show an outage that still lasts.
 *
 * <p>All times are microseconds of the clock that the caller passes in. Not thread-safe.
 */
final class OutageDetector {
    /**
     * 8 s of an outage (FLEET), 4 s until schedulers that were killed have started again, and the
     * timeout of 2 s by which a poll fails.
     */
    private static final long SHORT_OUTAGE_US = 14_000_000;

    /** The time in which a fleet that starts again reaches discovery, for each scheduler. */
    private static final long FLEET_RECOVERY_PER_SCHEDULER_US = 900_000;

    /**
     * The largest fleet that discovery serves within a cycle and the timeout of a poll. In larger
     * ones polls fail for lack of time after an outage of any length.
     */
    private static final int MAX_DETECTABLE_FLEET = 14;

    /**
     * When the watch was lost or the first poll failed; {@code MAX_VALUE} while discovery answers.
     */
    private long failingSinceUs = Long.MAX_VALUE;

    /** Records that a poll, or an open watch, failed. */
    void failed(long nowUs) {
        failingSinceUs = Math.min(failingSinceUs, nowUs);
    }

    /** Records an answer from discovery. */
    void reset() {
        failingSinceUs = Long.MAX_VALUE;
    }

    /**
     * Whether the failure of a poll that was sent then shows an outage that lasts.
     *
     * @param schedulers how many schedulers share discovery
     */
    boolean isLastingOutage(long pollSentUs, int schedulers) {
        long longestShortOutageUs = SHORT_OUTAGE_US + FLEET_RECOVERY_PER_SCHEDULER_US * schedulers;
        return schedulers <= MAX_DETECTABLE_FLEET
                && pollSentUs - failingSinceUs >= longestShortOutageUs;
    }
}
