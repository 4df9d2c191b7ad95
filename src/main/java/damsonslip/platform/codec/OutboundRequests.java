package damsonslip.platform.codec;

import damsonslip.engine.Request;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/** Encodes the requests that the scheduler sends to workers and to discovery. */
public final class OutboundRequests {
    private static final String WORKER_HOST = "app.svc";
    private static final String DISCOVERY_HOST = "discovery";
    private static final String GET = "GET";
    private static final byte[] NO_BODY = {};

    private OutboundRequests() {}

    /**
     * A job for a worker, forwarded as the client sent it.
     *
     * @param timeBudgetUs how long the worker may take
     */
    public static ByteBuffer[] job(Request request, long timeBudgetUs) {
        ForwardedRequest forward = (ForwardedRequest) request.payload();
        HttpFields.Mutable fields =
                HttpFields.build()
                        .add(WireNames.Header.HOST, WORKER_HOST)
                        .add(WireNames.Header.REQUEST_ID, request.id())
                        .add(WireNames.Header.TIME_BUDGET, WireFormat.formatMicros(timeBudgetUs));
        if (forward.idempotencyKey() != null) {
            fields.add(WireNames.Header.IDEMPOTENCY_KEY, forward.idempotencyKey());
        }
        if (forward.contentType() != null) {
            fields.add(WireNames.Header.CONTENT_TYPE, forward.contentType());
        }
        return MessageEncoder.request(forward.method(), forward.target(), fields, forward.body());
    }

    /** A probe of a worker's health, which also asks for its load report. */
    public static ByteBuffer[] probe() {
        return get(WORKER_HOST, WireNames.Path.WORKER_LOAD);
    }

    /**
     * A watch on discovery's endpoint list.
     *
     * @param generation of the last list that is known; 0 asks for the complete list
     */
    public static ByteBuffer[] watch(long generation) {
        return get(DISCOVERY_HOST, WireNames.Path.WATCH_AFTER + generation);
    }

    private static ByteBuffer[] get(String host, String target) {
        HttpFields fields = HttpFields.build().add(WireNames.Header.HOST, host);
        return MessageEncoder.request(GET, target, fields, NO_BODY);
    }
}
