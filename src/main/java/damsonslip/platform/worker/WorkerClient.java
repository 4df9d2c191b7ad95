package damsonslip.platform.worker;

import damsonslip.config.SiteSettings;
import damsonslip.engine.Attempt;
import damsonslip.engine.Counters;
import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.engine.SlowPeer;
import damsonslip.engine.WorkerGateway;
import damsonslip.membership.DiscoveryWatch;
import damsonslip.platform.codec.EndpointList;
import damsonslip.platform.codec.EndpointListDecoder;
import damsonslip.platform.discovery.DiscoveryClient;
import damsonslip.platform.discovery.WorkerRegistry;
import damsonslip.policy.api.DiscoveryAddressState;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.transport.ConnectionManager;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Stream;

/**
 * The engine's gateway to the workers and to discovery. Assembles the parts of this package and
 * delegates each call to the one that is responsible. Used on the event loop only.
 */
public final class WorkerClient implements WorkerGateway {
    /** For a probe that may use any connection, whenever it was opened. */
    private static final long ANY_TIME = Long.MAX_VALUE;

    /** How long to wait for a pushed list, which arrives at once unless discovery is down. */
    private static final long FIRST_PUSHED_LIST_TIMEOUT_US = 500_000;

    /** After this time the policy uses the cached list, whether or not discovery responds. */
    private static final long FIRST_POLLED_LIST_TIMEOUT_US = DiscoveryWatch.FIRST_LIST_TIMEOUT_US;

    private final SchedulerEngine engine;
    private final boolean pollsWorkerList;
    private final EventLoop loop;
    private final WorkerRegistry registry;
    private final EndpointListDecoder listDecoder;
    private final DiscoveryClient discovery;
    private final InFlightAttempts inFlight;
    private final ConnectionPool pool;
    private final WorkerConnector connector;
    private final AttemptSender sender;
    private final WorkerProber prober;

    /**
     * Opens no connection yet.
     *
     * @param discoveryAddress where discovery listens
     * @param maxConnections how many connections to workers may be open
     */
    public WorkerClient(
            ConnectionManager connections,
            SiteSettings site,
            SchedulerEngine engine,
            Counters counters,
            InetSocketAddress discoveryAddress,
            int maxConnections) {
        this.engine = engine;
        this.pollsWorkerList = site.settings().pollsWorkerList();
        this.loop = connections.loop();
        this.registry = new WorkerRegistry(site.settings().guarantees().drainGraceUs());
        this.listDecoder = new EndpointListDecoder(site, registry::address);
        this.discovery =
                new DiscoveryClient(
                        connections,
                        discoveryAddress,
                        registry,
                        listDecoder,
                        engine,
                        !pollsWorkerList);
        WorkerStatistics statistics = new WorkerStatistics(counters, engine.eventLog(), loop);
        this.inFlight = new InFlightAttempts(engine, loop);
        this.pool = new ConnectionPool(loop, statistics, site.workerIdleTimeoutUs());
        this.connector =
                new WorkerConnector(
                        connections, pool, inFlight, engine, statistics, maxConnections);
        SendPermission permission = new SendPermission(registry, engine, loop);
        this.sender =
                new AttemptSender(
                        site,
                        engine,
                        loop,
                        registry,
                        permission,
                        pool,
                        connector,
                        inFlight,
                        statistics);
        this.prober =
                new WorkerProber(
                        engine, loop, registry, permission, pool, connector, site.probeTimeoutUs());
    }

    /**
     * The decoder of endpoint lists; before {@link #begin}, it is used on the thread that starts
     * the program.
     */
    public EndpointListDecoder listDecoder() {
        return listDecoder;
    }

    /**
     * Starts with the list that was cached before a restart.
     *
     * @return its workers, for the scheduling policy
     */
    public List<WorkerEntry> begin(EndpointList cached) {
        pool.startSweeping();
        return registry.apply(cached, loop.nowUs());
    }

    /**
     * Runs an action once this scheduler knows enough to serve. If lists are pushed, that is when
     * the first one has been received or has not arrived in time. If they are polled, the cached
     * list is enough, unless another process is serving meanwhile.
     *
     * @param peerServing whether another process of this scheduler is serving
     */
    public void whenReadyToServe(boolean peerServing, Runnable action) {
        if (!pollsWorkerList) {
            discovery.watch();
            discovery.onFirstList(FIRST_PUSHED_LIST_TIMEOUT_US, action);
        } else if (peerServing) {
            discovery.onFirstList(FIRST_POLLED_LIST_TIMEOUT_US, action);
        } else {
            action.run();
        }
    }

    /** Changes how many connections may be open; idle ones beyond that are closed. */
    public void resize(int maxConnections) {
        connector.resize(maxConnections);
    }

    @Override
    public void send(Attempt attempt) {
        sender.send(attempt);
    }

    @Override
    public void cancel(Attempt attempt) {
        inFlight.cancel(attempt);
    }

    @Override
    public boolean withdrawUnsent(Attempt attempt) {
        return inFlight.withdraw(attempt);
    }

    @Override
    public void probe(String worker, long connectedBeforeUs) {
        if (connectedBeforeUs == ANY_TIME) {
            prober.probe(worker);
        } else {
            prober.probeOverConnectionOpenedBy(worker, connectedBeforeUs);
        }
    }

    @Override
    public void watchWorkerList() {
        discovery.watch();
    }

    /**
     * Applies discovery's address from a reloaded configuration.
     *
     * @param reloadUs when the reload was requested
     */
    public void changeDiscoveryAddress(InetSocketAddress address, long reloadUs) {
        discovery.changeAddress(address, reloadUs);
    }

    /**
     * Reports to the scheduling policy whether a reloaded configuration could be read.
     *
     * @param reloadUs when the reload was requested
     */
    public void reportReload(DiscoveryAddressState state, long reloadUs) {
        engine.discoveryAddressChanged(state, reloadUs);
    }

    /** The workers to which a request is being written. */
    public Stream<SlowPeer> slowPeers() {
        return pool.slowPeers();
    }
}
