package damsonslip.platform.worker;

import damsonslip.engine.Attempt;
import damsonslip.engine.EventLoop;
import damsonslip.engine.SlowPeer;
import damsonslip.platform.codec.MessageEncoder;
import damsonslip.platform.codec.WireFormat;
import damsonslip.platform.codec.HttpForward;
import damsonslip.platform.codec.JobProgress;
import damsonslip.platform.codec.ResponseReader;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.ProbeResult;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.LineDecoder;
import damsonslip.transport.OutboundRateMonitor;
import damsonslip.transport.datarate.MinimumDataRate;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/** A connection to a worker, which carries one execution or probe at a time. */
final class WorkerConnection extends EventLoopConnection implements ResponseReader.Listener {
    private static final int MOST_LINE = 256 * 1024;
    private static final byte[] NOTHING = {};

    /**
     * A request has 64 KB at most and workers are near: one that takes nothing for half a second
     * stands still, and there is time left for another. At this rate the largest one has two
     * seconds.
     */
    private static final MinimumDataRate.Limits TAKING =
            new MinimumDataRate.Limits(500_000, 500_000, 32 * 1024);

    /**
     * The time that a worker is told counts by the request's last byte, of which it may be 0.15 s
     * too much (STANDING); a third of that is kept for hold-ups. A request that takes longer is
     * given up before its last byte.
     */
    private static final long LATE_LAST_BYTE_US = 100_000;

    /**
     * Smaller requests fit into the system's buffers several times over, and are written in one go.
     */
    private static final int LARGE_REQUEST = 8 * 1024;

    /** What is reckoned from the pace of one try is taken with a quarter on top. */
    private static final double UPLOAD_MARGIN = 1.25;

    /**
     * A second answer may follow the first some milliseconds late. A link that has rested for this
     * long since its last answer has none to come, so that an answer without an id belongs to the
     * request at hand.
     */
    static final long SETTLED_US = 100_000;

    /**
     * An answer whose last line has come ends in the same moment; one that goes on for this long
     * never ends.
     */
    private static final long END_US = 500_000;

    private final WorkerClient side;
    private final String worker;
    private final Consumer<WorkerConnection> up;
    private final ResponseReader reader = new ResponseReader(this);
    private final LineDecoder lines = new LineDecoder(MOST_LINE);
    private Attempt execution;
    private boolean probing;
    private ProbeResult healthyTells = ProbeResult.HEALTHY;

    /** A request was begun, and its answer is not whole. */
    private boolean busy;

    /** The last byte of the request is written: from here on the job may run. */
    private boolean written;

    private int status;
    private LoadReport report;
    private boolean unprocessed;

    /** Bytes of a large request that the system did not take at once. */
    private int waitedFor;

    /** How long it had been idle when the request at hand was begun; below 0 if it was new. */
    private long idledUs = -1;

    private boolean used;
    private final OutboundRateMonitor taking;

    /** Runs while a probe's answer is awaited. */
    private EventLoop.Timer probeTime;

    /** Runs from an answer's last line to the end of the answer. */
    private EventLoop.Timer ending;

    long idleSinceUs;
    private long openedUs;

    WorkerConnection(
            EndPoint endPoint, WorkerClient side, String worker, Consumer<WorkerConnection> up) {
        super(endPoint, side.loop());
        this.up = up;
        this.side = side;
        this.worker = worker;
        this.taking =
                new OutboundRateMonitor(side.loop(), TAKING, this::backlog, this::standsStill);
    }

    String worker() {
        return worker;
    }

    @Override
    protected void opened() {
        openedUs = side.loop().now();
        side.opened(this);
        up.accept(this);
    }

    /** Sends a query to the worker, with so much time to do it in. */
    void carry(Attempt next, long toldUs) {
        execution = next;
        HttpForward forward = (HttpForward) next.query().cargo();
        HttpFields.Mutable fields =
                HttpFields.build()
                        .add("Host", "app.svc")
                        .add(WireFormat.ID, next.query().id())
                        .add(WireFormat.TIME_LEFT, WireFormat.text(toldUs));
        if (forward.key() != null) {
            fields.add(WireFormat.KEY, forward.key());
        }
        if (forward.contentType() != null) {
            fields.add("Content-Type", forward.contentType());
        }
        begin(MessageEncoder.request(forward.method(), forward.target(), fields, forward.body()));
    }

