package damsonslip.platform.worker;

import damsonslip.engine.Attempt;
import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.engine.SlowPeer;
import damsonslip.platform.codec.JobProgress;
import damsonslip.platform.codec.OutboundRequests;
import damsonslip.platform.codec.ResponseHead;
import damsonslip.platform.codec.ResponseReader;
import damsonslip.platform.worker.ConnectionState.Event;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.ProbeResult;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.LineDecoder;
import damsonslip.transport.OutboundRateMonitor;
import damsonslip.transport.datarate.MinimumDataRate;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.BufferUtil;

/**
 * One connection to a worker, which carries one attempt or probe at a time; {@link ConnectionState}
 * holds its states. Used on the event loop only.
 */
final class WorkerConnection extends EventLoopConnection implements ResponseReader.Listener {
    /**
     * After this idle time no late duplicate response to the last request can arrive, so a response
     * without an id belongs to the next request.
     */
    static final long QUIET_PERIOD_US = 100_000;

    private static final int MAX_LINE_BYTES = 256 * 1024;
    private static final int MAX_LOGGED_LINE_CHARS = 80;

    /**
     * The rate at which a worker has to receive a request. Workers are close on the network, and a
     * request has 64 KB at most: the largest one may take two seconds, and half a second without
     * progress is a stall.
     */
    private static final MinimumDataRate.Limits UPLOAD_RATE =
            new MinimumDataRate.Limits(500_000, 500_000, 32 * 1024);

    /**
     * How long to wait for the end of a response after its final line: it arrives at once, or
     * never.
     */
    private static final long RESPONSE_END_TIMEOUT_US = 500_000;

    private static final long NEVER_USED = -1;

    /** The components that a connection reports to. */
    record Owner(
            ConnectionPool pool,
            InFlightAttempts attempts,
            SchedulerEngine engine,
            WorkerStatistics statistics,
            ResponseMemory responseMemory) {}

    /** A probe whose response is awaited. */
    private record Probe(ProbeResult resultIfOk, EventLoop.Timer timeout) {}

    private final EventLoop loop;
    private final String worker;
    private final Owner owner;
    private final Consumer<WorkerConnection> onOpen;
    private final ResponseReader reader = new ResponseReader(this);
    private final LineDecoder lines = new LineDecoder(MAX_LINE_BYTES);
    private final OutboundRateMonitor uploadMonitor;

    private ConnectionState state = ConnectionState.IDLE;
    private long openedUs;
    private long idleSinceUs;
    private boolean used;

    /** The attempt whose outcome is awaited, or null. */
    private Attempt attempt;

    /** Whether the attempt's job may run twice. */
    private boolean idempotent;

    /** The probe whose result is awaited, or null. */
    private Probe probe;

    /** How long the connection had been idle before the current request, or {@link #NEVER_USED}. */
    private long idleBeforeRequestUs = NEVER_USED;

    /** The head of the current response; null until it was read. */
    private ResponseHead head;

    private LoadReport loadReport;

    /** Limits the time from the outcome to the end of the response, or null. */
    private EventLoop.Timer responseEndTimer;

    /**
     * @param onOpen receives the connection once it is up
     */
    WorkerConnection(
            EndPoint endPoint,
            EventLoop loop,
            String worker,
            Owner owner,
            Consumer<WorkerConnection> onOpen) {
        super(endPoint, loop);
        this.loop = loop;
        this.worker = worker;
        this.owner = owner;
        this.onOpen = onOpen;
        this.uploadMonitor =
                new OutboundRateMonitor(loop, UPLOAD_RATE, this::backlogBytes, this::uploadStalled);
    }

    String worker() {
        return worker;
    }

    long idleSinceUs() {
        return idleSinceUs;
    }

    /** Whether the connection is open, and was already open at that time. */
    boolean isOpenSince(long timeUs) {
        return !isClosed() && openedUs <= timeUs;
    }

    /** Whether the connection is open after all pending input was read. */
    boolean isStillOpen() {
        readAvailable();
        return !isClosed();
    }

    /** Whether the last byte of the current request was written. */
    boolean isRequestWritten() {
        return state.isRequestWritten();
    }

    /** How fast the worker receives its request; null if none is being written. */
    SlowPeer slowPeer() {
        return uploadMonitor.isWatching()
                ? uploadMonitor.describe("takes a request", worker)
                : null;
    }

