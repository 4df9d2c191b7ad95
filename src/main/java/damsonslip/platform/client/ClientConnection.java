package damsonslip.platform.client;

import damsonslip.engine.EventLoop;
import damsonslip.engine.Request;
import damsonslip.engine.RequestContext;
import damsonslip.engine.Response;
import damsonslip.engine.ResponseListener;
import damsonslip.engine.SlowPeer;
import damsonslip.engine.invariants.CloseGuard;
import damsonslip.engine.shutdown.ConnectionDraining;
import damsonslip.platform.codec.MessageEncoder;
import damsonslip.platform.codec.HttpRequest;
import damsonslip.platform.codec.RequestReader;
import damsonslip.platform.codec.WireFormat;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.OutboundRateMonitor;
import damsonslip.transport.datarate.MinimumDataRate;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.EndPoint;

/** A client's connection: one query at a time, from its bytes to its answer. */
final class ClientConnection extends EventLoopConnection implements ResponseListener {
    private static final byte[] CONTINUE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /**
     * Within this time of the connection's start, or of its first bytes, a query has to be whole.
     */
    private static final long WHOLE_US = 2_000_000;

    /**
     * How a client has to read its answer: nothing may move for 5 s at first; later for as long as
     * what it has read is worth at 2 KB/s, a weak mobile link. An answer that fits into the
     * system's buffers is taken at once, whatever the client does.
     */
    private static final MinimumDataRate.Limits READING =
            new MinimumDataRate.Limits(5_000_000, 10_000_000, 2 * 1024);

    /**
     * What is read of a client while its query waits: a further message as large as they may be.
     * Guards against departures that go unnoticed behind what was sent ahead: as long as there is
     * room, the end of the connection is read as well.
     */
    private static final int MOST_AHEAD = WireFormat.MOST_HEADERS + WireFormat.MOST_BODY;

    private final OutboundRateMonitor reading;
    private final ClientServer side;
    private final RequestReader reader = new RequestReader();
    private final ArrivalTimes arrivals = new ArrivalTimes();
    private RequestContext exchange;

    /**
     * A query that has come whole and is taken once all that came behind it is read. Guards against
     * a client that has left by then: where the loop was held up, query and close are there
     * together, and an attempt would be for nobody.
     */
    private Request arrived;

    /** A message is being served, by a worker or by ourselves. */
    private boolean busy;

    private boolean leaving;

    /**
     * Runs while a message is awaited, the first one from the start on, others once they have
     * begun.
     */
    private EventLoop.Timer overdue;

    /** Whole messages that could be read, and those of them that a worker has served. */
    private int whole;

    private int served;
    long idleSinceUs;

    ClientConnection(EndPoint endPoint, ClientServer side) {
        super(endPoint, side.loop(), MOST_AHEAD);
        this.side = side;
        this.reading =
                new OutboundRateMonitor(side.loop(), READING, this::backlog, this::readsNothing);
    }

    @Override
    protected void opened() {
        idleSinceUs = side.loop().now();
        overdue = side.loop().in(WHOLE_US, this::overdue);
        side.opened(this);
    }

    @Override
    protected void received(ByteBuffer bytes) {
        if (leaving) {
            return;
        }
        ArrivalTimes.Arrival now = new ArrivalTimes.Arrival(arrivedAfterUs(), arrivalUs());
        arrivals.waiting(bytes.remaining(), now);
        if (busy) {
            checkAhead(bytes);
            return;
        }
        try {
            int before = bytes.remaining();
            HttpRequest head = reader.read(bytes);
            ArrivalTimes.Arrival came = arrivals.read(before - bytes.remaining(), now);
            if (head != null) {
                busy = true;
                whole++;
                cancelOverdue();
                if (!RequestReader.mayBegin(bytes)) {
                    throw new HttpRequest.Bad(400, "longer than it says");
                }
                ask(head, came);
            } else {
                if (reader.takeContinue()) {
                    write(() -> {}, ByteBuffer.wrap(CONTINUE));
                }
                if (reader.midway() && overdue == null) {
                    overdue = side.loop().in(WHOLE_US, this::overdue);
                }
            }
        } catch (HttpRequest.Bad e) {
            refuse(e);
        }
    }

    /**
     * Looks at what has come behind the query at hand. Guards against a length that is too small:
     * the rest of the body can be no query, and what was cut off must not be served as though it
     * were one.
     */
    private void checkAhead(ByteBuffer bytes) {
        boolean query = RequestReader.mayBegin(bytes);
        if (query && bytes.remaining() < MOST_AHEAD) {
            return;
        }
        if (exchange == null && arrived == null) { // its answer is being written already
            leaving |= !query;
            return;
        }
        if (exchange != null) {
            side.driver().gone(exchange);
        }
        exchange = null;
        arrived = null;
        refuse(
                new HttpRequest.Bad(
                        400, query ? "too much sent ahead of its answer" : "longer than it says"));
    }

    /**
     * An error is the last thing on a connection: who has sent one bad message may have hidden
     * others in it.
     */
    private void refuse(HttpRequest.Bad bad) {
        busy = true;
        leaving = true;
        side.bad(bad);
        reply(bad.status(), bad.getMessage(), HttpFields.build());
    }

    /**
     * Guards against clients that say nothing, or never end what they say: these would fill all the
     * room there is.
     */
    private void overdue() {
        overdue = null;
        boolean begun = reader.midway();
        look();
        if (busy || isClosed()) {
            return;
        }
        if (begun) {
            cancelOverdue();
            refuse(new HttpRequest.Bad(408, "the query did not come whole"));
        } else if (!reader.midway()) { // one that has begun in this moment has its own time
            endWhenWritten();
        }
    }