    /**
     * How long a worker may take itself to be awaited: its client may give up before the scheduler
     * does.
     */
    static long toldUs(Attempt execution, long nowUs) {
        long endsByUs = Math.min(execution.endsByUs(), execution.query().earliestDeadlineUs());
        return Math.max(0, endsByUs - nowUs - execution.expectedUploadUs());
    }

    /** Whether the connection stands since then at least. */
    boolean standsSince(long us) {
        return !isClosed() && openedUs <= us;
    }

    /**
     * Asks for the worker's load, and waits for so long at the most.
     *
     * @param healthy what an answer of 200 tells
     */
    void probe(long timeUs, ProbeResult healthy) {
        probing = true;
        healthyTells = healthy;
        probeTime = side.loop().in(timeUs, this::probeOverdue);
        begin(
                MessageEncoder.request(
                        "GET", "/load", HttpFields.build().add("Host", "app.svc"), NOTHING));
    }

    /** The probe's answer has not come in time, unless it has and the loop was held up. */
    private void probeOverdue() {
        EventLoop.Timer due = probeTime;
        look();
        if (probing && probeTime == due) {
            end();
            lost();
        }
    }

    /** The probe has ended, and its time with it: the next one on this link has its own. */
    private void probed(ProbeResult result, LoadReport told) {
        if (probing) {
            probing = false;
            probeTime.cancel();
            side.probed(worker, result, told);
        }
    }

    private void begin(ByteBuffer[] request) {
        idledUs = used ? side.loop().now() - idleSinceUs : -1;
        used = true;
        busy = true;
        written = false;
        status = 0;
        report = null;
        unprocessed = false;
        int bytes = (int) BufferUtil.remaining(request);
        if (bytes <= LARGE_REQUEST) {
            write(this::whole, request);
        } else {
            writeLarge(request, bytes);
        }
        if (!isClosed()) {
            taking.begin();
        }
    }

    private void whole() {
        written = true;
        taking.end();
        if (!probing) {
            side.written(execution);
        }
    }

    /**
     * Writes all but the last byte first: what was told may be too old by the time at which that
     * could leave.
     */
    private void writeLarge(ByteBuffer[] request, int bytes) {
        ByteBuffer end = request[request.length - 1];
        ByteBuffer last = end.duplicate().position(end.limit() - 1);
        end.limit(end.limit() - 1);
        long begunUs = side.loop().now();
        write(() -> writeLast(last, bytes, side.loop().now() - begunUs), request);
        waitedFor = (int) backlog();
    }

    private void writeLast(ByteBuffer last, int bytes, long tookUs) {
        if (execution != null
                && !execution.isAwaited()
                && isClosed()) { // its client has left: nothing more is written
            return;
        }
        // what the system took at once comes to the worker at the pace of the rest
        long takesUs = waitedFor == 0 ? tookUs : tookUs * bytes / waitedFor;
        if (execution != null && takesUs > execution.expectedUploadUs() + LATE_LAST_BYTE_US) {
            execution.uploadTakes((long) (takesUs * UPLOAD_MARGIN));
            side.slowUpload(worker, takesUs);
            Attempt late = execution;
            execution = null;
            end();
            side.ended(late, Attempt.End.of(AttemptOutcome.NEVER_SENT));
            return;
        }
        write(this::whole, last);
    }

    /** How it takes the request that is being written to it; null if none is. */
    SlowPeer shown() {
        return taking.waits() ? taking.shown("takes a request", worker) : null;
    }

    /**
     * A request that the worker takes too slowly is given up while its last byte is still here: it
     * provably never ran, and may go elsewhere whatever its class.
     */
    private void standsStill() {
        side.standsStill(worker);
        end();
        lost();
    }

    /**
     * The rest of a request does not follow a client that has left; its departure ends this link.
     */
    @Override
    protected void selected() {
        if (execution != null && !written) {
            execution.isAwaited();
        }
    }

    /** Whether the last byte of the request at hand has left. */
    boolean isWritten() {
        return written;
    }

    /** Gives up what it carries, by the only means there is: the connection ends. */
    void giveUp() {
        execution = null;
        end();
    }

