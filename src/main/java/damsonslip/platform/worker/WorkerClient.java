package damsonslip.platform.worker;

import damsonslip.config.SiteSettings;
import damsonslip.engine.Attempt;
import damsonslip.engine.Counters;
import damsonslip.engine.Counters.Count;
import damsonslip.engine.EventLog.Kind;
import damsonslip.engine.EventLoop;
import damsonslip.engine.SchedulerEngine;
import damsonslip.engine.SlowPeer;
import damsonslip.engine.WorkerGateway;
import damsonslip.engine.invariants.CloseGuard;
import damsonslip.membership.DiscoveryWatch;
import damsonslip.platform.discovery.DiscoveryClient;
import damsonslip.platform.discovery.WorkerRegistry;
import damsonslip.policy.api.AttemptOutcome;
import damsonslip.policy.api.DiscoveryAddressState;
import damsonslip.policy.api.Idempotency;
import damsonslip.policy.api.LoadReport;
import damsonslip.policy.api.ProbeResult;
import damsonslip.policy.api.WorkerEntry;
import damsonslip.transport.ConnectFailure;
import damsonslip.transport.ConnectionManager;
import damsonslip.transport.EventLoopConnection;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends executions to workers over kept server links, and learns from discovery which workers there
 * are.
 */
public final class WorkerClient implements WorkerGateway {
    private static final Logger LOG = LoggerFactory.getLogger(WorkerClient.class);

    /**
     * An idle link is not used again this close to the worker's own limit, where its close may
     * cross a request.
     */
    private static final long IDLE_MARGIN_US = 3_000_000;

    private static final long SWEEP_US = 500_000;

    /**
     * What was pushed is there at once; where discovery is down nothing is, and nothing counts as
     * told.
     */
    private static final long PUSHED_FIRST_US = 500_000;

    /**
     * From then on the module sends by the list of the process before, whether discovery was heard
     * or not.
     */
    private static final long ASKED_FIRST_US = DiscoveryWatch.FIRST_ANSWER_US;

    /**
     * Two processes that share the fewest descriptors would have none left; with these each still
     * serves.
     */
    private static final int FEWEST_LINKS = 8;

    private static final ArrayDeque<WorkerConnection> NONE = new ArrayDeque<>(0);

    private final ConnectionManager links;
    private final SiteSettings site;
    private final SchedulerEngine driver;
    private final Counters counters;
    private int most;
    private final WorkerRegistry hosts;
    private final DiscoveryClient discovery;
    private final Map<String, ArrayDeque<WorkerConnection>> idle = new HashMap<>();
    private final IdleConnectionRisk keptAge = new IdleConnectionRisk();
    private final Set<WorkerConnection> open = new HashSet<>();

    /** Links on their way, the oldest first. */
    private final Set<Dial> dials = new LinkedHashSet<>();

    private final Map<Attempt, WorkerConnection> carrying = new HashMap<>();

    public WorkerClient(
            ConnectionManager links,
            SiteSettings site,
            SchedulerEngine driver,
            Counters counters,
            InetSocketAddress discovery,
            int mostLinks) {
        this.links = links;
        this.site = site;
        this.driver = driver;
        this.counters = counters;
        this.most = Math.max(FEWEST_LINKS, mostLinks);
        this.hosts = new WorkerRegistry(site);
        this.discovery =
                new DiscoveryClient(
                        links, discovery, hosts, driver, !site.settings().pollsWorkerList());
    }

    /** There is room for so many links from now on; idle ones beyond that go. */
    public void resize(int mostLinks) {
        most = Math.max(FEWEST_LINKS, mostLinks);
        List<WorkerConnection> spare =
                idle.values().stream()
                        .flatMap(ArrayDeque::stream)
                        .sorted(Comparator.comparingLong(link -> link.idleSinceUs))
                        .limit(Math.max(0, open.size() - most))
                        .toList();
        spare.forEach(this::closeForRoom);
    }

    /** The list that the scheduler had before its start, for the decisions to begin from. */
    public List<WorkerEntry> begin(WorkerRegistry.Update known) {
        links.loop().in(SWEEP_US, this::sweep);
        return hosts.apply(known, links.loop().now());
    }

    /**
     * Goes on once what counts as told is known: at once where lists are asked for, else when the
     * first one has been pushed, or nothing has come for a while.
     *
     * @param relieved whether another process serves until then: there is time for the first list
     *     to come, without which nothing can be sent
     */
    public void whenTold(boolean relieved, Runnable next) {
        if (!site.settings().pollsWorkerList()) {
            discovery.watch();
            discovery.whenTold(PUSHED_FIRST_US, next);
        } else if (relieved) {
            discovery.whenTold(ASKED_FIRST_US, next);
        } else {
            next.run();
        }
    }

