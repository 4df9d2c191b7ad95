package damsonslip.platform;

import damsonslip.config.ConfigurationException;
import damsonslip.config.SchedulerConfig;
import damsonslip.engine.Counters;
import damsonslip.engine.EventLog.Kind;
import damsonslip.engine.EventLoop;
import damsonslip.engine.Frontend;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.LifecyclePhase.State;
import damsonslip.engine.SchedulerEngine;
import damsonslip.engine.SlowPeer;
import damsonslip.engine.invariants.StartGuard;
import damsonslip.engine.shutdown.ConnectionDraining;
import damsonslip.membership.peers.PeerProcesses;
import damsonslip.platform.client.ClientServer;
import damsonslip.platform.codec.EndpointList;
import damsonslip.platform.worker.WorkerClient;
import damsonslip.transport.ConnectionManager;
import damsonslip.transport.DescriptorShortage;
import damsonslip.transport.ListeningPort;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The platform's front end: assembles the client side, the worker side and discovery, starts them
 * in order, and carries out operators' commands. {@link #start}, {@link #reload} and {@link #close}
 * are called on other threads; everything else runs on the event loop.
 */
public final class Platform implements Frontend {
    private static final Logger LOG = LoggerFactory.getLogger(Platform.class);

    /**
     * A start that takes longer has failed. The limit is generous, since many processes that start
     * at once slow each other down, and one that gave up early would have to be started again.
     */
    private static final long START_TIMEOUT_MS = 30_000;

    private static final long MICROS_PER_MILLI = 1_000;

    private final EventLoop loop;
    private final LifecyclePhase phase;
    private final Counters counters;
    private final SchedulerConfig config;
    private final Map<String, String> environment;
    private final DescriptorBudget descriptors;
    private final SchedulerEngine engine;
    private final PlatformShutdown shutdown;
    private ClientServer clients;
    private WorkerClient workers;
    private ProcessCoordination processes;
    private ConfigurationReload reload;

    /** Assembles the engine; nothing is opened before {@link #start}. */
    public Platform(
            EventLoop loop,
            LifecyclePhase phase,
            Counters counters,
            SchedulerConfig config,
            Map<String, String> environment) {
        this.loop = loop;
        this.phase = phase;
        this.counters = counters;
        this.config = config;
        this.environment = environment;
        this.descriptors = new DescriptorBudget(config);
        this.engine =
                new SchedulerEngine(
                        config.site().settings().withProbesReportingDraining(),
                        config.seed(),
                        loop,
                        counters);
        this.shutdown = new PlatformShutdown(loop, phase, engine, config);
        phase.onChange(() -> loop.execute(this::recordPhase));
    }

    private void recordPhase() {
        engine.eventLog().add(loop.nowUs(), Kind.PHASE, "", phase.state(), 0);
    }

    @Override
    public void start() throws ConfigurationException, IOException {
        InetSocketAddress listen = ConfiguredAddress.parse("listen", config.listen());
        InetSocketAddress discovery = ConfiguredAddress.parse("discovery", config.discovery());
        assemble(discovery);
        EndpointList cached =
                CachedWorkerList.decode(config.cachedEndpointList(), workers.listDecoder());
        processes =
                new ProcessCoordination(
                        loop,
                        phase,
                        engine,
                        ProcessCoordination.configuredDirectory(config, environment),
                        this::peersChanged,
                        clients.requestIds());
        CompletableFuture<Boolean> listening = new CompletableFuture<>();
        loop.execute(() -> begin(cached, listen, listening));
        if (awaitListening(listening)) {
            LOG.info(
                    "event=started {} listens on {}, {} workers known",
                    config.name(),
                    config.listen(),
                    cached.endpoints().size());
        }
    }

