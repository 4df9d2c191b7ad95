package damsonslip.faktory;

import damsonslip.config.ConfigurationException;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.engine.Frontend;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.LifecyclePhase.State;
import damsonslip.engine.SchedulerEngine;
import damsonslip.engine.SlowPeer;
import damsonslip.faktory.codec.Command;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobStore;
import damsonslip.store.MemoryStore;
import damsonslip.store.RedisStore;
import damsonslip.transport.Address;
import damsonslip.transport.ConnectionLimiter;
import damsonslip.transport.ConnectionManager;
import damsonslip.transport.ConnectionMemory;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.LimitedAcceptor;
import damsonslip.transport.ListeningPort;
import damsonslip.transport.datarate.BufferBudget;
import damsonslip.transport.datarate.HeapShare;
import damsonslip.transport.datarate.MinimumDataRate;
import damsonslip.transport.datarate.SharedBufferLimit;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.Comparator;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The Faktory frontend: listens for producers and workers, routes their commands, and owns the
 * services that handle them. Connections are accepted on the selector thread; commands are handled
 * on the event loop.
 */
public final class Faktory extends LimitedAcceptor<FaktoryConnection> implements Frontend {
    private static final Logger LOG = LoggerFactory.getLogger(Faktory.class);

    private static final long CONNECT_TIMEOUT_MS = 250;

    /**
     * The connection limit divided by this is the overflow: the number of connections that a burst
     * may open beyond the limit until others are closed.
     */
    private static final int OVERFLOW_DIVISOR = 8;

    /** The interval of the check for slow peers, and so the maximum delay until one is detected. */
    private static final long SLOW_PEER_CHECK_US = 500_000;

    private final EventLoop loop;
    private final LifecyclePhase phase;
    private final Counters counters;
    private final FaktoryConfig config;
    private final String configFile;
    private volatile Password password;
    private final SchedulerEngine engine;
    private final AsyncStore store;
    private final FaktoryServices services;
    private final CommandRouter router;

    /** The memory of the commands that are incomplete or being handled. */
    private final SharedBufferLimit<FaktoryConnection> commandMemory =
            SharedBufferLimit.of(HeapShare.COMMANDS);

    private volatile ListeningPort listener;

    /**
     * Creates the frontend; {@link #start} starts listening.
     *
     * @param configFile the configuration file, which {@link #reload} reads again
     * @throws ConfigurationException if the address of the store is not valid
     */
    public Faktory(
            EventLoop loop,
            LifecyclePhase phase,
            Counters counters,
            FaktoryConfig config,
            String configFile)
            throws ConfigurationException {
        super(
                new ConnectionLimiter<>(
                        maxConnections(config),
                        maxConnections(config) / OVERFLOW_DIVISOR,
                        connection -> !connection.isHandshakeComplete(),
                        Comparator.comparingLong(FaktoryConnection::openedUs)));
        this.loop = loop;
        this.phase = phase;
        this.counters = counters;
        this.config = config;
        this.configFile = configFile;
        this.password = new Password(config.password());
        this.engine =
                new SchedulerEngine(
                        config.site().settings(), new SecureRandom().nextLong(), loop, counters);
        this.store = new AsyncStore(loop, createStore(config));
        this.services = new FaktoryServices(loop, phase, counters, config, engine, store);
        this.router = new CommandRouter(services, counters, () -> limiter().connections().size());
        loop.repeatAfter(SLOW_PEER_CHECK_US, this::closeSlowPeers);
    }

    /** The configured number of connections, unless the heap has less room. */
    private static int maxConnections(FaktoryConfig config) {
        int withoutOverflow =
                ConnectionMemory.maxConnections() * OVERFLOW_DIVISOR / (OVERFLOW_DIVISOR + 1);
        return Math.min(config.maxConnections(), withoutOverflow);
    }

    private static JobStore createStore(FaktoryConfig config) throws ConfigurationException {
        if (!config.hasPersistentStore()) {
            return new MemoryStore();
        }
        try {
            return new RedisStore(
                    RedisStore.parseAddress(config.store()), config.storePassword(), config.name());
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("config: store: " + e.getMessage());
        }
    }

    @Override
    public void start() throws ConfigurationException, IOException {
        try {
            ConnectionManager network = ConnectionManager.start(loop, CONNECT_TIMEOUT_MS);
            loop.execute(this::beginServing);
            listener = network.listen(Address.parse(config.listen()), this);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("config: listen: " + e.getMessage());
        }
        LOG.info(
                "event=started name={} protocol=faktory address={} store={}",
                config.name(),
                config.listen(),
                config.store());
    }

    private void beginServing() {
        engine.start(services.consumers(), List.of());
        services.recover(router::recoveryCompleted);
        phase.advanceTo(State.SERVING);
    }

