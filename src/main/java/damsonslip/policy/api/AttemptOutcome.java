package damsonslip.policy.api;

/** How an attempt ended. */
public enum AttemptOutcome {
    SERVED,
    ERROR,
    FULL,
    TIMED_OUT,
    NOT_CONNECTED,
    RESET,
    CANCELLED,
    NEVER_SENT;

    /** Whether this outcome proves that the job did not run. */
    public boolean provesNotRun() {
        return this == FULL || this == NOT_CONNECTED || this == NEVER_SENT;
    }
}
