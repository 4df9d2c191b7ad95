package damsonslip.membership;

/**
 * Distinguishes a lasting outage of discovery from overload. A single failed poll does not show
 * which it is: discovery fails polls in the same way when it is down and when it receives too many
 * of them, for example from schedulers that restart after an outage. An outage counts as lasting
 * only once polls have failed for longer than a short outage and the recovery of all schedulers
 * after it take.
 *
 * <p>All times are microseconds of the clock that the caller passes in. Not thread-safe.
 */
final class OutageDetector {
    /**
     * An outage of 8 s (FLEET), 4 s until killed schedulers have restarted, and the poll timeout of
     * 2 s.
     */
    private static final long SHORT_OUTAGE_US = 14_000_000;

    /** Time that a restarting fleet needs to reconnect to discovery, per scheduler. */
    private static final long FLEET_RECOVERY_PER_SCHEDULER_US = 900_000;

    /**
     * The largest number of schedulers that discovery can serve within one polling cycle and the
     * timeout of a poll. With more of them, polls time out after an outage of any length, so a
     * lasting outage cannot be detected.
     */
    private static final int MAX_DETECTABLE_FLEET = 14;

    /**
     * When the watch was lost or the first poll failed; {@code MAX_VALUE} while discovery responds.
     */
    private long failingSinceUs = Long.MAX_VALUE;

    /** Records that a poll, or an open watch, failed. */
    void failed(long nowUs) {
        failingSinceUs = Math.min(failingSinceUs, nowUs);
    }

    /** Records a response from discovery. */
    void reset() {
        failingSinceUs = Long.MAX_VALUE;
    }

    /**
     * Whether the failure of a poll that was sent at the given time shows a lasting outage.
     *
     * @param schedulers how many schedulers share discovery
     */
    boolean isLastingOutage(long pollSentUs, int schedulers) {
        long longestShortOutageUs = SHORT_OUTAGE_US + FLEET_RECOVERY_PER_SCHEDULER_US * schedulers;
        return schedulers <= MAX_DETECTABLE_FLEET
                && pollSentUs - failingSinceUs >= longestShortOutageUs;
    }
}