    private void cancelOverdue() {
        if (overdue != null) {
            overdue.cancel();
            overdue = null;
        }
    }

    private void ask(HttpRequest head, ArrivalTimes.Arrival came) throws HttpRequest.Bad {
        switch (head.path()) {
            case "/api" -> {
                if (!head.method().equals("POST")) {
                    throw new HttpRequest.Bad(405, "POST only");
                }
                Request query =
                        head.query(side.site(), came.takenUs(), came.earliestUs(), side.latestUs());
                if (query.deadlineUs()
                        <= side.loop().now()) { // its time has passed behind the ones before it
                    reply(503, "out of time", HttpFields.build());
                    return;
                }
                arrived = query;
            }
            case "/healthz" ->
                    reply(
                            side.healthy() ? 200 : 503,
                            side.healthy() ? "ok" : "leaving",
                            HttpFields.build());
            default -> throw new HttpRequest.Bad(404, "no such path");
        }
    }

    @Override
    protected void readComplete() {
        if (arrived == null) {
            return;
        }
        Request query = arrived;
        arrived = null;
        try {
            // the answer may come within the call, before there is an exchange to remember
            RequestContext taken = side.take(query, this);
            exchange = taken.closed() ? null : taken;
        } catch (HttpRequest.Bad e) {
            refuse(e);
        }
    }

    /**
     * While the query is being taken there is no exchange yet, and all that had come was read in
     * that moment.
     */
    @Override
    public void readPending() {
        if (exchange != null) {
            look();
        }
    }

    @Override
    public void answer(Response answer) {
        exchange = null;
        HttpFields.Mutable fields = HttpFields.build();
        switch (answer.kind()) {
            case SERVED -> {
                served++;
                reply(200, answer.result(), fields);
            }
            case THROTTLED -> {
                if (answer.retryAfterUs() > 0 && side.site().retryAfter()) {
                    fields.add(
                            "Retry-After",
                            String.format(Locale.ROOT, "%.3f", answer.retryAfterUs() / 1e6));
                }
                reply(503, "throttled", fields);
            }
            case FAILED ->
                    reply(
                            answer.late() ? 504 : 502,
                            answer.late() ? "out of time" : "failed",
                            fields);
        }
    }

    private void reply(int status, String body, HttpFields.Mutable fields) {
        leaving |= !reader.persistent() || !side.ready();
        if (leaving) {
            fields.add("Connection", "close");
        }
        write(
                this::answered,
                MessageEncoder.answer(status, fields, body.getBytes(StandardCharsets.UTF_8)));
        if (!isClosed()) {
            reading.begin();
            side.checkBudget(reading);
        }
    }

    SlowPeer shown() {
        return reading.shown("reads an answer", peer());
    }

    OutboundRateMonitor reading() {
        return reading;
    }

    /**
     * Guards the room and the memory that a client would hold for ever that never reads its answer.
     */
    void readsNothing() {
        side.readsNothing();
        end();
    }

    private void answered() {
        reading.end();
        if (leaving) {
            endWhenWritten();
            return;
        }
        busy = false;
        idleSinceUs = side.loop().now();
        reader.next();
        side.loop().execute(this::again);
    }

    /**
     * Ends it between queries; one that has just come is served first, and one that crosses the end
     * is not read as one.
     */
    void endIfIdle() {
        if (idle()) {
            look();
        }
        if (idle() && !isClosed()) {
            endWhenWritten();
        }
    }

    /** Carries out what sending clients away means for this one. */
    void drain(ConnectionDraining draining) {
        switch (draining.actionFor(side.loop().now(), busy, reader.midway(), idleSinceUs)) {
            case KEEP -> {}
            case CLOSE -> endIfIdle();
            case REJECT -> rejectPart();
        }
    }

    /** Answers a request that has partly come, and ends the connection. */
    private void rejectPart() {
        busy = true;
        leaving = true;
        cancelOverdue();
        reply(503, "going away", HttpFields.build());
    }

    @Override
    protected void endUnserved() {
        if (!busy && reader.midway()) {
            rejectPart();
        } else {
            endWhenWritten();
        }
    }

    boolean busy() {
        return busy;
    }

    /** Whether no message has begun on it. */
    boolean idle() {
        return !busy && !reader.midway();
    }

    /** Whether it may be ended to make room: nothing that it has asked for is under way. */
    boolean mayGo() {
        return !busy || isLingering();
    }

    /**
     * How much it would be missed: usual clients send at once, get their results, and come back.
     */
    private int worth() {
        boolean asked = whole > 0 || reader.midway();
        return isLingering() ? 0 : !asked ? 1 : served == 0 ? 2 : 3;
    }

    /** The order in which they go when there is no room. */
    static int compareMissed(ClientConnection one, ClientConnection other) {
        int worth = Integer.compare(one.worth(), other.worth());
        return worth != 0 ? worth : Long.compare(one.idleSinceUs, other.idleSinceUs);
    }

    @Override
    protected void lost() {
        if (exchange != null) {
            side.driver().gone(exchange);
        }
    }

    @Override
    protected void released() {
        reading.end();
        cancelOverdue();
        boolean owed = arrived != null || exchange != null && !exchange.closed();
        String job = arrived != null ? arrived.id() : exchange != null ? exchange.query().id() : "";
        side.closed(this, new CloseGuard.Facts(job, owed, isEndedByPeer(), closeReason()));
    }

    private String closeReason() {
        return isEndedByPeer()
                ? "the client has ended it"
                : isLingering() ? "said goodbye" : "given up";
    }
}