    public WorkerRegistry hosts() {
        return hosts;
    }

    @Override
    public void start(Attempt execution) {
        if (!execution.mayBegin(loop().now())) {
            driver.ended(execution, Attempt.End.of(AttemptOutcome.NEVER_SENT));
            return;
        }
        String worker = execution.worker();
        InetSocketAddress address = hosts.address(worker);
        if (address == null) {
            driver.ended(execution, Attempt.End.of(AttemptOutcome.NOT_CONNECTED));
            return;
        }
        WorkerConnection kept = keptLink(worker, effect(execution));
        if (kept != null) {
            carry(kept, execution);
            return;
        }
        if (!makeRoom()) {
            driver.ended(execution, Attempt.End.of(AttemptOutcome.NEVER_SENT));
            return;
        }
        connect(
                worker,
                address,
                execution::open,
                link -> dialled(link, execution),
                why -> driver.ended(execution, Attempt.End.of(outcomeOf(why))));
    }

    /** A machine without sockets says nothing of the worker, which is not to be spared for it. */
    private static AttemptOutcome outcomeOf(ConnectFailure why) {
        return why == ConnectFailure.LOCAL
                ? AttemptOutcome.NEVER_SENT
                : AttemptOutcome.NOT_CONNECTED;
    }

    private Idempotency effect(Attempt execution) {
        return site.settings().classes().get(execution.query().jobClass()).idempotency();
    }

    /**
     * Whether it matters what an answer proves: a second run would be one too many, or has to be
     * where the first was.
     */
    boolean once(Attempt execution) {
        return effect(execution) != Idempotency.IDEMPOTENT;
    }

    /** Opens a link; there has to be room for it. */
    private void connect(
            String worker,
            InetSocketAddress address,
            BooleanSupplier awaited,
            Consumer<WorkerConnection> up,
            Consumer<ConnectFailure> failed) {
        Dial dial = new Dial(awaited, up, failed);
        dials.add(dial);
        dial.closer =
                links.connect(
                        address,
                        new ConnectionManager.ConnectionFactory() {
                            @Override
                            public EventLoopConnection open(EndPoint endPoint) {
                                return new WorkerConnection(
                                        endPoint, WorkerClient.this, worker, dial::up);
                            }

                            @Override
                            public void failed(ConnectFailure why) {
                                dial.failed(why);
                            }
                        });
    }

    /** A link that has neither come up nor failed yet. */
    private final class Dial {
        private final BooleanSupplier awaited;
        private final Consumer<WorkerConnection> up;
        private final Consumer<ConnectFailure> failed;
        private Closeable closer;

        Dial(
                BooleanSupplier awaited,
                Consumer<WorkerConnection> up,
                Consumer<ConnectFailure> failed) {
            this.awaited = awaited;
            this.up = up;
            this.failed = failed;
        }

        void up(WorkerConnection link) {
            if (dials.remove(this)) {
                up.accept(link);
            } else { // it came up while it was given up
                link.end();
            }
        }

        void failed(ConnectFailure why) {
            if (dials.remove(this)) {
                failed.accept(why);
            }
        }

        void giveUp() {
            dials.remove(this);
            counters.add(Count.SERVER_DIALS_GIVEN_UP);
            loop().execute(
                            () ->
                                    failed.accept(
                                            ConnectFailure
                                                    .UNREACHABLE)); // it has not come up until now
            try {
                closer.close();
            } catch (IOException e) {
                LOG.warn("a dial did not end: {}", e.getMessage());
            }
        }
    }

    void opened(WorkerConnection link) {
        counters.add(Count.SERVER_LINKS_OPENED);
        open.add(link);
        link.idleSinceUs = loop().now();
    }

    /**
     * Begins an execution on a link that has come up for it. Guards the rules for jobs whose client
     * had gone by then, or whose window had passed: these were never sent, and the module may place
     * them elsewhere.
     */
    private void dialled(WorkerConnection link, Attempt execution) {
        if (execution.mayBegin(loop().now())) {
            carry(link, execution);
        } else {
            idle(link);
            driver.ended(execution, Attempt.End.of(AttemptOutcome.NEVER_SENT));
        }
    }

