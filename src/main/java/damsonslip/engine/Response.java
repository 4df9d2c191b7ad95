package damsonslip.engine;

/**
 * The one final answer to a query.
 *
 * @param kind how it went
 * @param result what a worker gave, where served
 * @param retryAfterUs when trying again makes sense, where throttled; 0 tells nothing
 * @param late whether the query failed because its time ran out
 */
public record Response(Kind kind, String result, long retryAfterUs, boolean late) {
    /** How a query may end. */
    public enum Kind {
        SERVED,
        THROTTLED,
        FAILED
    }

    static Response served(String result) {
        return new Response(Kind.SERVED, result, 0, false);
    }

    static Response throttled(long retryAfterUs) {
        return new Response(Kind.THROTTLED, "", retryAfterUs, false);
    }

    static Response failed(boolean late) {
        return new Response(Kind.FAILED, "", 0, late);
    }
}
