package damsonslip.tools.lab;

/** The operators' size in two years, and what one scheduler may spend on control there. */
final class Goal {
    static final int WORKERS = 5_500;
    static final int SCHEDULERS_POLLING = 300;
    static final double JOB_STARTS_PER_SECOND = 1_500;
    static final double JOBS_RUNNING = 17_000;

    /** Mean running time that these two leave: 17,000 / 1,500 = 11.3 s. */
    static final double MEAN_JOB_SECONDS = JOBS_RUNNING / JOB_STARTS_PER_SECOND;

    /**
     * Machines that fail or are replaced on an ordinary day: 34 + 650; each tells of an end and of
     * a start.
     */
    static final int WORKERS_REPLACED_PER_DAY = 650;

    static final double LIST_CHANGES_PER_DAY = 2.0 * (34 + WORKERS_REPLACED_PER_DAY);
    static final double SECONDS_PER_DAY = 86_400;
    static final double MAX_CORE_PERCENT = 2;
    static final double MAX_BYTES_PER_SECOND = 4 * 1024;

    /** What has to be in force everywhere is so within this time. */
    static final double MAX_PROPAGATION_SECONDS = 5;

    /**
     * A report older than this tells nothing of the free slots: the module's own memory of reports
     * fades over it ({@code Known.Free.FADE_US}).
     */
    static final double MAX_REPORT_AGE_SECONDS = 10;

    /**
     * The watch's cycle, and its share for each of a few schedulers ({@code DiscoveryWatch}: 0.75
     * of 6 s; 250 ms).
     */
    static final double WATCH_CYCLE_MS = 4_500;

    static final double MAX_WATCH_SLOT_MS = 250;

    private Goal() {}
}
