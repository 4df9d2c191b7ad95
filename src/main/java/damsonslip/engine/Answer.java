package damsonslip.engine;

/**
 * The one final answer to a query.
 *
 * @param kind how it went
 * @param result what a worker gave, where served
 * @param retryAfterUs when trying again makes sense, where throttled; 0 tells nothing
 * @param late whether the query failed because its time ran out
 */
public record Answer(Kind kind, String result, long retryAfterUs, boolean late) {
    /** How a query may end. */
    public enum Kind {
        SERVED,
        THROTTLED,
        FAILED
    }

    static Answer served(String result) {
        return new Answer(Kind.SERVED, result, 0, false);
    }

    static Answer throttled(long retryAfterUs) {
        return new Answer(Kind.THROTTLED, "", retryAfterUs, false);
    }

    static Answer failed(boolean late) {
        return new Answer(Kind.FAILED, "", 0, late);
    }
}
