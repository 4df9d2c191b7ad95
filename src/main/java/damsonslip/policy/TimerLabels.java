package damsonslip.policy;

/** The labels of the scheduler's timers; the two for jobs are prefixes of a job's id. */
final class TimerLabels {
    /** Measure rates and deal the pools. */
    static final String DEAL = "deal";

    /** Try the admission queues again. */
    static final String SWEEP = "sweep";

    /** Probe the next workers of the round. */
    static final String PROBE = "probe";

    /** Call discovery. */
    static final String LIST = "list";

    /** The job's final answer is due. */
    private static final String JOB_DEADLINE = "j:";

    /** The job's attempt ought to have started. */
    private static final String ATTEMPT_START = "s:";

    private static final int PREFIX_LENGTH = 2;

    private TimerLabels() {}

    /** Label of the timer at which this job gets its final answer. */
    static String jobDeadline(String job) {
        return JOB_DEADLINE + job;
    }

    /** Label of the timer at which it is checked whether this job has started. */
    static String attemptStart(String job) {
        return ATTEMPT_START + job;
    }

    /** Whether this is a label of {@link #attemptStart}. */
    static boolean isAttemptStart(String label) {
        return label.startsWith(ATTEMPT_START);
    }

    /** The job whose timer this is. */
    static String jobOf(String label) {
        return label.substring(PREFIX_LENGTH);
    }
}