    @Override
    protected void opened() {
        openedUs = loop.nowUs();
        idleSinceUs = loop.nowUs();
        owner.pool().opened(this);
        onOpen.accept(this);
    }

    /**
     * Sends a job.
     *
     * @param timeBudgetUs how long the worker may take
     * @param isIdempotent whether the job may run twice
     */
    void sendJob(Attempt next, long timeBudgetUs, boolean isIdempotent) {
        attempt = next;
        idempotent = isIdempotent;
        sendRequest(OutboundRequests.job(next.request(), timeBudgetUs));
    }

    /**
     * Sends a probe.
     *
     * @param timeoutUs within which the response has to arrive
     * @param resultIfOk the result to report if the response has status 200
     */
    void sendProbe(long timeoutUs, ProbeResult resultIfOk) {
        probe = new Probe(resultIfOk, loop.scheduleAfter(timeoutUs, this::probeTimedOut));
        sendRequest(OutboundRequests.probe());
    }

    /** Closes the connection of an attempt whose result is no longer needed. */
    void abort() {
        attempt = null;
        closeNow();
    }

    private void sendRequest(ByteBuffer[] request) {
        idleBeforeRequestUs = used ? loop.nowUs() - idleSinceUs : NEVER_USED;
        used = true;
        head = null;
        loadReport = null;
        transition(Event.REQUEST_STARTED);
        long bytes = BufferUtil.remaining(request);
        if (LargeUpload.isLarge(bytes)) {
            LargeUpload upload = LargeUpload.begin(request, bytes, loop.nowUs());
            write(() -> finishUpload(upload), request);
            upload.queued(backlogBytes());
        } else {
            write(this::requestWritten, request);
        }
        if (!isClosed()) {
            uploadMonitor.begin();
        }
    }

    /** Writes the last byte, unless the client has disconnected or the upload took too long. */
    private void finishUpload(LargeUpload upload) {
        if (attempt != null && !attempt.isClientWaiting() && isClosed()) {
            return;
        }
        long estimatedUs = upload.estimatedUs(loop.nowUs());
        if (attempt == null || !LargeUpload.isTooSlow(estimatedUs, attempt.expectedUploadUs())) {
            write(this::requestWritten, upload.lastByte());
            return;
        }
        attempt.recordUploadTime(LargeUpload.expectationAfter(estimatedUs));
        owner.statistics().uploadTooSlow(worker, estimatedUs);
        Attempt unsent = attempt;
        abort();
        owner.attempts().ended(unsent, Attempt.Completion.of(AttemptOutcome.NEVER_SENT));
    }

    private void requestWritten() {
        transition(Event.REQUEST_WRITTEN);
        uploadMonitor.end();
        if (probe == null) {
            owner.statistics().requestWritten(attempt);
        }
    }

    /** The last byte was not written, so the job provably never ran. */
    private void uploadStalled() {
        owner.statistics().uploadStalled(worker);
        fail();
    }

    /**
     * Reads the client's input first: if it has disconnected, its attempt is cancelled before more
     * of it is written.
     */
    @Override
    protected void readyForIo() {
        if (attempt != null && !isRequestWritten()) {
            attempt.isClientWaiting();
        }
    }

    /** Reads first what may have arrived while the event loop was blocked. */
    private void probeTimedOut() {
        Probe due = probe;
        readAvailable();
        if (due != null && isAwaited(due)) {
            fail();
        }
    }

    @SuppressWarnings("ReferenceEquality") // the same probe, not an equal one
    private boolean isAwaited(Probe due) {
        return probe == due;
    }

    @Override
    protected void received(ByteBuffer bytes) {
        if (state == ConnectionState.IDLE) { // unrequested, would pass for the next response
            closeNow();
            return;
        }
        reader.read(bytes);
        if (!isClosed()) {
            owner.responseMemory()
                    .setIncomplete(this, reader.headMemoryBytes() + lines.memoryBytes());
        }
        if (!isClosed() && state.isSettled() && responseEndTimer == null) {
            responseEndTimer = loop.scheduleAfter(RESPONSE_END_TIMEOUT_US, this::abort);
        }
    }

    @Override
    public void responseStarted(ResponseHead responseHead) {
        head = responseHead;
        loadReport = responseHead.loadReport();
        if (idleBeforeRequestUs != NEVER_USED) {
            owner.pool().recordReuse(idleBeforeRequestUs, false);
        }
    }