    /** Reloads the password, for new connections; other settings take effect at the next start. */
    @Override
    public void reload(long requestedNanoTime) {
        try {
            FaktoryConfig reloaded = FaktoryConfig.read(configFile);
            password = new Password(reloaded.password());
            LOG.info("event=configuration_reloaded settings=password");
        } catch (ConfigurationException e) {
            LOG.warn(
                    "event=configuration_not_reloaded reload: {}; what held before goes on",
                    e.getMessage());
        }
    }

    /** Starts a graceful shutdown; see {@link FaktoryShutdown}. */
    @Override
    public void shutDown() {
        if (listener == null) { // not listening yet, so there are no connections
            phase.advanceTo(State.ENDED);
            return;
        }
        loop.execute(this::beginShutdown);
    }

    private void beginShutdown() {
        long longestDeadlineUs =
                config.site().maxTimeBudgetsUs().stream()
                        .mapToLong(Long::longValue)
                        .max()
                        .orElse(0);
        new FaktoryShutdown(
                        loop,
                        phase,
                        longestDeadlineUs,
                        this::hasAwaitedJobs,
                        new ClosingConnections(),
                        listener)
                .begin();
    }

    /**
     * Whether an awaited job is open. With a persistent store, only those handed out count, since
     * the store retains the others.
     */
    private boolean hasAwaitedJobs() {
        return config.hasPersistentStore()
                ? services.reservations().awaitedCount() > 0
                : services.coordinator().dispatcher().awaitedCount() > 0;
    }

    private final class ClosingConnections implements FaktoryShutdown.Connections {
        @Override
        public void closeOnceIdle() {
            services.consumers().stopFetches();
            router.stopWaitingForRecovery();
            closeConnections();
        }

        @Override
        public boolean isEmpty() {
            return limiter().isEmpty();
        }
    }

    @Override
    public String jobClassName(int jobClass) {
        return config.site().classNames().get(jobClass);
    }

    @Override
    public SchedulerEngine engine() {
        return engine;
    }

    @Override
    public void close() {
        store.close();
    }

    @Override
    public EventLoopConnection open(EndPoint endPoint) {
        return new FaktoryConnection(endPoint, this);
    }

    @Override
    public void connectionOpened(FaktoryConnection connection) {
        counters.add(Count.CLIENT_LINKS_OPENED);
        super.connectionOpened(connection);
    }

    @Override
    public void connectionClosed(FaktoryConnection connection) {
        super.connectionClosed(connection);
        if (connection.worker() != null) {
            services.workers().disconnected(connection.worker(), connection);
        }
    }

    /** Handles a command received after the handshake; each gets exactly one reply. */
    void handle(FaktoryConnection connection, Command command) {
        router.handle(connection, command);
    }

    /** Registers the worker that sent HELLO on this connection. */
    Worker register(Command.Hello hello, FaktoryConnection connection) {
        return services.workers().register(hello, connection);
    }

    Password password() {
        return password;
    }

    /** The memory of the commands that are incomplete or being handled. */
    SharedBufferLimit<FaktoryConnection> commandMemory() {
        return commandMemory;
    }

    /** Closes connections with incomplete commands if all commands hold too much memory. */
    void enforceCommandMemory() {
        for (FaktoryConnection connection : commandMemory.chooseExcess(loop.nowUs())) {
            connection.discardIncomplete();
        }
    }

    /** Closes the slowest readers if the replies that are not read hold too much memory. */
    void enforceReplyMemory() {
        long maxBytes = HeapShare.REPLIES.bytes();
        List<BufferBudget.Usage<FaktoryConnection>> usages =
                limiter().connections().stream()
                        .map(FaktoryConnection::replyUsage)
                        .filter(usage -> usage.bufferedBytes() > 0)
                        .toList();
        for (FaktoryConnection connection : BufferBudget.chooseOverBudget(maxBytes, usages)) {
            connection.closeSlowReader("does not read its replies, which hold too much memory");
        }
    }

    MinimumDataRate.Limits peerLimits() {
        return config.minimumDataRate();
    }

    @Override
    public List<SlowPeer> slowPeers() {
        return SlowPeer.disconnectedSoonest(
                limiter().connections().stream()
                        .flatMap(connection -> connection.slowPeers(loop.nowUs())));
    }

    private void closeSlowPeers() {
        long now = loop.nowUs();
        List.copyOf(limiter().connections()).forEach(connection -> connection.closeIfTooSlow(now));
    }

    /** Counts and logs that a slow peer is being closed. */
    void recordSlowPeer(FaktoryConnection connection, Count reason, String behaviour) {
        counters.add(reason);
        LOG.info(
                "event=slow_peer_closed {} is disconnected for its low data rate: it {}",
                connection.worker() == null ? "a producer" : connection.worker().wid,
                behaviour);
    }

    int maxLineBytes() {
        return config.maxLineBytes();
    }

    void countWrongPassword() {
        counters.add(Count.PASSWORDS_WRONG);
    }

    EventLoop loop() {
        return loop;
    }
}
