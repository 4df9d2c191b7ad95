package damsonslip.tools.lab;

/**
 * Target fleet size (the operators' forecast for two years ahead) and the budget for the control
 * work of one scheduler at that size.
 */
final class Goal {
    static final int WORKERS = 5_500;
    static final int SCHEDULERS_POLLING = 300;
    static final double JOB_STARTS_PER_SECOND = 1_500;
    static final double JOBS_RUNNING = 17_000;

    /**
     * Mean running time of a job that follows from the two values above: 17,000 / 1,500 = 11.3 s.
     */
    static final double MEAN_JOB_SECONDS = JOBS_RUNNING / JOB_STARTS_PER_SECOND;

    /**
     * Workers replaced on an ordinary day. A further 34 machines fail each day; each of the 34 +
     * 650 causes two list changes, one for the end and one for the start.
     */
    static final int WORKERS_REPLACED_PER_DAY = 650;

    static final double LIST_CHANGES_PER_DAY = 2.0 * (34 + WORKERS_REPLACED_PER_DAY);
    static final double SECONDS_PER_DAY = 86_400;
    static final double MAX_CORE_PERCENT = 2;
    static final double MAX_BYTES_PER_SECOND = 4 * 1024;

    /** Time within which a list change has to be applied by all schedulers. */
    static final double MAX_PROPAGATION_SECONDS = 5;

    /**
     * A load report older than this says nothing about the free slots: the decision module's
     * estimate decays over this time ({@code FreeShareEstimate.DECAY_US}).
     */
    static final double MAX_REPORT_AGE_SECONDS = 10;

    /**
     * Cycle over which {@code PollSchedule} spreads the calls of all schedulers (0.75 of 6 s), and
     * the longest time slot that one scheduler gets when there are few (250 ms).
     */
    static final double WATCH_CYCLE_MS = 4_500;

    static final double MAX_WATCH_SLOT_MS = 250;

    private Goal() {}
}
