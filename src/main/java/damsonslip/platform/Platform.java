package damsonslip.platform;

import damsonslip.admin.management.ManagementServer;
import damsonslip.admin.upgrade.SharedDirectory;
import damsonslip.admin.upgrade.UpgradeCoordinator;
import damsonslip.config.ConfigurationException;
import damsonslip.config.SchedulerConfig;
import damsonslip.config.UnreadableConfigurationException;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLog.Kind;
import damsonslip.engine.EventLoop;
import damsonslip.engine.Frontend;
import damsonslip.engine.GracefulShutdown;
import damsonslip.engine.LifecyclePhase;
import damsonslip.engine.LifecyclePhase.State;
import damsonslip.engine.SchedulerEngine;
import damsonslip.engine.SlowPeer;
import damsonslip.engine.invariants.StartGuard;
import damsonslip.engine.shutdown.ConnectionDraining;
import damsonslip.engine.shutdown.ShutdownTimes;
import damsonslip.membership.peers.PeerProcesses;
import damsonslip.platform.client.ClientServer;
import damsonslip.platform.discovery.WorkerRegistry;
import damsonslip.platform.worker.WorkerClient;
import damsonslip.policy.api.DiscoveryAddressState;
import damsonslip.transport.Address;
import damsonslip.transport.ConnectionManager;
import damsonslip.transport.DescriptorShortage;
import damsonslip.transport.ListeningPort;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The platform's front put together: HTTP from clients, HTTP to workers, the list from discovery.
 */
public final class Platform implements Frontend {
    private static final Logger LOG = LoggerFactory.getLogger(Platform.class);

    /**
     * Descriptors for what is neither a client's nor a worker's connection: files, the selector,
     * discovery.
     */
    private static final int OTHER_SOCKETS = 24;

    /**
     * One part of so many is for connections that were accepted just now and for which others have
     * yet to go.
     */
    private static final int OVERFLOW_PART = 8;

    /**
     * A start that takes longer has failed by the operators' pages. Below that it is late and not
     * lost: where a hundred processes start at once each is held up by the others, and one that
     * ended for it would have to be started anew.
     */
    private static final long BEGIN_MS = 30_000;

    /**
     * A file that is just being written is whole within this time; one that is not has been meant
     * so.
     */
    private static final long TORN_FILE_MS = 1_000;

    /**
     * So long until a file that could not be read is tried again: short beside the 1.5 s for which
     * discovery stays.
     */
    private static final long RELOAD_AGAIN_MS = 100;

    /** So long until a folder that could not be used is tried again. */
    private static final long FOLDER_AGAIN_US = 1_000_000;

    /** The exit waits so long at the most for its mark to go. */
    private static final long LAST_TASK_MS = 100;

    private final EventLoop loop;
    private final LifecyclePhase phase;
    private final Counters counters;
    private final SchedulerConfig config;
    private final Map<String, String> environment;
    private final SchedulerEngine driver;
    private final ShutdownTimes stopTimes;
    private ClientServer clients;
    private WorkerClient servers;
    private ListeningPort listener;
    private UpgradeCoordinator handover;

    /** Bans outlive the process, and hold in all others of this scheduler, by way of a folder. */
    private boolean keepsBans;

