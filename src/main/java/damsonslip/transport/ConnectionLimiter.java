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
 * Limits the number of open connections of one kind. At the limit a new connection is accepted and
 * the least important one is evicted, so that clients that open hundreds of idle connections do not
 * lock out others. The overflow is the number of connections above the limit that may be open while
 * evicted ones close.
 *
 * <p>{@link #admit}, {@link #hasCapacity} and {@link #admissionFailed} are thread-safe; all other
 * methods are called on the event loop.
 */
public final class ConnectionLimiter<L extends EventLoopConnection> {
    private volatile int limit;
    private volatile int overflow;
    private final Predicate<L> evictable;
    private final Comparator<L> evictionOrder;
    private final Set<L> open = new LinkedHashSet<>();

    /** The number of connections that were admitted and not closed yet. */
    private final AtomicInteger admitted = new AtomicInteger();

    /**
     * Creates a limiter.
     *
     * @param limit the number of connections above which one is evicted
     * @param overflow the number of further connections that may be open until evicted ones have
     *     closed
     * @param evictable whether a connection may be evicted
     * @param evictionOrder orders connections by importance, the least important first
     */
    public ConnectionLimiter(
            int limit, int overflow, Predicate<L> evictable, Comparator<L> evictionOrder) {
        this.limit = limit;
        this.overflow = overflow;
        this.evictable = evictable;
        this.evictionOrder = evictionOrder;
    }

    /** Changes the limits; connections above them are only evicted when new ones open. */
    public void resize(int newLimit, int newOverflow) {
        limit = newLimit;
        overflow = newOverflow;
    }

    /**
     * Counts one more connection if the limit and the overflow allow it. The caller must later
     * report it by {@link #connectionOpened} and {@link #connectionClosed}, or by {@link
     * #admissionFailed}. Connections are counted on admission and not when they are set up, since
     * many may be accepted before the first of them is set up.
     */
    public boolean admit() {
        int maxAdmitted = limit + overflow;
        int before = admitted.getAndUpdate(count -> count < maxAdmitted ? count + 1 : count);
        return before < maxAdmitted;
    }

    /** Whether one more would be admitted; holds for the next {@link #admit} on the same thread. */
    public boolean hasCapacity() {
        return admitted.get() < limit + overflow;
    }

    /** Records that an admitted connection failed before it was opened. */
    public void admissionFailed() {
        admitted.decrementAndGet();
    }

    /**
     * Adds a connection and evicts one if the limit is exceeded. Lingering connections may use half
     * of the overflow; further ones are closed at once, since peers that never close their side
     * would otherwise use up all of it.
     */
    public void connectionOpened(L connection) {
        open.add(connection);
        List<L> lingering = open.stream().filter(EventLoopConnection::isLingering).toList();
        int active = open.size() - lingering.size();
        int excess = Math.max(0, lingering.size() - overflow / 2);
        lingering.stream().limit(excess).forEach(EventLoopConnection::closeNow);
        if (active > limit) {
            evictOne(connection);
        }
    }

    /**
     * Evicts the least important connection: the new one if no other is evictable, and none if the
     * new one is not evictable either.
     */
    private void evictOne(L newest) {
        Set<L> considered = new HashSet<>();
        considered.add(newest);
        boolean done = false;
        while (!done) {
            Optional<L> candidate =
                    open.stream()
                            .filter(other -> !other.isLingering() && !considered.contains(other))
                            .filter(evictable)
                            .min(evictionOrder);
            done = evictIfStillEvictable(candidate.orElse(newest)) || candidate.isEmpty();
            candidate.ifPresent(considered::add);
        }
    }

    /**
     * Evicts a connection if it is still evictable after a read: a request that has arrived but has
     * not been read yet would be lost. Returns whether the connection is closing.
     */
    private boolean evictIfStillEvictable(L connection) {
        connection.readAvailable();
        boolean evicted = !connection.isClosed() && evictable.test(connection);
        if (evicted) {
            connection.evict();
        }
        return evicted || connection.isClosed();
    }

    /** Removes a connection that was closed. */
    public void connectionClosed(L connection) {
        open.remove(connection);
        admitted.decrementAndGet();
    }

    /** Whether no connection is open or admitted. */
    public boolean isEmpty() {
        return admitted.get() == 0;
    }

    /** Returns the open connections, in the order in which they were opened; a live view. */
    public Collection<L> connections() {
        return open;
    }
}
