package damsonslip.transport;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/**
 * The connections that there is room for. Guards usual clients against those that open hundreds and
 * say nothing: when it is full, the newest is let in and the one that is missed least has to go.
 * All but {@link #admit}, {@link #hasRoom} and {@link #turnedBack} is called on the loop.
 */
public final class ConnectionLimiter<L extends EventLoopConnection> {
    private volatile int most;
    private volatile int overflow;
    private final Predicate<L> mayGo;
    private final Comparator<L> missed;
    private final Set<L> open = new LinkedHashSet<>();
    private final AtomicInteger held = new AtomicInteger();

    /**
     * @param most so many stay
     * @param overflow so many more may be held for the moment until one has gone
     * @param mayGo whether a connection may be ended to make room
     * @param missed the order in which they go
     */
    public ConnectionLimiter(int most, int overflow, Predicate<L> mayGo, Comparator<L> missed) {
        this.most = most;
        this.overflow = overflow;
        this.mayGo = mayGo;
        this.missed = missed;
    }

    /** There is room for so many from now on; who is in stays until others come. */
    public void resize(int stay, int more) {
        most = stay;
        overflow = more;
    }

    /**
     * Takes room for one more, if it can be held at all; it will be told as opened and closed, or
     * as turned back. Guards against a crowd accepted at one go: counted only once each is set up,
     * it would pass a look at the count together.
     */
    public boolean admit() {
        int limit = most + overflow;
        return held.getAndUpdate(count -> count < limit ? count + 1 : count) < limit;
    }

    /** Whether one more could be held; the next {@link #admit} on the same thread finds it so. */
    public boolean hasRoom() {
        return held.get() < most + overflow;
    }

    /** What was admitted never came to be opened. */
    public void turnedBack() {
        held.decrementAndGet();
    }

    /**
     * Takes it in; if all others are needed, it is the one that goes. Who says goodbye holds half
     * of the overflow at the most. Guards against a crowd that never closes its side: its goodbyes
     * would fill all the room there is.
     */
    public void opened(L link) {
        open.add(link);
        List<L> lingering = open.stream().filter(EventLoopConnection::isLingering).toList();
        int staying = open.size() - lingering.size();
        lingering.stream()
                .limit(Math.max(0, lingering.size() - overflow / 2))
                .forEach(EventLoopConnection::end);
        if (staying > most) {
            makeRoom(link);
        }
    }

    /**
     * Ends the one that is missed least; the newest if all others are needed, and nobody if that is
     * needed as well.
     */
    private void makeRoom(L newest) {
        Set<L> needed = new HashSet<>();
        needed.add(newest);
        boolean made = false;
        while (!made) {
            Optional<L> next =
                    open.stream()
                            .filter(other -> !other.isLingering() && !needed.contains(other))
                            .filter(mayGo)
                            .min(missed);
            made = makeWay(next.orElse(newest)) || next.isEmpty();
            next.ifPresent(needed::add);
        }
    }

    /**
     * Ends this one, unless it turns out to be needed. Guards against the loss of a request that
     * has come and that nobody has read yet: an end would drop it.
     */
    private boolean makeWay(L link) {
        link.look();
        boolean goes = !link.isClosed() && mayGo.test(link);
        if (goes) {
            link.evict();
        }
        return goes || link.isClosed();
    }

    public void closed(L link) {
        open.remove(link);
        held.decrementAndGet();
    }

    /** Whether none is left, nor one that was admitted and is not set up yet. */
    public boolean isEmpty() {
        return held.get() == 0;
    }

    public Collection<L> all() {
        return open;
    }
}
