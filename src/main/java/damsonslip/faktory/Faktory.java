package damsonslip.faktory;

import damsonslip.config.ConfigurationException;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLoop;
import damsonslip.engine.Frontend;
import damsonslip.engine.GracefulShutdown;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.LifecyclePhase.State;
import damsonslip.engine.SchedulerEngine;
import damsonslip.engine.SlowPeer;
import damsonslip.faktory.codec.Command;
import damsonslip.faktory.codec.Reply;
import damsonslip.faktory.jobs.JobTable;
import damsonslip.faktory.jobs.RetryPolicy.RunFailure;
import damsonslip.store.AsyncStore;
import damsonslip.store.JobStore;
import damsonslip.store.MemoryStore;
import damsonslip.store.RedisStore;
import damsonslip.transport.Address;
import damsonslip.transport.ConnectionLimiter;
import damsonslip.transport.ConnectionManager;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.LimitedAcceptor;
import damsonslip.transport.datarate.MinimumDataRate;
import java.io.Closeable;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The Faktory front: listens for producers and workers, routes their commands, and owns the
 * services behind them. Connections are accepted on the selector's thread; commands are handled on
 * the event loop.
 */
public final class Faktory extends LimitedAcceptor<FaktoryConnection> implements Frontend {
    private static final Logger LOG = LoggerFactory.getLogger(Faktory.class);

    /** How long a graceful shutdown still accepts connections. */
    private static final long SHUTDOWN_ACCEPT_US = 300_000;

    private static final long CONNECT_TIMEOUT_MS = 250;

    /**
     * For a burst, the limit on connections divided by this may be held beyond it until others are
     * closed.
     */
    private static final int OVERFLOW_DIVISOR = 8;

    /** Interval of the check for slow peers, and so the delay until one is noticed. */
    private static final long SLOW_PEER_CHECK_US = 500_000;

    /**
     * Characters kept of a failure report, since it stays in memory while the job waits for its
     * retry.
     */
    private static final int MAX_ERROR_TYPE = 256;

    private static final int MAX_ERROR_MESSAGE = 2_048;

    /** Reports on jobs that are kept until the recovery from the store has ended. */
    private static final int MAX_EARLY_REPORTS = 10_000;

    private final EventLoop loop;
    private final LifecyclePhase phase;
    private final Counters counters;
    private final FaktoryConfig config;
    private final String file;
    private volatile Password password;
    private final SchedulerEngine driver;
    private final AsyncStore store;
    private final Consumers consumers;
    private final JobCoordinator coordinator;
    private final BatchService batches;
    private final Producers producers;
    private final AdminCommands adminCommands;

    /** Reports on jobs that came before the recovery ended; null after it. */
    private List<Runnable> earlyReports = new ArrayList<>();

    private long commands;
    private long bufferedBytes;
    private volatile Closeable listener;

    public Faktory(
            EventLoop loop,
            LifecyclePhase phase,
            Counters counters,
            FaktoryConfig config,
            String file)
            throws ConfigurationException {
        super(
                new ConnectionLimiter<>(
                        config.maxConnections(),
                        config.maxConnections() / OVERFLOW_DIVISOR,
                        link -> !link.isGreeted(),
                        Comparator.comparingLong(FaktoryConnection::openedUs)));
        this.loop = loop;
        this.phase = phase;
        this.counters = counters;
        this.config = config;
        this.file = file;
        this.password = new Password(config.password());
        this.driver =
                new SchedulerEngine(
                        config.site().settings(), new SecureRandom().nextLong(), loop, counters);
        this.store = new AsyncStore(loop, store(config));
        this.consumers = new Consumers(loop, config.site(), driver, store, counters);
        this.coordinator =
                new JobCoordinator(
                        loop,
                        config.site(),
                        driver,
                        store,
                        phase,
                        counters,
                        new JobTable(config.site().classNames().size(), config.jobLimits()),
                        consumers,
                        config.fairQueueOrder());
        this.batches = new BatchService(store, coordinator);
        this.producers = new Producers(loop, store, phase, counters, config, coordinator, batches);
        this.adminCommands =
                new AdminCommands(loop, store, counters, coordinator, batches, consumers);
        consumers.setCoordinator(coordinator);
        batches.setProducers(producers);
        loop.in(SLOW_PEER_CHECK_US, this::closeSlowPeers);
    }

