package damsonslip.engine;

/**
 * The single final response to a request.
 *
 * @param kind whether the request was served
 * @param result what the worker returned, if served; empty otherwise
 * @param retryAfterUs if throttled, after how many microseconds a retry makes sense; {@link
 *     #NO_RETRY_AFTER} if unknown
 * @param deadlineReached if failed, whether the deadline was the reason
 */
public record Response(Kind kind, String result, long retryAfterUs, boolean deadlineReached) {
    /** Means an unknown time in {@link #retryAfterUs}. */
    public static final long NO_RETRY_AFTER = 0;

    /** How a request ends. */
    public enum Kind {
        /** A worker has served it. */
        SERVED,
        /** It was rejected because of overload; a retry does no harm. */
        THROTTLED,
        /** It could not be served before its deadline, or not at all. */
        FAILED
    }

    static Response served(String result) {
        return new Response(Kind.SERVED, result, NO_RETRY_AFTER, false);
    }

    static Response throttled(long retryAfterUs) {
        return new Response(Kind.THROTTLED, "", retryAfterUs, false);
    }

    static Response failed(boolean deadlineReached) {
        return new Response(Kind.FAILED, "", NO_RETRY_AFTER, deadlineReached);
    }
}