    private void assemble(InetSocketAddress discovery) throws IOException {
        ConnectionManager connections =
                ConnectionManager.start(loop, config.site().connectTimeoutUs() / MICROS_PER_MILLI);
        int perSide = descriptors.connectionsPerSide(1);
        clients =
                new ClientServer(
                        connections,
                        config.site(),
                        engine,
                        phase,
                        counters,
                        perSide,
                        descriptors.clientOverflow(1));
        workers =
                new WorkerClient(connections, config.site(), engine, counters, discovery, perSide);
        reload = new ConfigurationReload(loop, phase, counters, config, environment, workers);
    }

    /** Reads the operators' overrides and finds the other processes before the first request. */
    private void begin(
            EndpointList cached, InetSocketAddress listen, CompletableFuture<Boolean> listening) {
        engine.start(workers, workers.begin(cached));
        processes.open();
        workers.whenReadyToServe(processes.hasPeers(), () -> listen(listen, listening));
    }

    /** Opens the listener, unless a shutdown has begun; both happen on the event loop. */
    private void listen(InetSocketAddress address, CompletableFuture<Boolean> listening) {
        try {
            checkStart();
            phase.advanceTo(State.SERVING); // before the first health check can arrive
            boolean serving = phase.is(State.SERVING);
            if (serving) {
                ListeningPort listener = clients.listen(address, processes.isShared());
                shutdown.acceptingStarted(listener, clients, processes);
                processes.announceServing();
            }
            listening.complete(serving);
        } catch (IOException e) {
            if (DescriptorShortage.isTransient(e)) {
                loop.scheduleAfter(
                        DescriptorShortage.RETRY_DELAY_MS * MICROS_PER_MILLI,
                        () -> listen(address, listening));
            } else {
                listening.completeExceptionally(e);
            }
        } catch (RuntimeException e) {
            listening.completeExceptionally(e);
        }
    }

    private void checkStart() {
        StartGuard.Facts facts =
                new StartGuard.Facts(engine.isStarted(), processes.areOverridesLoaded());
        engine.invariantMonitor().permits(StartGuard.check(facts));
    }

    /** Waits for the listener to open; returns false if a shutdown began first. */
    private static boolean awaitListening(CompletableFuture<Boolean> listening) throws IOException {
        try {
            return listening.get(START_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new IOException("not ready to serve after " + START_TIMEOUT_MS + " ms", e);
        } catch (ExecutionException e) {
            throw e.getCause() instanceof IOException cause ? cause : new IOException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /**
     * Adapts the limits of capacity and descriptors, which the processes of one scheduler share.
     */
    private void peersChanged(PeerProcesses peers) {
        engine.updatePeerProcesses(peers);
        int perSide = descriptors.connectionsPerSide(peers.processes());
        clients.resize(perSide, descriptors.clientOverflow(peers.processes()));
        workers.resize(perSide);
        clients.setSuccessor(peers.hasSuccessor());
    }

    /**
     * Changes the operators' overrides in all processes of this scheduler.
     *
     * @param change makes the change in this process
     * @param onStored runs once the change is stored
     * @param onFailure receives the reason if the change cannot be stored
     */
    public void changeOverrides(
            Runnable change, Runnable onStored, Consumer<IOException> onFailure) {
        processes.changeOverrides(change, onStored, onFailure);
    }

    @Override
    public void reload(long requestedNanoTime) {
        reload.run(loop.toEpochUs(requestedNanoTime));
    }

    @Override
    public void shutDown() {
        loop.execute(shutdown::begin);
    }

    @Override
    public boolean drain() {
        if (phase.drain()) {
            clients.startDraining(ConnectionDraining.forOperatorDrain(loop.nowUs()));
        }
        return true;
    }

    @Override
    public void undrain() {
        phase.undrain();
        clients.stopDraining();
    }

    @Override
    public void close() {
        if (processes != null) { // null if the start has failed
            processes.close();
        }
    }

    @Override
    public String jobClassName(int jobClass) {
        return config.site().classNames().get(jobClass);
    }

    @Override
    public List<SlowPeer> slowPeers() {
        return SlowPeer.disconnectedSoonest(
                Stream.concat(clients.slowPeers(), workers.slowPeers()));
    }

    @Override
    public SchedulerEngine engine() {
        return engine;
    }
}