    @Override
    public void contentReceived(byte[] part) {
        if (!head.isOk() || attempt == null) {
            return;
        }
        List<String> complete = lines.decode(part);
        if (complete == null) {
            responseMalformed("line too long");
            return;
        }
        complete.forEach(this::lineReceived);
    }

    private void lineReceived(String line) {
        if (attempt == null || line.isEmpty()) {
            return;
        }
        Optional<JobProgress> decoded = JobProgress.decode(line, attempt.request().id());
        if (decoded.isEmpty()) {
            int shown = Math.min(MAX_LOGGED_LINE_CHARS, line.length());
            responseMalformed("no job's state: " + line.substring(0, shown));
            return;
        }
        JobProgress progress = decoded.get();
        loadReport = progress.loadReport() == null ? loadReport : progress.loadReport();
        switch (progress.state()) {
            case STARTED -> owner.attempts().started(attempt);
            case RUNNING -> {}
            case COMPLETED -> settleAttempt(AttemptOutcome.SERVED, progress.result());
            case FAILED -> settleAttempt(AttemptOutcome.ERROR, null);
            case HANDED_BACK -> settleAttempt(AttemptOutcome.FULL, null);
            case KILLED -> settleAttempt(AttemptOutcome.RESET, null);
        }
    }

    @Override
    public void responseCompleted(boolean reusable) {
        if (isClosed()) { // one of the response's lines has closed it
            return;
        }
        stopResponseEndTimer();
        if (!isRequestWritten()) { // not the response to this request, which is incomplete
            fail();
            return;
        }
        if (probe != null) {
            settleProbe(head.isOk() ? probe.resultIfOk() : ProbeResult.UNHEALTHY, loadReport);
        } else {
            settleAttempt(CompletedResponse.outcome(head, idempotent || isOwnResponse()), null);
        }
        transition(Event.RESPONSE_COMPLETED);
        lines.takeUnfinished();
        owner.responseMemory().removeIncomplete(this);
        if (reusable) {
            idleSinceUs = loop.nowUs();
            owner.pool().release(this);
        } else {
            closeNow();
        }
    }

    /** Whether a response without an id can only belong to the current request. */
    private boolean isOwnResponse() {
        return idleBeforeRequestUs == NEVER_USED || idleBeforeRequestUs >= QUIET_PERIOD_US;
    }

    @Override
    public void responseMalformed(String reason) {
        owner.statistics().responseMalformed(worker, reason);
        fail();
    }

    private void settleAttempt(AttemptOutcome outcome, String result) {
        if (attempt != null) {
            Attempt settled = attempt;
            attempt = null;
            transition(Event.OUTCOME_KNOWN);
            owner.attempts().ended(settled, new Attempt.Completion(outcome, loadReport, result));
        }
    }

    private void settleProbe(ProbeResult result, LoadReport report) {
        if (probe != null) {
            probe.timeout().cancel();
            probe = null;
            transition(Event.OUTCOME_KNOWN);
            owner.engine().probeEnded(worker, result, report);
        }
    }

    private void fail() {
        closeNow();
        connectionLost();
    }

    /** Settles the request; its outcome depends on whether its last byte was written. */
    @Override
    protected void connectionLost() {
        if (state == ConnectionState.IDLE) {
            owner.engine().workerConnectionLost(worker);
        } else if (head == null && idleBeforeRequestUs != NEVER_USED) {
            owner.pool().recordReuse(idleBeforeRequestUs, true);
        }
        settleProbe(ProbeResult.UNREACHABLE, null);
        settleAttempt(
                isRequestWritten() ? AttemptOutcome.RESET : AttemptOutcome.NOT_CONNECTED, null);
    }

    private void transition(Event event) {
        state = state.after(event);
    }

    private void stopResponseEndTimer() {
        if (responseEndTimer != null) {
            responseEndTimer.cancel();
            responseEndTimer = null;
        }
    }

    @Override
    protected void connectionClosed() {
        uploadMonitor.end();
        stopResponseEndTimer();
        lines.takeUnfinished();
        owner.responseMemory().removeIncomplete(this);
        if (attempt != null) {
            owner.attempts().checkEndsAfterClose(attempt);
        }
        owner.pool().closed(this);
    }
}
