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
        ForwardedRequest forwarded = (ForwardedRequest) request.payload();
        HttpFields.Mutable fields =
                HttpFields.build()
                        .add(WireNames.Header.HOST, WORKER_HOST)
                        .add(WireNames.Header.REQUEST_ID, request.id())
                        .add(WireNames.Header.TIME_BUDGET, WireFormat.formatMicros(timeBudgetUs));
        if (forwarded.idempotencyKey() != null) {
            fields.add(WireNames.Header.IDEMPOTENCY_KEY, forwarded.idempotencyKey());
        }
        if (forwarded.contentType() != null) {
            fields.add(WireNames.Header.CONTENT_TYPE, forwarded.contentType());
        }
        return MessageEncoder.request(
                forwarded.method(), forwarded.target(), fields, forwarded.body());
    }

    /** A probe of a worker's health, which also requests its load report. */
    public static ByteBuffer[] probe() {
        return get(WORKER_HOST, WireNames.Path.WORKER_LOAD);
    }

    /**
     * A watch on discovery's endpoint list.
     *
     * @param generation the generation of the last known list; 0 requests the complete list
     */
    public static ByteBuffer[] watch(long generation) {
        return get(DISCOVERY_HOST, WireNames.Path.WATCH_AFTER + generation);
    }

    private static ByteBuffer[] get(String host, String target) {
        HttpFields fields = HttpFields.build().add(WireNames.Header.HOST, host);
        return MessageEncoder.request(GET, target, fields, NO_BODY);
    }
}
