package damsonslip.engine.invariants;

/**
 * A rule that no action of the scheduler may violate; the operators' page that states it is given
 * in brackets. Operators see the names in lower case at the console and in the log, so they must
 * not change.
 */
public enum Invariant {
    /** No attempt goes to a draining worker after its grace time (WIRE, "Drain with care"). */
    NO_SEND_PAST_DRAIN_GRACE,
    /** No attempt starts after its client has disconnected (STANDING). */
    NO_SEND_AFTER_DEPARTURE,
    /** A worker's time limit is at most the client's remaining time plus 0.15 s (STANDING). */
    NO_MORE_TIME_TOLD_THAN_LEFT,
    /**
     * A worker in slow start gets no more requests than its current capacity allows from all
     * schedulers (WIRE, "Fail back with care"; STANDING).
     */
    NO_COLD_WORKER_OVERLOADED,
    /** No attempt of a request starts while another one is open (WIRE, second_copies). */
    NO_SECOND_COPY,
    /**
     * A request that is not idempotent is retried only if it was provably never executed (WIRE,
     * "Each effect happens once").
     */
    NO_REPEAT_OF_WHAT_MAY_HAVE_RUN,
    /**
     * A request with an idempotency key is retried only at workers that recognize the key, within
     * the idempotency window (WIRE, "Each effect happens once").
     */
    NO_KEYED_REPEAT_OUTSIDE_GROUP_OR_WINDOW,
    /** A request is rejected only if a retry is harmless (WIRE; PROTOCOL). */
    NO_REFUSAL_AFTER_A_RUN,
    /** A final response is given at most 0.5 s after the deadline (STANDING). */
    NO_ANSWER_TOO_LATE,
    /** A request that was read completely is answered before its connection closes (STANDING). */
    NO_CLOSE_WITHOUT_ANSWER,
    /**
     * When a worker's connection closes, the attempt on it ends; otherwise the request would wait
     * until its deadline.
     */
    NO_CLOSE_OVER_AN_OPEN_ATTEMPT,
    /** No request is accepted before the worker list and the operators' overrides are known. */
    NO_SERVICE_BEFORE_THE_LIST
}
