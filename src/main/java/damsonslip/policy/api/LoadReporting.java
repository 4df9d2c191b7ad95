package damsonslip.policy.api;

/** Where load reports come from. */
public enum LoadReporting {
    WITH_RESPONSES,
    BY_PROBE,
    NONE
}