    /** Begins an execution, unless the news that its worker drains came in before its link did. */
    private void carry(WorkerConnection link, Attempt execution) {
        if (!maySend(execution.worker())) {
            counters.add(Count.DRAINED_SENDS_STOPPED);
            idle(link);
            // a lease that has run out meanwhile says nothing of the worker
            AttemptOutcome outcome =
                    mayProbe(execution.worker())
                            ? AttemptOutcome.NEVER_SENT
                            : AttemptOutcome.NOT_CONNECTED;
            driver.ended(execution, Attempt.End.of(outcome));
            return;
        }
        long toldUs = WorkerConnection.toldUs(execution, loop().now());
        if (!driver.permitsSend(execution, toldUs, hosts.stoppedAtUs(execution.worker()))) {
            idle(link);
            driver.ended(execution, Attempt.End.of(AttemptOutcome.NEVER_SENT));
            return;
        }
        carrying.put(execution, link);
        link.carry(execution, toldUs);
    }

    private boolean maySend(String worker) {
        return driver.mayUse(worker) && mayProbe(worker);
    }

    /**
     * Whether nothing that is known here keeps a worker from being asked; a probe is how to learn
     * more.
     */
    private boolean mayProbe(String worker) {
        return hosts.maySend(worker, loop().now()) && !driver.bars(worker);
    }

    void written(Attempt execution) {
        counters.add(Count.EXECUTIONS_WRITTEN);
        if (execution != null) { // it may have been given up while it was written
            driver.events()
                    .add(
                            loop().now(),
                            Kind.WRITTEN,
                            execution.query().id(),
                            execution.worker(),
                            execution.number());
        }
    }

    void ended(Attempt execution, Attempt.End end) {
        carrying.remove(execution);
        driver.ended(execution, end);
    }

    @Override
    public void cancel(Attempt execution) {
        WorkerConnection link = carrying.remove(execution);
        if (link != null) {
            link.giveUp();
        }
    }

    @Override
    public boolean withdraw(Attempt execution) {
        WorkerConnection link = carrying.get(execution);
        if (link == null || link.isWritten()) {
            return false;
        }
        cancel(execution);
        return true;
    }

    @Override
    public void probe(String worker, long connectedByUs) {
        InetSocketAddress address = hosts.address(worker);
        if (address == null || !mayProbe(worker)) {
            loop().execute(() -> driver.probed(worker, ProbeResult.NOT_SENT, null));
            return;
        }
        if (connectedByUs != Long.MAX_VALUE) {
            probeOverLasting(worker, connectedByUs);
            return;
        }
        WorkerConnection kept = keptLink(worker, Idempotency.IDEMPOTENT);
        if (kept != null) {
            ask(kept);
        } else if (makeRoom()) {
            connect(
                    worker,
                    address,
                    () -> false,
                    this::ask,
                    why ->
                            driver.probed(
                                    worker,
                                    why == ConnectFailure.LOCAL
                                            ? ProbeResult.NOT_SENT
                                            : ProbeResult.UNREACHABLE,
                                    null));
        } else {
            loop().execute(() -> driver.probed(worker, ProbeResult.NOT_SENT, null));
        }
    }

    private void ask(WorkerConnection link) {
        if (!mayProbe(link.worker())) { // the news came while the link was opened
            idle(link);
            driver.probed(link.worker(), ProbeResult.NOT_SENT, null);
            return;
        }
        link.probe(site.probeUs(), ProbeResult.HEALTHY);
    }

    /** Asks a worker over a connection that has stood since then, if one is idle. */
    private void probeOverLasting(String worker, long sinceUs) {
        Optional<WorkerConnection> resting =
                idle.getOrDefault(worker, NONE).stream()
                        .filter(link -> link.standsSince(sinceUs) && fresh(link))
                        .findFirst();
        if (resting.isPresent() && resting.get().stands()) {
            idle.get(worker).remove(resting.get());
            resting.get().probe(site.probeUs(), ProbeResult.HEALTHY_THROUGHOUT);
            return;
        }
        boolean carries =
                open.stream()
                        .anyMatch(
                                link -> link.worker().equals(worker) && link.standsSince(sinceUs));
        ProbeResult none = carries ? ProbeResult.NOT_SENT : ProbeResult.NO_LASTING_CONNECTION;
        loop().execute(() -> driver.probed(worker, none, null));
    }

    void probed(String worker, ProbeResult result, LoadReport report) {
        driver.probed(worker, result, report);
    }

    /**
     * The configuration names this address of discovery, by a reload that was asked for at that
     * time.
     */
    public void discoverAt(InetSocketAddress address, long sinceUs) {
        discovery.moveTo(address, sinceUs);
    }

    /**
     * The configuration could not be read, or only now, after a reload that was asked for at that
     * time.
     */
    public void configurationNews(DiscoveryAddressState news, long sinceUs) {
        driver.discoveryAddress(news, sinceUs);
    }

    @Override
    public void watch() {
        discovery.watch();
    }

    // ---- kept links

