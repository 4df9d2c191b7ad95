package damsonslip.platform.codec;

import damsonslip.engine.Request;

/**
 * The parts of a client's request that are forwarded to a worker unchanged. Immutable until it is
 * released.
 */
public final class ForwardedRequest implements Request.Payload {
    private final String method;
    private final String target;
    private final String idempotencyKey;
    private final String contentType;

    /** Null once released. */
    private byte[] body;

    ForwardedRequest(
            String method, String target, String idempotencyKey, String contentType, byte[] body) {
        this.method = method;
        this.target = target;
        this.idempotencyKey = idempotencyKey;
        this.contentType = contentType;
        this.body = body;
    }

    String method() {
        return method;
    }

    String target() {
        return target;
    }

    /** Null if the client sent none. */
    String idempotencyKey() {
        return idempotencyKey;
    }

    /** Null if the client sent none. */
    String contentType() {
        return contentType;
    }

    /**
     * The body.
     *
     * @throws IllegalStateException if the request is closed
     */
    byte[] body() {
        if (body == null) {
            throw new IllegalStateException("the request is closed");
        }
        return body;
    }

    @Override
    public void release() {
        body = null;
    }
}
