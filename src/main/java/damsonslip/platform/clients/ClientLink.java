package damsonslip.platform.clients;

import damsonslip.core.Answer;
import damsonslip.core.Asker;
import damsonslip.core.Exchange;
import damsonslip.core.Loop;
import damsonslip.core.Query;
import damsonslip.net.Link;
import damsonslip.platform.http.Encoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.EndPoint;

/** A client's connection: one query at a time, from its bytes to its answer. */
final class ClientLink extends Link implements Asker {
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** Within this time of its first bytes a query has to be whole. */
    private static final long WHOLE_US = 10_000_000;

    private final ClientSide side;
    private final QueryReader reader = new QueryReader();
    private Exchange exchange;
    /** A message is being served, by a worker or by ourselves. */
    private boolean busy;
    private boolean leaving;
    /** Runs while a message has begun and is not whole. */
    private Loop.Timer overdue;
    long idleSinceUs;

    ClientLink(EndPoint endPoint, ClientSide side) {
        super(endPoint, side.loop());
        this.side = side;
    }

    @Override
    protected void opened() {
        idleSinceUs = side.loop().now();
        side.opened(this);
    }

    @Override
    protected void received(ByteBuffer bytes) {
        if (busy || leaving) {
            return;
        }
        try {
            QueryHead head = reader.read(bytes);
            if (head != null) {
                busy = true;
                if (overdue != null) {
                    overdue.cancel();
                    overdue = null;
                }
                answerOrAsk(head);
            } else {
                if (reader.takeContinue()) {
                    write(() -> { }, ByteBuffer.wrap(CONTINUE));
                }
                awaitTheRest();
            }
        } catch (QueryHead.Bad e) {
            busy = true;
            side.bad();
            leaving = true;
            reply(e.status(), e.getMessage(), HttpFields.build());
        }
    }

    /** Guards against clients that begin a query and never end it, which would fill the connections there are. */
    private void awaitTheRest() {
        if (reader.midway() && overdue == null) {
            overdue = side.loop().in(WHOLE_US, () -> {
                overdue = null;
                if (!busy && !isClosed()) {
                    busy = true;
                    leaving = true;
                    side.bad();
                    reply(408, "the query did not come whole", HttpFields.build());
                }
            });
        }
    }

    /** A whole message that asks for something impossible leaves the connection usable. */
    private void answerOrAsk(QueryHead head) {
        try {
            ask(head);
        } catch (QueryHead.Bad e) {
            side.bad();
            reply(e.status(), e.getMessage(), HttpFields.build());
        }
    }

    private void ask(QueryHead head) throws QueryHead.Bad {
        switch (head.path()) {
            case "/api" -> {
                if (!head.method().equals("POST")) {
                    reply(405, "POST only", HttpFields.build().add("Allow", "POST"));
                    return;
                }
                Query query = head.query(side.site(), side.loop().now());
                if (side.driver().holds(query.id())) {
                    throw new QueryHead.Bad(400, "this id is in use: " + query.id());
                }
                // the answer may come within the call, before there is an exchange to remember
                Exchange taken = side.driver().take(query, this);
                exchange = taken.closed() ? null : taken;
            }
            case "/healthz" -> reply(side.ready() ? 200 : 503, side.ready() ? "ok" : "leaving", HttpFields.build());
            default -> reply(404, "no such path", HttpFields.build());
        }
    }

    @Override
    public void answer(Answer answer) {
        exchange = null;
        HttpFields.Mutable fields = HttpFields.build();
        switch (answer.kind()) {
            case SERVED -> reply(200, answer.result(), fields);
            case THROTTLED -> {
                if (answer.retryAfterUs() > 0) {
                    fields.add("Retry-After", String.format(Locale.ROOT, "%.3f", answer.retryAfterUs() / 1e6));
                }
                reply(503, "throttled", fields);
            }
            case FAILED -> reply(answer.late() ? 504 : 502, answer.late() ? "out of time" : "failed", fields);
        }
    }

    private void reply(int status, String body, HttpFields.Mutable fields) {
        leaving |= !reader.persistent() || !side.ready();
        if (leaving) {
            fields.add("Connection", "close");
        }
        write(this::answered, Encoder.answer(status, fields, body.getBytes(StandardCharsets.UTF_8)));
    }

    private void answered() {
        if (leaving) {
            endWhenWritten();
            return;
        }
        busy = false;
        idleSinceUs = side.loop().now();
        reader.next();
        side.loop().execute(this::again);
    }

    boolean busy() {
        return busy;
    }

    /** Whether no message has begun on it. */
    boolean idle() {
        return !busy && !reader.midway();
    }

    @Override
    protected void lost() {
        if (exchange != null) {
            side.driver().gone(exchange);
        }
    }

    @Override
    protected void released() {
        side.closed(this);
    }
}