    private static JobStore store(FaktoryConfig config) throws ConfigurationException {
        if (config.store().equals("memory")) {
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
            loop.execute(
                    () -> {
                        driver.begin(consumers, List.of());
                        new Recovery(
                                        loop,
                                        config.site(),
                                        store,
                                        counters,
                                        config.routes(),
                                        coordinator,
                                        batches,
                                        this::recovered)
                                .begin();
                        phase.moveTo(State.SERVING);
                    });
            listener = network.listen(Address.parse(config.listen()), this);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("config: listen: " + e.getMessage());
        }
        LOG.info(
                "{} speaks Faktory on {}, store {}",
                config.name(),
                config.listen(),
                config.store());
    }

    /**
     * Reads the password again, for new connections; other settings take effect at the next start.
     */
    @Override
    public void reload(long signalNs) {
        try {
            FaktoryConfig fresh = FaktoryConfig.read(file);
            password = new Password(fresh.password());
            LOG.info(
                    "reload: the password is read again; anything else takes effect at the next"
                            + " start");
        } catch (ConfigurationException e) {
            LOG.warn("reload: {}; what held before goes on", e.getMessage());
        }
    }

    /**
     * Starts a graceful shutdown. Jobs that were not handed out stay in the store for the next
     * start, and so do unawaited jobs that workers have, whose reports may come after it. Only
     * awaited jobs are waited for here.
     */
    @Override
    public void leave() {
        long longest =
                config.site().deadlinesUs().stream().mapToLong(Long::longValue).max().orElse(0);
        boolean lasting = !config.store().equals("memory");
        if (listener == null) { // no connection was possible yet
            phase.moveTo(State.ENDED);
            return;
        }
        loop.execute(
                () ->
                        new GracefulShutdown(
                                        loop,
                                        phase,
                                        SHUTDOWN_ACCEPT_US,
                                        longest,
                                        () -> false,
                                        this::closeListener,
                                        () ->
                                                lasting
                                                        ? consumers.awaitedWithWorkers() == 0
                                                        : coordinator.awaitedCount() == 0)
                                .begin());
    }

    private void closeListener() {
        try {
            listener.close();
        } catch (IOException e) {
            LOG.warn("the listener did not close: {}", e.getMessage());
        }
    }

    @Override
    public String className(int jobClass) {
        return config.site().classNames().get(jobClass);
    }

