package damsonslip.engine.invariants;

/** A rule that no action of the program may break, with the page that it follows. */
public enum Invariant {
    /** Nothing new goes to a worker past its drain grace (WIRE, "Drain with care"). */
    NO_SEND_PAST_DRAIN_GRACE,
    /** No attempt begins once its client has gone (STANDING). */
    NO_SEND_AFTER_DEPARTURE,
    /** A worker is told at most what is left to the client, and 0.15 s (STANDING). */
    NO_MORE_TIME_TOLD_THAN_LEFT,
    /**
     * A cold worker gets no more work than it bears from all schedulers (WIRE, "Fail back with
     * care"; STANDING).
     */
    NO_COLD_WORKER_OVERLOADED,
    /** No second attempt while one is out (WIRE, second_copies). */
    NO_SECOND_COPY,
    /**
     * What must run once is sent again only if it provably never ran (WIRE, "Each effect happens
     * once").
     */
    NO_REPEAT_OF_WHAT_MAY_HAVE_RUN,
    /**
     * A keyed repeat goes to workers that drop it, within the window (WIRE, "Each effect happens
     * once").
     */
    NO_KEYED_REPEAT_OUTSIDE_GROUP_OR_WINDOW,
    /** A refusal promises that trying again is harmless (WIRE; PROTOCOL). */
    NO_REFUSAL_AFTER_A_RUN,
    /** A final answer comes within half a second of the client's time (STANDING). */
    NO_ANSWER_TOO_LATE,
    /** A request that was read is answered before its connection ends (STANDING). */
    NO_CLOSE_WITHOUT_ANSWER,
    /**
     * A connection to a worker ends no attempt without a word: its request would wait until its
     * time is over.
     */
    NO_CLOSE_OVER_AN_OPEN_ATTEMPT,
    /** Nobody is served before the list of workers and the operators' overrides are known. */
    NO_SERVICE_BEFORE_THE_LIST
}
