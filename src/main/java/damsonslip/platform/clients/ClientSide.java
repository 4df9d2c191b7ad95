package damsonslip.platform.clients;

import damsonslip.core.Counters;
import damsonslip.core.Counters.Count;
import damsonslip.core.Driver;
import damsonslip.core.Loop;
import damsonslip.core.Phase;
import damsonslip.core.Phase.State;
import damsonslip.net.Link;
import damsonslip.net.Links;
import damsonslip.settings.Site;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.eclipse.jetty.io.EndPoint;

/** Takes queries in from clients and gives them their answers. */
public final class ClientSide implements Links.Accepting {
    private final Links links;
    private final Site site;
    private final Driver driver;
    private final Phase phase;
    private final Counters counters;
    private final int most;
    private final Set<ClientLink> open = new LinkedHashSet<>();
    private volatile int accepted;

    public ClientSide(Links links, Site site, Driver driver, Phase phase, Counters counters, int mostLinks) {
        this.links = links;
        this.site = site;
        this.driver = driver;
        this.phase = phase;
        this.counters = counters;
        this.most = mostLinks;
    }

    /** Accepts connections from now on. */
    public Closeable listen(InetSocketAddress address) throws IOException {
        return links.listen(address, this);
    }

    /** Ends the connections on which nothing is under way; the rest end with their answers. */
    public void closeIdle() {
        List.copyOf(open).stream().filter(ClientLink::idle).forEach(Link::end);
    }

    /** How many connections still owe an answer; one on which a query has only begun owes none. */
    public int busy() {
        return (int) open.stream().filter(ClientLink::busy).count();
    }

    @Override
    public boolean mayAccept() {
        return accepted < most;
    }

    @Override
    public Link open(EndPoint endPoint) {
        return new ClientLink(endPoint, this);
    }

    void opened(ClientLink link) {
        open.add(link);
        accepted = open.size();
        counters.add(Count.CLIENT_LINKS_OPENED);
        if (accepted > most - most / 8) { // makes room while only idle ones have to go
            open.stream().filter(other -> other != link && other.idle())
                .min(Comparator.comparingLong(other -> other.idleSinceUs)).ifPresent(Link::end);
        }
    }

    void closed(ClientLink link) {
        open.remove(link);
        accepted = open.size();
    }

    void bad() {
        counters.add(Count.QUERIES_BAD);
    }

    boolean ready() {
        return phase.is(State.SERVING);
    }

    Loop loop() {
        return links.loop();
    }

    Site site() {
        return site;
    }

    Driver driver() {
        return driver;
    }
}
