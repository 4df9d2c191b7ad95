package damsonslip.platform.codec;

import damsonslip.engine.Response;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;

/**
 * A response to a client: its status and its body.
 *
 * @param retryAfterUs the time for Retry-After, in microseconds; 0 if none is sent
 */
public record ClientResponse(int status, String body, long retryAfterUs) {
    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private ClientResponse(int status, String body) {
        this(status, body, 0);
    }

    /**
     * The final response to a request.
     *
     * @param withRetryAfter whether the deployment sends Retry-After
     */
    public static ClientResponse of(Response response, boolean withRetryAfter) {
        return switch (response.kind()) {
            case SERVED -> new ClientResponse(200, response.result());
            case THROTTLED ->
                    new ClientResponse(
                            503, "throttled", withRetryAfter ? response.retryAfterUs() : 0);
            case FAILED ->
                    response.deadlineReached()
                            ? new ClientResponse(504, "out of time")
                            : new ClientResponse(502, "failed");
        };
    }

    /** The response to a message that cannot be served. */
    public static ClientResponse of(BadRequestException failure) {
        return new ClientResponse(failure.status(), failure.getMessage());
    }

    /** The response to the front proxy's health check. */
    public static ClientResponse health(boolean healthy) {
        return healthy ? new ClientResponse(200, "ok") : new ClientResponse(503, "leaving");
    }

    /** The response to a request whose time budget ran out before it could be admitted. */
    public static ClientResponse expiredBeforeAdmission() {
        return new ClientResponse(503, "out of time");
    }

    /** The response to an incomplete request on a connection that is being drained. */
    public static ClientResponse draining() {
        return new ClientResponse(503, "going away");
    }

    /** The interim response that tells a client to send the body of its request. */
    public static ByteBuffer encodeContinue() {
        return ByteBuffer.wrap(CONTINUE);
    }

    /**
     * Encodes the response.
     *
     * @param closes whether the connection is closed after it
     */
    public ByteBuffer[] encode(boolean closes) {
        HttpFields.Mutable fields = HttpFields.build();
        if (retryAfterUs > 0) {
            fields.add(
                    WireNames.Header.RETRY_AFTER,
                    String.format(Locale.ROOT, "%.3f", retryAfterUs / 1e6));
        }
        if (closes) {
            fields.add(WireNames.Header.CONNECTION, "close");
        }
        return MessageEncoder.response(status, fields, body.getBytes(StandardCharsets.UTF_8));
    }
}
