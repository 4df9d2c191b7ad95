package damsonslip.policy.api;

/** Where load reports come from. */
public enum Reporting {
    WITH_ANSWERS,
    BY_PROBE,
    NONE
}