    /**
     * The link that was used last, so that the others age out and can be closed in time; null if it
     * is too old for what it is to carry. What must not run twice takes the last that is settled.
     */
    private WorkerConnection keptLink(String worker, Idempotency effect) {
        long settledUs = effect == Idempotency.IDEMPOTENT ? 0 : WorkerConnection.SETTLED_US;
        Iterator<WorkerConnection> kept = idle.getOrDefault(worker, NONE).descendingIterator();
        List<WorkerConnection> fallen = new ArrayList<>(0);
        WorkerConnection found = null;
        while (kept.hasNext() && found == null) {
            WorkerConnection link = kept.next();
            long idled = loop().now() - link.idleSinceUs;
            if (idled < settledUs) {
                continue;
            }
            if (!keptAge.serves(idled, effect == Idempotency.NOT_IDEMPOTENT)) {
                break; // the others are older still
            }
            kept.remove();
            if (fresh(link)) {
                found = link;
            } else {
                fallen.add(link);
            }
        }
        fallen.forEach(this::closeIdle);
        return found == null || found.stands() ? found : keptLink(worker, effect);
    }

    /** Whether it is far enough from the worker's own limit, and from what has proved too old. */
    private boolean fresh(WorkerConnection link) {
        long idled = loop().now() - link.idleSinceUs;
        return idled < site.idleUs() - Math.min(IDLE_MARGIN_US, site.idleUs() / 2)
                && keptAge.serves(idled, false);
    }

    IdleConnectionRisk keptAge() {
        return keptAge;
    }

    void idle(WorkerConnection link) {
        idle.computeIfAbsent(link.worker(), w -> new ArrayDeque<>()).addLast(link);
    }

    /** A link has ended over this execution, which is told in this turn of the loop. */
    void closedOver(Attempt execution) {
        loop().execute(
                        () ->
                                driver.monitor()
                                        .permits(
                                                CloseGuard.checkWorkerConnection(
                                                        execution.query().id(),
                                                        execution.worker(),
                                                        execution.open())));
    }

    void closed(WorkerConnection link) {
        open.remove(link);
        ArrayDeque<WorkerConnection> kept = idle.get(link.worker());
        if (kept != null) {
            kept.remove(link);
        }
    }

    /**
     * Makes room for one more link, and tells whether there is any. Guards the descriptors: a dial
     * holds one as a link does, for as long as the settings let it take, also where its job has
     * long been moved or given up. Such a dial goes first, the oldest of them, and then the link
     * that has been idle for longest.
     */
    private boolean makeRoom() {
        if (open.size() + dials.size() < most) {
            return true;
        }
        Optional<Dial> forsaken =
                dials.stream().filter(dial -> !dial.awaited.getAsBoolean()).findFirst();
        if (forsaken.isPresent()) {
            forsaken.get().giveUp();
            return true;
        }
        Optional<WorkerConnection> spare =
                idle.values().stream()
                        .filter(kept -> !kept.isEmpty())
                        .map(ArrayDeque::peekFirst)
                        .min(Comparator.comparingLong(link -> link.idleSinceUs));
        spare.ifPresent(this::closeForRoom);
        return spare.isPresent();
    }

    private void closeIdle(WorkerConnection link) {
        counters.add(Count.SERVER_LINKS_CLOSED_IDLE);
        link.end();
    }

    private void closeForRoom(WorkerConnection link) {
        counters.add(Count.SERVER_LINKS_CLOSED_FOR_ROOM);
        link.end();
    }

    private void sweep() {
        keptAge.fade();
        List<WorkerConnection> old =
                idle.values().stream()
                        .flatMap(ArrayDeque::stream)
                        .filter(link -> !fresh(link))
                        .toList();
        old.forEach(this::closeIdle);
        idle.values().removeIf(ArrayDeque::isEmpty);
        links.loop().in(SWEEP_US, this::sweep);
    }

    /** Workers that have yet to take a request. */
    public Stream<SlowPeer> slowPeers() {
        return open.stream().map(WorkerConnection::shown).filter(Objects::nonNull);
    }

    void standsStill(String worker) {
        counters.add(Count.UPLOADS_GIVEN_UP);
        LOG.warn(
                "worker {} takes a request too slowly; it is given up before its last byte",
                worker);
    }

    void slowUpload(String worker, long takesUs) {
        counters.add(Count.UPLOADS_GIVEN_UP);
        LOG.info("event=upload_slow worker={} takes_us={}", worker, takesUs);
    }

    void malformed(String worker, String why) {
        LOG.warn("worker {}: {}", worker, why);
    }

    EventLoop loop() {
        return links.loop();
    }

    SchedulerEngine driver() {
        return driver;
    }
}
