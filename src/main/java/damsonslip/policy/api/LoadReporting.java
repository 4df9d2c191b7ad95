package damsonslip.policy.api;

/** How load reports are obtained. */
public enum LoadReporting {
    /** Workers add them to their responses. */
    WITH_RESPONSES,
    /** Only answers to probes contain them. */
    BY_PROBE,
    /** There are none. */
    NONE
}
