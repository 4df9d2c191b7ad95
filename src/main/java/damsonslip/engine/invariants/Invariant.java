package damsonslip.engine.invariants;

/**
 * A rule that no action of the program may violate, with the operators' page that it follows.
 * Operators see the names in lower case at the console and in the log, so they stay as they are.
 */
public enum Invariant {
    /** Nothing new is sent to a draining worker after its grace time (WIRE, "Drain with care"). */
    NO_SEND_PAST_DRAIN_GRACE,
    /** No attempt starts after its client has disconnected (STANDING). */
    NO_SEND_AFTER_DEPARTURE,
    /** A worker is given at most the client's remaining time and 0.15 s (STANDING). */
    NO_MORE_TIME_TOLD_THAN_LEFT,
    /**
     * A worker in slow start gets no more work than it can take from all schedulers (WIRE, "Fail
     * back with care"; STANDING).
     */
    NO_COLD_WORKER_OVERLOADED,
    /** No attempt starts while another one is open (WIRE, second_copies). */
    NO_SECOND_COPY,
    /**
     * A request that is not idempotent is sent again only if it provably was never executed (WIRE,
     * "Each effect happens once").
     */
    NO_REPEAT_OF_WHAT_MAY_HAVE_RUN,
    /**
     * A request with an idempotency key is repeated only at workers that recognize the key, within
     * the idempotency window (WIRE, "Each effect happens once").
     */
    NO_KEYED_REPEAT_OUTSIDE_GROUP_OR_WINDOW,
    /** A rejection promises that a retry is harmless (WIRE; PROTOCOL). */
    NO_REFUSAL_AFTER_A_RUN,
    /** A final response is given at most half a second after the deadline (STANDING). */
    NO_ANSWER_TOO_LATE,
    /** A request that was read is answered before its connection is closed (STANDING). */
    NO_CLOSE_WITHOUT_ANSWER,
    /**
     * The end of a worker's connection ends the attempt on it; otherwise its request would wait
     * until its deadline.
     */
    NO_CLOSE_OVER_AN_OPEN_ATTEMPT,
    /** Nothing is accepted before the worker list and the operators' overrides are known. */
    NO_SERVICE_BEFORE_THE_LIST
}
