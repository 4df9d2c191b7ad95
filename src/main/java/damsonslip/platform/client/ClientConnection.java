package damsonslip.platform.client;

import damsonslip.engine.EventLoop;
import damsonslip.engine.Request;
import damsonslip.engine.RequestContext;
import damsonslip.engine.Response;
import damsonslip.engine.ResponseListener;
import damsonslip.engine.SlowPeer;
import damsonslip.engine.shutdown.ConnectionDraining;
import damsonslip.platform.codec.ArrivalTime;
import damsonslip.platform.codec.BadRequestException;
import damsonslip.platform.codec.ClientResponse;
import damsonslip.platform.codec.HttpRequest;
import damsonslip.platform.codec.RequestReader;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.OutboundRateMonitor;
import java.nio.ByteBuffer;
import org.eclipse.jetty.io.EndPoint;

/**
 * One connection of a client, which carries one request at a time; {@link ClientConnectionState}
 * holds its states. Used on the event loop only.
 */
final class ClientConnection extends EventLoopConnection implements ResponseListener {
    /**
     * Within this time a request has to be complete, counted from the opening of the connection or
     * from the request's first bytes.
     */
    private static final long REQUEST_TIMEOUT_US = 2_000_000;

    private final ClientServer server;
    private final EventLoop loop;
    private final OutboundRateMonitor responseMonitor;
    private final RequestReader reader = new RequestReader();
    private final ArrivalTimes arrivalTimes = new ArrivalTimes();
    private final RequestMemory memory;

    private ClientConnectionState state = ClientConnectionState.RECEIVING;

    /**
     * The complete request in state {@link ClientConnectionState#RECEIVED}, else null. If the event
     * loop was blocked, the client's close may have arrived right after its request.
     */
    private Request receivedRequest;

    /** The request in state {@link ClientConnectionState#PROCESSING}, else null. */
    private RequestContext context;

    /** Whether the connection is closed after the current response. */
    private boolean closing;

    /** Limits the time for a request to arrive, or null. */
    private EventLoop.Timer requestTimer;

    private int requests;
    private int served;
    private long idleSinceUs;

    ClientConnection(EndPoint endPoint, ClientServer server) {
        super(endPoint, server.loop(), ClientServer.MAX_PIPELINED_BYTES);
        this.server = server;
        this.loop = server.loop();
        this.memory = new RequestMemory(server.requestMemory(), this, loop);
        this.responseMonitor =
                new OutboundRateMonitor(
                        loop,
                        ClientServer.RESPONSE_RATE,
                        this::backlogBytes,
                        this::closeSlowReader);
    }

    @Override
    protected void opened() {
        idleSinceUs = loop.nowUs();
        startRequestTimer();
        server.opened(this);
    }

    @Override
    protected void received(ByteBuffer bytes) {
        if (closing) {
            return;
        }
        ArrivalTime now = new ArrivalTime(arrivedAfterUs(), arrivalUs());
        arrivalTimes.buffered(bytes.remaining(), now);
        if (state != ClientConnectionState.RECEIVING) {
            checkPipelined(bytes);
            return;
        }
        try {
            int before = bytes.remaining();
            HttpRequest request = reader.read(bytes);
            ArrivalTime arrival = arrivalTimes.consumed(before - bytes.remaining(), now);
            if (request == null) {
                awaitRest();
                return;
            }
            requests++;
            stopRequestTimer();
            if (!RequestReader.mayBeginRequest(bytes)) {
                throw BadRequestException.longerThanAnnounced();
            }
            memory.setReadAhead(bytes);
            handle(request, arrival);
        } catch (BadRequestException e) {
            reject(e);
        }
    }

    private void awaitRest() {
        memory.setIncomplete(reader.incompleteBytes());
        if (reader.takeExpectContinue()) {
            write(() -> {}, ClientResponse.encodeContinue());
        }
        if (reader.isMidRequest() && requestTimer == null) {
            startRequestTimer();
        }
        server.enforceRequestMemory();
    }

    /**
     * Checks the bytes after the current request. If they cannot begin another request, the
     * announced length was too small, and a truncated request must not be served.
     */
    private void checkPipelined(ByteBuffer bytes) {
        boolean isRequest = RequestReader.mayBeginRequest(bytes);
        memory.setReadAhead(bytes);
        if (isRequest && bytes.remaining() < server.maxPipelinedBytes()) {
            return;
        }
        if (context == null && receivedRequest == null) { // its response is being written already
            closing |= !isRequest;
            return;
        }
        rejectPipelined(
                isRequest
                        ? BadRequestException.pipelinedTooMuch()
                        : BadRequestException.longerThanAnnounced());
    }

    /** Rejects the current request because of the bytes after it. */
    private void rejectPipelined(BadRequestException reason) {
        if (context != null) {
            server.engine().clientDisconnected(context);
        }
        context = null;
        receivedRequest = null;
        reject(reason);
    }

    /**
     * Gives up what the client has sent and no response is owed for yet, since all clients together
     * hold too much memory.
     */
    void discardIncomplete() {
        memory.removeIncomplete();
        switch (state) {
            case RECEIVING -> {
                stopRequestTimer();
                reject(BadRequestException.outOfMemory());
            }
            case RECEIVED, PROCESSING -> rejectPipelined(BadRequestException.pipelinedTooMuch());
            case ADMITTING, RESPONDING -> closeAfterResponse();
        }
    }