    private boolean folderTried;

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
        this.stopTimes = ShutdownTimes.of(longestDeadlineUs());
        this.driver =
                new SchedulerEngine(
                        config.site().settings().withProbesReportingDraining(),
                        config.seed(),
                        loop,
                        counters);
        phase.onChange(
                () ->
                        loop.execute(
                                () ->
                                        driver.events()
                                                .add(
                                                        loop.now(),
                                                        Kind.PHASE,
                                                        "",
                                                        phase.state(),
                                                        0)));
    }

    @Override
    public void start() throws ConfigurationException, IOException {
        InetSocketAddress listen = address("listen", config.listen());
        InetSocketAddress discovery = address("discovery", config.discovery());
        ConnectionManager links = ConnectionManager.start(loop, config.site().connectUs() / 1000);
        clients =
                new ClientServer(
                        links, config.site(), driver, phase, counters, rest(1) / 2, overflow(1));
        servers = new WorkerClient(links, config.site(), driver, counters, discovery, rest(1) / 2);
        WorkerRegistry.Update known = known(servers.hosts());
        Path folder = folder();
        keepsBans = folder != null;
        CompletableFuture<Boolean> open = new CompletableFuture<>();
        loop.execute(() -> begin(known, listen, folder, open));
        if (!serving(open)) {
            return; // told to end before anybody could come
        }
        LOG.info(
                "{} listens on {}, {} workers known",
                config.name(),
                config.listen(),
                known.entries().size());
    }

    private void begin(
            WorkerRegistry.Update known,
            InetSocketAddress listen,
            Path folder,
            CompletableFuture<Boolean> open) {
        driver.begin(servers, servers.begin(known));
        if (folder != null) {
            openFolder(folder); // the bans, and who else sends, before the first query
        }
        boolean relieved = handover != null && handover.peers().processes() > 1;
        servers.whenTold(relieved, () -> open(listen, folder != null, open));
    }

    /**
     * On the loop, where a stop is told as well: it finds the listener open, and shuts it, or keeps
     * it from opening.
     */
    private void open(InetSocketAddress listen, boolean shared, CompletableFuture<Boolean> open) {
        try {
            driver.monitor()
                    .permits(
                            StartGuard.check(
                                    new StartGuard.Facts(
                                            driver.isBegun(), !shared || folderTried)));
            phase.moveTo(State.SERVING); // nobody who comes shall have to wait
            if (phase.is(State.SERVING)) {
                listener = clients.listen(listen, shared);
                if (handover != null) {
                    handover.markServing();
                }
            }
            open.complete(listener != null);
        } catch (IOException e) {
            if (DescriptorShortage.mayPass(e)) {
                loop.in(DescriptorShortage.AGAIN_MS * 1_000, () -> open(listen, shared, open));
            } else {
                open.completeExceptionally(e);
            }
        } catch (RuntimeException e) {
            open.completeExceptionally(e);
        }
    }

    /**
     * Opens the folder where processes of one scheduler meet. A full or failing disk does not keep
     * this one from serving: it goes on alone, and tries again.
     */
    private void openFolder(Path folder) {
        if (phase.atLeast(State.FINISHING)) {
            return;
        }
        folderTried = true;
        try {
            handover =
                    new UpgradeCoordinator(
                            new SharedDirectory(folder), loop, driver, this::divided);
        } catch (IOException e) {
            LOG.warn("event=folder_unusable folder={} error=\"{}\"", folder, e.getMessage());
            loop.in(FOLDER_AGAIN_US, () -> openFolder(folder));
            return;
        }
        handover.begin();
        if (phase.atLeast(State.SERVING)) {
            handover.markServing();
        }
    }

    private static boolean serving(CompletableFuture<Boolean> open) throws IOException {
        try {
            return open.get(BEGIN_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            throw new IOException("not ready to serve after " + BEGIN_MS + " ms", e);
        } catch (ExecutionException e) {
            throw e.getCause() instanceof IOException cause ? cause : new IOException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** The folder where processes of one scheduler meet; null if there cannot be another one. */
    private Path folder() throws ConfigurationException {
        String path = environment.getOrDefault("TMPDIR", "");
        if (config.mgmt().isBlank() || path.isBlank()) {
            return null;
        }
        try {
            Path folder = Path.of(path);
            if (Files.isDirectory(folder)) {
                return folder;
            }
        } catch (InvalidPathException e) {
            throw new ConfigurationException("config: TMPDIR: cannot be used: " + e.getMessage());
        }
        throw new ConfigurationException("config: TMPDIR: not a folder: " + path);
    }

    private int overflow(int processes) {
        return config.sockets() / processes / OVERFLOW_PART;
    }

    /**
     * Descriptors for clients' and workers' connections, where so many processes share those of one
     * scheduler.
     */
    private int rest(int processes) {
        int others = OTHER_SOCKETS + (config.mgmt().isEmpty() ? 0 : ManagementServer.SOCKETS);
        return config.sockets() / processes - others - overflow(processes);
    }

    private void divided(PeerProcesses kin) {
        driver.divided(kin);
        clients.resize(rest(kin.processes()) / 2, overflow(kin.processes()));
        servers.resize(rest(kin.processes()) / 2);
        clients.succeeded(kin.hasSuccessor());
    }

    /** Bans hold in all processes of this scheduler, where there may be several. */
    public void change(Runnable bans, Runnable kept, Consumer<IOException> failed) {
        if (handover != null) {
            handover.change(bans, kept, failed);
            return;
        }
        bans.run();
        if (keepsBans) {
            failed.accept(new IOException("the folder cannot be used"));
        } else {
            kept.run();
        }
    }

    private static InetSocketAddress address(String name, String text)
            throws ConfigurationException {
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("config: " + name + ": " + e.getMessage());
        }
    }

    /**
     * Follows discovery to where the file names it now; open executions go on, and so does the list
     * as it stands. Called on the signal's own thread, which waits where the file cannot be read or
     * used in this moment: the signal does not come again, and the discovery of before ends.
     * Meanwhile discovery may have moved, and counts from the signal.
     */
    @Override
    public void reload(long signalNs) {
        long signalUs = loop.timeOf(signalNs);
        long patienceEndsNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TORN_FILE_MS);
        boolean refused = false;
        while (!phase.atLeast(State.FINISHING)) {
            try {
                follow(SchedulerConfig.read(environment), signalUs);
                return;
            } catch (ConfigurationException e) {
                if (!refused) {
                    LOG.warn("reload: {}; what held before goes on", e.getMessage());
                    counters.add(Count.RELOADS_REFUSED);
                    loop.execute(
                            () ->
                                    servers.configurationNews(
                                            DiscoveryAddressState.UNREAD, signalUs));
                    refused = true;
                }
                if (!(e instanceof UnreadableConfigurationException)
                                && System.nanoTime() > patienceEndsNs
                        || !pause()) {
                    loop.execute(
                            () -> servers.configurationNews(DiscoveryAddressState.READ, signalUs));
                    return;
                }
            }
        }
    }

    private static boolean pause() {
        try {
            Thread.sleep(RELOAD_AGAIN_MS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void follow(SchedulerConfig fresh, long signalUs) throws ConfigurationException {
        InetSocketAddress discovery = address("discovery", fresh.discovery());
        if (!fresh.listen().equals(config.listen()) || !fresh.site().equals(config.site())) {
            LOG.warn("reload: another listen or other settings take effect at the next start only");
        }
        LOG.info("reload: discovery is at {}", fresh.discovery());
        counters.add(Count.RELOADS_DONE);
        loop.execute(() -> servers.discoverAt(discovery, signalUs));
    }

    private WorkerRegistry.Update known(WorkerRegistry hosts) throws ConfigurationException {
        if (config.known().isMissingNode() || config.known().isNull()) {
            return new WorkerRegistry.Update(0, true, Collections.emptyList());
        }
        try {
            WorkerRegistry.Update known = hosts.decode(config.known());
            return new WorkerRegistry.Update(known.generation(), true, known.entries());
        } catch (WorkerRegistry.Malformed e) {
            throw new ConfigurationException("config: known: " + e.getMessage());
        }
    }

    @Override
    public void leave() {
        loop.execute(
                () -> {
                    long toldUs = loop.now();
                    if (listener == null) { // nobody could come yet, and nobody will
                        phase.moveTo(State.ENDED);
                    } else if (handover == null) {
                        leaveServing(toldUs);
                    } else {
                        handover.refresh(
                                () ->
                                        leaveServing(
                                                toldUs)); // whether a successor serves decides how
                        // to leave
                    }
                });
    }

    private void leaveServing(long toldUs) {
        clients.answerBy(toldUs + stopTimes.answerDeadlineUs());
        loop.at(toldUs + stopTimes.answerDeadlineUs(), driver::answerAll);
        new GracefulShutdown(
                        loop,
                        phase,
                        stopTimes.acceptUs(),
                        longestDeadlineUs(),
                        this::succeeded,
                        this::shut,
                        this::done)
                .begin();
    }

    private long longestDeadlineUs() {
        return config.site().deadlinesUs().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    @Override
    public boolean drain() {
        if (phase.drain()) {
            clients.sendAway(ConnectionDraining.forOperatorDrain(loop.now()));
        }
        return true;
    }

    @Override
    public void undrain() {
        phase.undrain();
        clients.stay();
    }

    private boolean succeeded() {
        return handover != null && handover.peers().hasSuccessor();
    }

    private void shut() {
        listener.shut();
        clients.sendAway(
                succeeded()
                        ? ConnectionDraining.forUpgrade(loop.now(), stopTimes)
                        : ConnectionDraining.forShutdown(loop.now()));
    }

    private boolean done() {
        return listener.isShut() && driver.open() == 0 && clients.gone();
    }

    @Override
    public void close() {
        if (handover == null) {
            return;
        }
        CountDownLatch done = new CountDownLatch(1);
        loop.execute(
                () -> {
                    handover.close(done::countDown);
                });
        try {
            done.await(
                    LAST_TASK_MS,
                    TimeUnit.MILLISECONDS); // a mark that stays is harmless: nobody holds its lock
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public String className(int jobClass) {
        return config.site().classNames().get(jobClass);
    }

    @Override
    public List<SlowPeer> slowPeers() {
        return SlowPeer.slowest(Stream.concat(clients.slowPeers(), servers.slowPeers()));
    }

    @Override
    public SchedulerEngine driver() {
        return driver;
    }
}
