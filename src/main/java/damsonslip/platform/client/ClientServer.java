package damsonslip.platform.client;

import damsonslip.admin.upgrade.UpgradeCoordinator;
import damsonslip.config.SiteSettings;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLog.Kind;
import damsonslip.engine.EventLoop;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.LifecyclePhase.State;
import damsonslip.engine.Request;
import damsonslip.engine.RequestContext;
import damsonslip.engine.SchedulerEngine;
import damsonslip.engine.SlowPeer;
import damsonslip.engine.invariants.CloseGuard;
import damsonslip.engine.shutdown.ConnectionDraining;
import damsonslip.platform.codec.ArrivalTime;
import damsonslip.platform.codec.BadRequestException;
import damsonslip.platform.codec.HttpRequest;
import damsonslip.platform.codec.RequestDecoder;
import damsonslip.platform.codec.WireFormat;
import damsonslip.transport.ConnectionLimiter;
import damsonslip.transport.ConnectionManager;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.ListeningPort;
import damsonslip.transport.OutboundRateMonitor;
import damsonslip.transport.datarate.BufferBudget;
import damsonslip.transport.datarate.HeapShare;
import damsonslip.transport.datarate.MinimumDataRate;
import damsonslip.transport.datarate.SharedBufferLimit;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Stream;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts clients' connections, and submits their requests to the engine. Used on the event loop
 * only, except for {@link #admit()}, {@link #admissionFailed} and {@link #open}, which the selector
 * calls.
 */
public final class ClientServer implements ConnectionManager.ConnectionAcceptor {
    private static final Logger LOG = LoggerFactory.getLogger(ClientServer.class);

    /**
     * The rate at which a client has to read its response: it may pause for 5 s at first, and later
     * for as long as the bytes that it has read take at 2 KB/s, the rate of a weak mobile link, but
     * 10 s at most. A response that fits into the operating system's socket buffers never stalls.
     */
    static final MinimumDataRate.Limits RESPONSE_RATE =
            new MinimumDataRate.Limits(5_000_000, 10_000_000, 2 * 1024);

    /**
     * How many bytes are buffered after a request: one further message. Until the buffer is full, a
     * close by the client is noticed even after pipelined bytes.
     */
    static final int MAX_PIPELINED_BYTES = WireFormat.MAX_HEADER_BYTES + WireFormat.MAX_BODY_BYTES;

    /** Hundreds of clients may exceed the limit at once; a line for each would flood the log. */
    private static final long MEMORY_LOG_INTERVAL_US = 1_000_000;

    /** How often connections are checked while they are drained. */
    private static final long DRAIN_INTERVAL_US = 50_000;

    private final ConnectionManager connections;
    private final RequestDecoder decoder;
    private final boolean sendsRetryAfter;
    private final SchedulerEngine engine;
    private final LifecyclePhase phase;
    private final Counters counters;
    private final ConnectionLimiter<ClientConnection> limiter;
    private final SharedBufferLimit<ClientConnection> requestMemory =
            SharedBufferLimit.of(HeapShare.CLIENT_REQUESTS);
    private final RequestIds requestIds = new RequestIds();
    private long nextMemoryLogUs;
    private long latestDeadlineUs = Long.MAX_VALUE;

    /** The rule by which connections are drained, or null. */
    private ConnectionDraining draining;

    private boolean hasSuccessor;

    /**
     * Accepts no connections yet.
     *
     * @param maxConnections how many connections are kept
     * @param overflow how many more may be open temporarily, until others have been closed for them
     */
    public ClientServer(
            ConnectionManager connections,
            SiteSettings site,
            SchedulerEngine engine,
            LifecyclePhase phase,
            Counters counters,
            int maxConnections,
            int overflow) {
        this.connections = connections;
        this.decoder = new RequestDecoder(site);
        this.sendsRetryAfter = site.sendsRetryAfter();
        this.engine = engine;
        this.phase = phase;
        this.counters = counters;
        this.limiter =
                new ConnectionLimiter<>(
                        maxConnections,
                        overflow,
                        ClientConnection::isEvictable,
                        ConnectionUsage::compareForEviction);
    }

    /**
     * Accepts connections from now on.
     *
     * @param shared whether another process may listen at the same address
     * @throws IOException if the address cannot be bound
     */
    public ListeningPort listen(InetSocketAddress address, boolean shared) throws IOException {
        return connections.listenOnPort(address, this, shared);
    }

    /** Changes how many connections are kept, and how many more may be open temporarily. */
    public void resize(int maxConnections, int overflow) {
        limiter.resize(maxConnections, overflow);
    }

    /**
     * Drains connections by this rule until {@link #stopDraining}; an earlier rule stays in effect.
     */
    public void startDraining(ConnectionDraining rule) {
        if (draining == null) {
            draining = rule;
            drainConnections(rule);
        }
    }

    /** Stops draining; connections are kept open again. */
    public void stopDraining() {
        draining = null;
    }

    @SuppressWarnings("ReferenceEquality") // a later drain may have an equal rule
    private void drainConnections(ConnectionDraining rule) {
        if (draining == rule) {
            List.copyOf(limiter.connections()).forEach(connection -> connection.drain(rule));
            loop().scheduleAfter(DRAIN_INTERVAL_US, () -> drainConnections(rule));
        }
    }

    /**
     * Whether no connection is left, and none is being accepted. A lingering connection counts: an
     * exit with bytes left unread would reset it, and its client might lose the last response.
     */
    public boolean isEmpty() {
        return limiter.isEmpty();
    }

    /**
     * Sets whether another process of this scheduler is serving at the same address. If so, health
     * checks succeed during the graceful shutdown as well.
     */
    public void setSuccessor(boolean serving) {
        hasSuccessor = serving;
    }

    boolean isHealthy() {
        return isReady() || (hasSuccessor && phase.hasReached(State.LEAVING));
    }

    boolean isReady() {
        return phase.is(State.SERVING);
    }

    @Override
    public boolean admit() {
        return limiter.admit();
    }

    @Override
    public void admissionFailed() {
        limiter.admissionFailed();
    }

    @Override
    public EventLoopConnection open(EndPoint endPoint) {
        return new ClientConnection(endPoint, this);
    }

    void opened(ClientConnection connection) {
        counters.add(Count.CLIENT_LINKS_OPENED);
        limiter.connectionOpened(connection);
    }

    void closed(ClientConnection connection, CloseGuard.Facts facts) {
        limiter.connectionClosed(connection);
        engine.eventLog().add(loop().nowUs(), Kind.CLIENT_CLOSED, facts.job(), facts.reason(), 0);
        engine.invariantMonitor().permits(CloseGuard.checkClientConnection(facts));
    }

    Request decode(HttpRequest request, ArrivalTime arrival) throws BadRequestException {
        return decoder.decode(request, arrival, latestDeadlineUs);
    }

    /**
     * Submits a request to the engine. Each request has a unique id, even a client's retry, so a
     * repeated id belongs to a duplicate, which must neither run nor affect the first request.
     *
     * @throws BadRequestException if the id was used before
     */
    RequestContext admit(Request request, ClientConnection connection) throws BadRequestException {
        if (engine.isIdInUse(request.id()) || !requestIds.claim(request.id())) {
            throw BadRequestException.duplicateId(request.id());
        }
        return engine.submit(request, connection);
    }

    /** Bounds the deadlines of all requests that are received from now on. */
    public void limitDeadlines(long latestUs) {
        latestDeadlineUs = Math.min(latestDeadlineUs, latestUs);
    }

    /** The ids of requests, which all processes of this scheduler share. */
    public UpgradeCoordinator.SharedMemoryUser requestIds() {
        return requestIds;
    }

    /** The memory that all clients' requests hold. */
    SharedBufferLimit<ClientConnection> requestMemory() {
        return requestMemory;
    }

    /** How many bytes a client may pipeline: less while all clients hold too much memory. */
    int maxPipelinedBytes() {
        return requestMemory.isExceeded() ? WireFormat.MAX_HEADER_BYTES : MAX_PIPELINED_BYTES;
    }

    /**
     * Discards incomplete requests if all requests together hold too much memory. Not called while
     * a request is being submitted to the engine.
     */
    void enforceRequestMemory() {
        List<ClientConnection> excess = requestMemory.chooseExcess(loop().nowUs());
        if (!excess.isEmpty()) {
            logRequestMemory(excess.size());
            excess.forEach(ClientConnection::discardIncomplete);
        }
    }

    private void logRequestMemory(int connectionCount) {
        long nowUs = loop().nowUs();
        if (nowUs >= nextMemoryLogUs) {
            nextMemoryLogUs = nowUs + MEMORY_LOG_INTERVAL_US;
            LOG.warn(
                    "event=request_memory_exceeded connections={} held_bytes={} requests that are"
                            + " not complete hold more than their part of the heap; rejecting those"
                            + " that have held the most for the longest time",
                    connectionCount,
                    requestMemory.heldBytes());
        }
    }

    /**
     * Bounds the total memory that unread responses hold; checked when another response could not
     * be written at once.
     */
    void checkResponseBuffers(OutboundRateMonitor newest) {
        if (!newest.isWatching()) {
            return;
        }
        List<ClientConnection> overBudget =
                BufferBudget.chooseOverBudget(
                        HeapShare.CLIENT_RESPONSES.bytes(),
                        slowReaders()
                                .map(reader -> reader.responseMonitor().bufferUsage(reader))
                                .toList());
        overBudget.forEach(
                reader -> {
                    LOG.warn(
                            "event=response_budget_exceeded"
                                    + " answers that are not read hold more than their share of"
                                    + " the heap; closing a slow client's connection");
                    reader.closeSlowReader();
                });
    }

    private Stream<ClientConnection> slowReaders() {
        return limiter.connections().stream()
                .filter(connection -> connection.responseMonitor().isWatching());
    }

    /** The clients to which a response is being written. */
    public Stream<SlowPeer> slowPeers() {
        return slowReaders().map(ClientConnection::slowPeer);
    }

    void slowReaderClosed() {
        counters.add(Count.SLOW_READERS_LET_GO);
        LOG.warn(
                "event=slow_reader_closed"
                        + " a client reads nothing of its answer; closing its connection");
    }

    void rejected(BadRequestException failure) {
        counters.add(Count.QUERIES_BAD);
        engine.eventLog()
                .add(
                        loop().nowUs(),
                        Kind.REFUSED_AS_BAD,
                        "",
                        failure.getMessage(),
                        failure.status());
    }

    boolean sendsRetryAfter() {
        return sendsRetryAfter;
    }

    EventLoop loop() {
        return connections.loop();
    }

    SchedulerEngine engine() {
        return engine;
    }
}