    private void handle(HttpRequest request, ArrivalTime arrival) throws BadRequestException {
        switch (request.route()) {
            case JOB -> {
                Request decoded = server.decode(request, arrival);
                if (decoded.deadlineUs() <= loop.nowUs()) {
                    respond(ClientResponse.expiredBeforeAdmission());
                    return;
                }
                if (!memory.tryAccept(request.memoryBytes())) {
                    throw BadRequestException.outOfMemory();
                }
                receivedRequest = decoded;
                transitionTo(ClientConnectionState.RECEIVED);
                server.enforceRequestMemory();
            }
            case HEALTH -> respond(ClientResponse.health(server.isHealthy()));
        }
    }

    @Override
    protected void readComplete() {
        if (receivedRequest == null) {
            return;
        }
        Request request = receivedRequest;
        receivedRequest = null;
        transitionTo(ClientConnectionState.ADMITTING);
        try {
            RequestContext admitted = server.admit(request, this);
            if (!admitted.isClosed()) {
                context = admitted;
                transitionTo(ClientConnectionState.PROCESSING);
            }
        } catch (BadRequestException e) {
            reject(e);
        }
    }

    /** During admission there is nothing to read: all input was read right before it. */
    @Override
    public void readPendingInput() {
        if (context != null) {
            readAvailable();
        }
    }

    @Override
    public void respond(Response response) {
        context = null;
        if (response.kind() == Response.Kind.SERVED) {
            served++;
        }
        respond(ClientResponse.of(response, server.sendsRetryAfter()));
    }

    /**
     * Closes the connection after the response: a malformed message may hide others (request
     * smuggling).
     */
    private void reject(BadRequestException failure) {
        closeAfterResponse();
        server.rejected(failure);
        respond(ClientResponse.of(failure));
    }

    private void respond(ClientResponse response) {
        transitionTo(ClientConnectionState.RESPONDING);
        memory.releaseAccepted();
        if (!reader.isPersistent() || !server.isReady()) {
            closeAfterResponse();
        }
        write(this::responseWritten, response.encode(closing));
        if (!isClosed()) {
            responseMonitor.begin();
            server.checkResponseBuffers(responseMonitor);
        }
    }

    /** Closes the connection after the response; what the client has sent since is discarded. */
    private void closeAfterResponse() {
        closing = true;
        reader.discard();
        discardReadAhead();
        memory.removeIncomplete();
    }

    private void responseWritten() {
        responseMonitor.end();
        if (closing) {
            closeAfterWrites();
            return;
        }
        transitionTo(ClientConnectionState.RECEIVING);
        idleSinceUs = loop.nowUs();
        reader.reset();
        loop.execute(this::resumeReading);
    }

    private void transitionTo(ClientConnectionState next) {
        state = state.next(next);
    }

    private void startRequestTimer() {
        requestTimer = loop.scheduleAfter(REQUEST_TIMEOUT_US, this::requestTimedOut);
    }

    private void stopRequestTimer() {
        if (requestTimer != null) {
            requestTimer.cancel();
            requestTimer = null;
        }
    }

    /** Closes a connection that sends nothing or never completes its request, to free its place. */
    private void requestTimedOut() {
        requestTimer = null;
        boolean wasMidRequest = reader.isMidRequest();
        readAvailable();
        if (isBusy() || isClosed()) {
            return;
        }
        if (wasMidRequest) {
            stopRequestTimer();
            reject(BadRequestException.incomplete());
        } else if (!reader.isMidRequest()) { // a request that has just begun has a timer of its own
            closeAfterWrites();
        }
    }

    /** How fast the client reads its response. */
    SlowPeer slowPeer() {
        return responseMonitor.describe("reads an answer", remoteAddress());
    }

    OutboundRateMonitor responseMonitor() {
        return responseMonitor;
    }

    /** Closes a connection whose client does not read its response. */
    void closeSlowReader() {
        server.slowReaderClosed();
        closeNow();
    }

    /** Applies a rule of connection draining. */
    void drain(ConnectionDraining draining) {
        switch (draining.actionFor(loop.nowUs(), isBusy(), reader.isMidRequest(), idleSinceUs)) {
            case KEEP -> {}
            case CLOSE -> closeIfIdle();
            case REJECT -> rejectIncomplete();
        }
    }

    /** Closes the connection between requests; one that has just arrived is served first. */
    private void closeIfIdle() {
        if (isIdle()) {
            readAvailable();
        }
        if (isIdle() && !isClosed()) {
            closeAfterWrites();
        }
    }

    private void rejectIncomplete() {
        closeAfterResponse();
        stopRequestTimer();
        respond(ClientResponse.draining());
    }

    @Override
    protected void closeGracefully() {
        if (!isBusy() && reader.isMidRequest()) {
            rejectIncomplete();
        } else {
            closeAfterWrites();
        }
    }

    private boolean isBusy() {
        return state != ClientConnectionState.RECEIVING;
    }

    private boolean isIdle() {
        return !isBusy() && !reader.isMidRequest();
    }

    /** Whether it may be closed to make room for new connections. */
    boolean isEvictable() {
        return !isBusy() || isLingering();
    }

    long idleSinceUs() {
        return idleSinceUs;
    }

    /** How much the connection has been used. */
    ConnectionUsage usage() {
        if (isLingering()) {
            return ConnectionUsage.LINGERING;
        }
        if (requests == 0 && !reader.isMidRequest()) {
            return ConnectionUsage.SILENT;
        }
        return served == 0 ? ConnectionUsage.UNSERVED : ConnectionUsage.SERVED;
    }

    @Override
    protected void connectionLost() {
        if (context != null) {
            server.engine().clientDisconnected(context);
        }
    }

    @Override
    protected void connectionClosed() {
        responseMonitor.end();
        stopRequestTimer();
        memory.releaseAccepted();
        reader.discard();
        memory.removeIncomplete();
        server.closed(
                this, CloseFacts.of(receivedRequest, context, isClosedByPeer(), isLingering()));
        receivedRequest = null;
    }
}
