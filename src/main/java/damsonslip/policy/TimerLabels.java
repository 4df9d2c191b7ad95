package damsonslip.policy;

/** The labels of the scheduler's timers. Those of jobs consist of a prefix and the job's id. */
final class TimerLabels {
    /** Measure rates and deal the workers to the pools. */
    static final String DEAL = "deal";

    /** Retry the admission queues. */
    static final String SWEEP = "sweep";

    /** Probe the next workers of the round. */
    static final String PROBE = "probe";

    /** Call discovery for the worker list. */
    static final String LIST = "list";

    /** Prefix: the job's final answer is due. */
    private static final String JOB_DEADLINE = "j:";

    /** Prefix: check whether the job's attempt has started. */
    private static final String ATTEMPT_START = "s:";

    private static final int PREFIX_LENGTH = 2;

    private TimerLabels() {}

    /** Label of the timer for this job's final answer. */
    static String jobDeadline(String job) {
        return JOB_DEADLINE + job;
    }

    /** Label of the timer for checking whether this job has started. */
    static String attemptStart(String job) {
        return ATTEMPT_START + job;
    }

    /** Whether this is a label of {@link #attemptStart}. */
    static boolean isAttemptStart(String label) {
        return label.startsWith(ATTEMPT_START);
    }

    /** The id of the job whose timer has this label. */
    static String jobOf(String label) {
        return label.substring(PREFIX_LENGTH);
    }
}