    @Override
    public SchedulerEngine driver() {
        return driver;
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
    public void opened(FaktoryConnection link) {
        counters.add(Count.CLIENT_LINKS_OPENED);
        super.opened(link);
    }

    @Override
    public void closed(FaktoryConnection link) {
        super.closed(link);
        if (link.worker() != null) {
            consumers.disconnected(link.worker(), link);
        }
    }

    /** Handles a command of a connection that has said HELLO; each gets exactly one reply. */
    void handle(FaktoryConnection link, Command command) {
        commands++;
        if (command instanceof Command.Push push) {
            producers.push(link, push);
        } else if (command instanceof Command.Fetch fetch) {
            consumers.fetch(link, fetch);
        } else if (command instanceof Command.Ack ack) {
            report(link, ack.jid(), null);
        } else if (command instanceof Command.Fail fail) {
            report(
                    link,
                    fail.jid(),
                    new RunFailure(
                            cut(fail.type(), MAX_ERROR_TYPE),
                            cut(fail.message(), MAX_ERROR_MESSAGE),
                            fail.backtrace()));
        } else if (command instanceof Command.Heartbeat beat) {
            consumers.heartbeat(link, beat);
        } else if (command instanceof Command.TrackGet track) {
            producers.track(link, track.jid());
        } else if (command instanceof Command.TrackSet track) {
            updateProgress(link, track);
        } else if (command instanceof Command.Info) {
            link.reply(Reply.bulk(adminCommands.info(room().all().size(), commands)));
        } else if (command instanceof Command.End) {
            link.end();
        } else {
            manage(link, command);
        }
    }

    private void manage(FaktoryConnection link, Command command) {
        if (command instanceof Command.Mutate mutate) {
            adminCommands.mutate(link, mutate);
        } else if (command instanceof Command.Queue queue) {
            adminCommands.queue(link, queue);
        } else if (command instanceof Command.Flush) {
            adminCommands.flush(link);
        } else if (command instanceof Command.BatchNew fresh) {
            batches.create(link, fresh);
        } else if (command instanceof Command.BatchOpen open) {
            batches.open(link, open.bid());
        } else if (command instanceof Command.BatchCommit commit) {
            batches.commit(link, commit.bid());
        } else if (command instanceof Command.BatchStatus status) {
            batches.status(link, status.bid());
        } else {
            link.reply(Reply.error("ERR HELLO was said already"));
        }
    }

    private static String cut(String text, int most) {
        return text.length() <= most ? text : text.substring(0, most);
    }

    /**
     * Handles a worker's report on a job. One that comes after the job's end, or from a worker that
     * no longer has the job, is counted and changes nothing, since the final answer has been given.
     */
    private void report(FaktoryConnection link, String jid, RunFailure how) {
        if (link.worker() == null) {
            link.reply(Reply.error("ERR only a worker may tell how a job ended"));
            return;
        }
        if (earlyReports != null) { // the job may not have been recovered from the store yet
            if (earlyReports.size() < MAX_EARLY_REPORTS) {
                earlyReports.add(() -> report(link, jid, how));
            } else {
                link.reply(
                        Reply.error(
                                "ERR what is in the store is being taken up; tell it again in a"
                                        + " moment"));
            }
            return;
        }
        java.util.function.Consumer<String> acknowledge =
                error -> link.reply(error == null ? Reply.ok() : Reply.error(error));
        if (!consumers.report(link.worker(), jid, how, acknowledge)
                && !coordinator.reportUndispatched(link.worker().wid, jid, how, acknowledge)) {
            counters.add(Count.WORDS_LATE);
            link.reply(Reply.ok());
        }
    }

    private void updateProgress(FaktoryConnection link, Command.TrackSet track) {
        producers.setProgress(track);
        if (track.reserveUntilMs() > 0
                && (link.worker() == null
                        || !consumers.extend(link.worker(), track.jid(), track.reserveUntilMs()))) {
            link.reply(Reply.error("ERR this worker does not have job " + track.jid()));
            return;
        }
        link.reply(Reply.ok());
    }

    private void recovered() {
        producers.recovered();
        batches.recovered();
        List<Runnable> reports = earlyReports;
        earlyReports = null;
        reports.forEach(Runnable::run);
    }

    Consumers consumers() {
        return consumers;
    }

    Password password() {
        return password;
    }

    /** Adds to, or with a negative number takes from, the bytes buffered of incomplete commands. */
    void addBuffered(int bytes) {
        bufferedBytes += bytes;
    }

    long bufferedBytes() {
        return bufferedBytes;
    }

    MinimumDataRate.Limits peerLimits() {
        return config.minimumDataRate();
    }

    @Override
    public List<SlowPeer> slowPeers() {
        return SlowPeer.slowest(room().all().stream().flatMap(link -> link.slowPeers(loop.now())));
    }

    private void closeSlowPeers() {
        long now = loop.now();
        List.copyOf(room().all()).forEach(link -> link.closeIfTooSlow(now));
        loop.in(SLOW_PEER_CHECK_US, this::closeSlowPeers);
    }

    void closing(FaktoryConnection link, Count reason, String behaviour) {
        counters.add(reason);
        LOG.info(
                "{} is let go: it {}",
                link.worker() == null ? "a producer" : link.worker().wid,
                behaviour);
    }

    int maxLineBytes() {
        return config.maxLineBytes();
    }

    void wrongPassword() {
        counters.add(Count.PASSWORDS_WRONG);
    }

    EventLoop loop() {
        return loop;
    }
}