    boolean idle() {
        return !busy;
    }

    @Override
    protected void received(ByteBuffer bytes) {
        if (!busy) { // nobody asked: whatever this is, the next answer could not be told from it
            end();
            return;
        }
        reader.read(bytes);
        if (busy && !isClosed() && execution == null && !probing && ending == null) {
            ending = side.loop().in(END_US, this::giveUp);
        }
    }

    @Override
    public void head(int code, Map<String, String> fields) {
        status = code;
        if (idledUs >= 0) {
            side.keptAge().seen(idledUs, false);
        }
        report = JobProgress.report(fields.get(WireFormat.LOAD.toLowerCase(Locale.ROOT)));
        unprocessed = "1".equals(fields.get(WireFormat.NOT_RUN.toLowerCase(Locale.ROOT)));
    }

    @Override
    public void body(byte[] part) {
        if (status != 200 || execution == null) {
            return;
        }
        List<String> whole = lines.take(part);
        if (whole == null) {
            malformed("a line without end");
            return;
        }
        whole.forEach(this::line);
    }

    private void line(String line) {
        if (execution == null || line.isEmpty()) {
            return;
        }
        JobProgress state = JobProgress.read(line, execution.query().id());
        if (state == null) {
            malformed("no job's state: " + line.substring(0, Math.min(80, line.length())));
            return;
        }
        report = state.report() == null ? report : state.report();
        switch (state.kind()) {
            case STARTED -> side.driver().started(execution);
            case RUNNING -> {}
            case DONE -> finish(AttemptOutcome.SERVED, state.result());
            case FAILED -> finish(AttemptOutcome.ERROR, null);
            case RETURNED -> finish(AttemptOutcome.FULL, null);
            case LOST -> finish(AttemptOutcome.RESET, null);
        }
    }

    /** Whether a turning away without an id can only be of the request at hand. */
    private boolean settled() {
        return idledUs < 0 || idledUs >= SETTLED_US;
    }

    @Override
    public void ended(boolean persistent) {
        if (isClosed()) { // given up over one of its lines; a closed link must not be kept for the
            // next request
            return;
        }
        stopEnding();
        if (!written) { // whatever was answered, it was not this request, which has not come whole
            // and never will
            end();
            lost();
            return;
        }
        if (probing) {
            probed(status == 200 ? healthyTells : ProbeResult.UNHEALTHY, report);
        } else if (execution != null) {
            boolean turnedAway = unprocessed && (status == 503 || status == 504);
            boolean unproven = turnedAway && !settled() && side.once(execution);
            // a 200 that ends before its last line tells no more than a connection that breaks
            finish(
                    unproven || status == 200
                            ? AttemptOutcome.RESET
                            : turnedAway ? AttemptOutcome.FULL : AttemptOutcome.ERROR,
                    null);
        }
        busy = false;
        lines.rest();
        if (persistent) {
            idleSinceUs = side.loop().now();
            side.idle(this);
        } else {
            end();
        }
    }

    @Override
    public void malformed(String why) {
        side.malformed(worker, why);
        end();
        lost();
    }

    private void finish(AttemptOutcome outcome, String result) {
        Attempt done = execution;
        execution = null;
        if (done != null) {
            side.ended(done, new Attempt.End(outcome, report, result));
        }
    }

    /** What the loss proves depends on whether the last byte of the request had left. */
    @Override
    protected void lost() {
        if (busy && status == 0 && idledUs >= 0) {
            side.keptAge().seen(idledUs, true);
        }
        if (!busy) {
            side.driver().connectionLost(worker);
        }
        probed(ProbeResult.UNREACHABLE, null);
        finish(written ? AttemptOutcome.RESET : AttemptOutcome.NOT_CONNECTED, null);
    }

    private void stopEnding() {
        if (ending != null) {
            ending.cancel();
            ending = null;
        }
    }

    /**
     * Takes in what has come while it rested, a stranger's bytes or the end; tells whether it still
     * stands.
     */
    boolean stands() {
        look();
        return !isClosed();
    }

    @Override
    protected void released() {
        taking.end();
        stopEnding();
        if (execution != null) {
            side.closedOver(execution);
        }
        side.closed(this);
    }
}
