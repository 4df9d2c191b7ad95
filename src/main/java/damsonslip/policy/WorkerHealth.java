package damsonslip.policy;

/**
 * The health of one worker: its recent failures, the pause after them, and when it was last known
 * to be alive. Evaluated by {@link OutlierDetector}.
 *
 * <p>Times are microseconds of the events' clock. Not safe for use by several threads.
 */
final class WorkerHealth {
    /** Long ago, but not so long that the time since then overflows. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private int consecutiveFailures;
    private int failedJobs;
    private boolean reportsErrors;
    private long pausedUntilUs;
    private long lastAliveUs = NEVER;

    /** Failures in a row that count against the worker. */
    int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Counts one more failure and returns how many there were before. */
    int countFailure() {
        return consecutiveFailures++;
    }

    /** Makes the number of failures in a row at least 1. */
    void recordAtLeastOneFailure() {
        consecutiveFailures = Math.max(consecutiveFailures, 1);
    }

    /**
     * Counts a failed job that may have been the job's own fault, and returns how many there were
     * since a job was last served.
     */
    int countFailedJob() {
        return ++failedJobs;
    }

    /**
     * Records that a job was served. Resets the failures in a row unless the worker reports errors.
     */
    void recordServed() {
        consecutiveFailures = reportsErrors ? consecutiveFailures : 0;
        failedJobs = 0;
    }

    /**
     * Records whether the last load report shows that the worker is failing jobs, whichever
     * scheduler sent them.
     */
    void setReportsErrors(boolean errors) {
        reportsErrors = errors;
    }

    /** Until when no job is sent to the worker. */
    long pausedUntilUs() {
        return pausedUntilUs;
    }

    /** Whether the worker is paused at this time. */
    boolean isPaused(long nowUs) {
        return nowUs < pausedUntilUs;
    }

    /** Sets the end of the pause. */
    void pauseUntil(long timeUs) {
        pausedUntilUs = timeUs;
    }

    /** Extends the pause until this time, if it ends earlier. */
    void pauseAtLeastUntil(long timeUs) {
        pausedUntilUs = Math.max(pausedUntilUs, timeUs);
    }

    /** Ends the pause of a worker that has not failed but was full. */
    void resumeUnlessFailed() {
        pausedUntilUs = consecutiveFailures == 0 ? 0 : pausedUntilUs;
    }

    /** When the worker last showed that it is alive. */
    long lastAliveUs() {
        return lastAliveUs;
    }

    /** Records that the worker has just shown that it is alive. */
    void recordAlive(long nowUs) {
        lastAliveUs = nowUs;
    }

    /** Forgets failures and pause, as after a restart. */
    void reset() {
        consecutiveFailures = 0;
        pausedUntilUs = 0;
    }
}
