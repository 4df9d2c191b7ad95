package damsonslip.policy;

/** One attempt to run a job at a worker. Times are microseconds of the events' clock. */
final class JobAttempt {
    private static final long NOT_STARTED = 0;

    private final Job job;
    private final Worker worker;
    private final long sentUs;
    private long startTimeUs = NOT_STARTED;
    private boolean open = true;

    /** Creates an attempt that is sent at this time. */
    JobAttempt(Job job, Worker worker, long sentUs) {
        this.job = job;
        this.worker = worker;
        this.sentUs = sentUs;
    }

    Job job() {
        return job;
    }

    Worker worker() {
        return worker;
    }

    long sentUs() {
        return sentUs;
    }

    /** Whether the worker has reported that the job started. */
    boolean isStarted() {
        return startTimeUs != NOT_STARTED;
    }

    void recordStart(long nowUs) {
        startTimeUs = nowUs;
    }

    /** When it started or, if that is not known, when it was sent. */
    long runningSinceUs() {
        return isStarted() ? startTimeUs : sentUs;
    }

    /** Whether it was sent before this time and has not been reported as started. */
    boolean isWaitingSince(long timeUs) {
        return !isStarted() && sentUs < timeUs;
    }

    /** Whether it has not ended. */
    boolean isOpen() {
        return open;
    }

    void close() {
        open = false;
    }
}
