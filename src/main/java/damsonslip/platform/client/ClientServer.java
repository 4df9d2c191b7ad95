package damsonslip.platform.client;

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
import damsonslip.platform.codec.HttpRequest;
import damsonslip.transport.ConnectionLimiter;
import damsonslip.transport.ConnectionManager;
import damsonslip.transport.EventLoopConnection;
import damsonslip.transport.ListeningPort;
import damsonslip.transport.OutboundRateMonitor;
import damsonslip.transport.datarate.BufferBudget;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.eclipse.jetty.io.EndPoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Takes queries in from clients and gives them their answers. */
public final class ClientServer implements ConnectionManager.ConnectionAcceptor {
    /** Answers that wait to be read may hold this part of the heap, all together. */
    private static final int PART_OF_HEAP = 8;

    private static final Logger LOG = LoggerFactory.getLogger(ClientServer.class);

    /** Ids of queries that are remembered: more than come in within the longest deadline. */
    private static final int MOST_TAKEN = 4_000;

    /**
     * Connections that are to go are looked at this often: short beside every time in {@link
     * ConnectionDraining}.
     */
    private static final long SWEEP_US = 50_000;

    private final ConnectionManager links;
    private final SiteSettings site;
    private final SchedulerEngine driver;
    private final LifecyclePhase phase;
    private final Counters counters;
    private final ConnectionLimiter<ClientConnection> room;
    private long latestUs = Long.MAX_VALUE;
    private ConnectionDraining draining;
    private boolean succeeded;

    /** The ids of the queries taken lately, the oldest first. */
    private final Map<String, Boolean> taken =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
                    return size() > MOST_TAKEN;
                }
            };

    /**
     * At most so many connections are kept, with some more for the moment until others have gone.
     */
    public ClientServer(
            ConnectionManager links,
            SiteSettings site,
            SchedulerEngine driver,
            LifecyclePhase phase,
            Counters counters,
            int mostLinks,
            int overflow) {
        this.links = links;
        this.site = site;
        this.driver = driver;
        this.phase = phase;
        this.counters = counters;
        this.room =
                new ConnectionLimiter<>(
                        mostLinks,
                        overflow,
                        ClientConnection::mayGo,
                        ClientConnection::compareMissed);
    }

    /** Accepts connections from now on, beside another process where the address is shared. */
    public ListeningPort listen(InetSocketAddress address, boolean shared) throws IOException {
        return links.open(address, this, shared);
    }

    /** There is room for so many connections from now on. */
    public void resize(int mostLinks, int overflow) {
        room.resize(mostLinks, overflow);
    }

    /**
     * Ends connections by this rule, until {@link #stay}; one that holds already stays as it is.
     */
    public void sendAway(ConnectionDraining rule) {
        if (draining == null) {
            draining = rule;
            sweep(rule);
        }
    }

    /** Connections stay again. */
    public void stay() {
        draining = null;
    }

    private void sweep(ConnectionDraining rule) {
        if (draining == rule) {
            List.copyOf(room.all()).forEach(link -> link.drain(rule));
            loop().in(SWEEP_US, () -> sweep(rule));
        }
    }

    /**
     * Whether no client's connection is left, and none is on its way in. Those that say goodbye
     * count: an exit over bytes that come then would reset them, and take the last answer along.
     */
    public boolean gone() {
        return room.isEmpty();
    }

    /**
     * Another process of this scheduler takes what comes: to the front, the address goes on being
     * healthy.
     */
    public void succeeded(boolean so) {
        succeeded = so;
    }

    boolean healthy() {
        return ready() || succeeded && phase.atLeast(State.LEAVING);
    }

    @Override
    public boolean admit() {
        return room.admit();
    }

    @Override
    public void turnedBack() {
        room.turnedBack();
    }

    @Override
    public EventLoopConnection open(EndPoint endPoint) {
        return new ClientConnection(endPoint, this);
    }

    void opened(ClientConnection link) {
        counters.add(Count.CLIENT_LINKS_OPENED);
        room.opened(link);
    }

    void closed(ClientConnection link, CloseGuard.Facts how) {
        room.closed(link);
        driver.events().add(loop().now(), Kind.CLIENT_CLOSED, how.job(), how.reason(), 0);
        driver.monitor().permits(CloseGuard.check(how));
    }

    /**
     * Takes a query in. Guards against an id that comes twice: every query has one of its own, a
     * client's retry too, so a second one is a stranger's that borrows it, or the same query hurled
     * at us again as soon as it was turned away. Neither may run beside or after the first, nor
     * disturb it.
     */
    RequestContext take(Request query, ClientConnection link) throws HttpRequest.Bad {
        if (driver.holds(query.id()) || taken.containsKey(query.id())) {
            throw new HttpRequest.Bad(409, "this id was used already: " + query.id());
        }
        taken.put(query.id(), true);
        return driver.take(query, link);
    }

    /** Whatever is taken in from now on gets its answer by then. */
    public void answerBy(long timeUs) {
        latestUs = Math.min(latestUs, timeUs);
    }

    /** No answer may come later, however long its client waits. */
    long latestUs() {
        return latestUs;
    }

    /**
     * Guards the heap: many clients that read nothing hold an answer each. Looked at when a further
     * answer was not taken at once, which usual clients' answers are.
     */
    void checkBudget(OutboundRateMonitor newest) {
        if (newest.waits()) {
            List<ClientConnection> over =
                    BufferBudget.over(
                            Runtime.getRuntime().maxMemory() / PART_OF_HEAP,
                            room.all().stream()
                                    .filter(link -> link.reading().waits())
                                    .map(link -> link.reading().holding(link))
                                    .toList());
            over.forEach(
                    link -> {
                        LOG.warn("answers that are not read hold more than their part of the heap");
                        link.readsNothing();
                    });
        }
    }

    /** Clients that have yet to read their answers. */
    public Stream<SlowPeer> slowPeers() {
        return room.all().stream()
                .filter(link -> link.reading().waits())
                .map(ClientConnection::shown);
    }

    void readsNothing() {
        counters.add(Count.SLOW_READERS_LET_GO);
        LOG.warn("a client reads nothing of its answer and is let go");
    }

    void bad(HttpRequest.Bad why) {
        counters.add(Count.QUERIES_BAD);
        driver.events().add(loop().now(), Kind.REFUSED_AS_BAD, "", why.getMessage(), why.status());
    }

    boolean ready() {
        return phase.is(State.SERVING);
    }

    EventLoop loop() {
        return links.loop();
    }

    SiteSettings site() {
        return site;
    }

    SchedulerEngine driver() {
        return driver;
    }
}
