package damsonslip.tools.lab;

/** The operators' size in two years, and what one scheduler may spend on control there. */
final class Goal {
    static final int WORKERS = 5_500;
    static final int SCHEDULERS_ASKING = 300;
    static final double STARTS_A_SECOND = 1_500;
    static final double RUNNING = 17_000;

    /** Mean running time that these two leave: 17,000 / 1,500 = 11.3 s. */
    static final double TASK_S = RUNNING / STARTS_A_SECOND;

    /**
     * Machines that fail or are replaced on an ordinary day: 34 + 650; each tells of an end and of
     * a start.
     */
    static final int CHURN_A_DAY = 650;

    static final double CHANGES_A_DAY = 2.0 * (34 + CHURN_A_DAY);
    static final double SECONDS_A_DAY = 86_400;
    static final double CORE_PERCENT = 2;
    static final double BYTES_A_SECOND = 4 * 1024;

    /** What has to be in force everywhere is so within this time. */
    static final double LIST_IN_FORCE_S = 5;

    /**
     * A report older than this tells nothing of the free slots: the module's own memory of reports
     * fades over it ({@code Known.Free.FADE_US}).
     */
    static final double REPORT_AGE_S = 10;

    /**
     * The watch's cycle, and its share for each of a few schedulers ({@code DiscoveryWatch}: 0.75
     * of 6 s; 250 ms).
     */
    static final double WATCH_CYCLE_MS = 4_500;

    static final double WATCH_CALL_MS = 250;

    private Goal() {}
}
