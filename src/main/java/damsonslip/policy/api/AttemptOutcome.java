package damsonslip.policy.api;

/** Outcome of an attempt. The trace log contains the names of the constants. */
public enum AttemptOutcome {
    /** The worker ran the job. */
    SERVED,
    /** The worker answered with an error. */
    ERROR,
    /** The worker rejected the job because it had no capacity. */
    FULL,
    /** No answer came in time. */
    TIMED_OUT,
    /** No connection to the worker could be opened. */
    NOT_CONNECTED,
    /** The connection broke before the answer was complete. */
    RESET,
    /** The policy cancelled it. */
    CANCELLED,
    /** It ended before any byte was sent. */
    NEVER_SENT;

    /** Whether this outcome proves that the job did not run. */
    public boolean provesNotRun() {
        return this == FULL || this == NOT_CONNECTED || this == NEVER_SENT;
    }
}
