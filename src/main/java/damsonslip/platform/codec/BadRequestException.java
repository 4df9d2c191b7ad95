package damsonslip.platform.codec;

/**
 * A client's message that cannot be served. The exception's message is the body of the response,
 * its status the response's status.
 */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int status;

    /** Creates an exception with the status and the body of the response. */
    BadRequestException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** A request that has begun and was not completed in time. */
    public static BadRequestException incomplete() {
        return new BadRequestException(408, "the query did not come whole");
    }

    /** Bytes after a request that cannot begin another one: the announced length was too small. */
    public static BadRequestException longerThanAnnounced() {
        return new BadRequestException(400, "longer than it says");
    }

    /** More bytes were pipelined after a request than are buffered. */
    public static BadRequestException pipelinedTooMuch() {
        return new BadRequestException(400, "too much sent ahead of its answer");
    }

    /** All clients together hold too much memory; it is harmless to send the request again. */
    public static BadRequestException outOfMemory() {
        return new BadRequestException(503, "throttled");
    }

    /** An id that another request has, or has had recently. */
    public static BadRequestException duplicateId(String id) {
        return new BadRequestException(409, "this id was used already: " + id);
    }

    /** The HTTP status of the response. */
    public int status() {
        return status;
    }
}
