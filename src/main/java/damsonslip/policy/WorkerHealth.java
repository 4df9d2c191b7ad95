package damsonslip.policy;

/**
 * The health of one worker: failures, the pause after them, and signs of life. Written by {@link
 * OutlierDetector}.
 *
 * <p>Times are microseconds of the events' clock. Not safe for use by several threads.
 */
final class WorkerHealth {
    /** Long past, but so that the time since then does not overflow. */
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

    /** Records that the worker has failed at least once. */
    void recordAtLeastOneFailure() {
        consecutiveFailures = Math.max(consecutiveFailures, 1);
    }

    /** Counts a job that failed by itself and returns how many did since one was served. */
    int countFailedJob() {
        return ++failedJobs;
    }

    /** Records a job that was served; failures stand while the worker reports errors. */
    void recordServed() {
        consecutiveFailures = reportsErrors ? consecutiveFailures : 0;
        failedJobs = 0;
    }

    /** Records whether the last load report shows errors, of whichever scheduler. */
    void setReportsErrors(boolean errors) {
        reportsErrors = errors;
    }

    /** Until when nothing is sent there. */
    long pausedUntilUs() {
        return pausedUntilUs;
    }

    /** Whether nothing is sent there at this time. */
    boolean isPaused(long nowUs) {
        return nowUs < pausedUntilUs;
    }

    /** Sets the end of the pause. */
    void pauseUntil(long timeUs) {
        pausedUntilUs = timeUs;
    }

    /** Sets the end of the pause unless a longer one holds. */
    void pauseAtLeastUntil(long timeUs) {
        pausedUntilUs = Math.max(pausedUntilUs, timeUs);
    }

    /** Ends the pause of a worker that has not failed, but was full. */
    void resumeUnlessFailed() {
        pausedUntilUs = consecutiveFailures == 0 ? 0 : pausedUntilUs;
    }

    /** When it last showed that it works. */
    long lastAliveUs() {
        return lastAliveUs;
    }

    /** Records that it has just shown that it works. */
    void recordAlive(long nowUs) {
        lastAliveUs = nowUs;
    }

    /** Forgets failures and pause, as after a restart. */
    void reset() {
        consecutiveFailures = 0;
        pausedUntilUs = 0;
    }
}
