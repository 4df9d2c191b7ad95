package damsonslip.policy.api;

/** Where load reports come from. */
public enum LoadReporting {
    /** Responses of workers carry them. */
    WITH_RESPONSES,
    /** Only answers to probes carry them. */
    BY_PROBE,
    /** There are none. */
    NONE
}
