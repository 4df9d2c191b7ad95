package damsonslip.platform.worker;

import damsonslip.engine.EventLoop;
import damsonslip.engine.SlowPeer;
import damsonslip.policy.api.Idempotency;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The open connections to workers, and the idle ones of each worker for reuse. Idle connections are
 * closed before the worker's own idle timeout, at which a request would race with the close.
 */
final class ConnectionPool {
    /** Margin that is kept before the worker's idle timeout. */
    private static final long IDLE_MARGIN_US = 3_000_000;

    private static final long SWEEP_INTERVAL_US = 500_000;

    private static final ArrayDeque<WorkerConnection> NO_CONNECTIONS = new ArrayDeque<>(0);

    private final EventLoop loop;
    private final WorkerStatistics statistics;
    private final IdleConnectionRisk idleRisk = new IdleConnectionRisk();
    private final long maxIdleUs;

    /** The idle connections by worker, each deque ordered by the time of the last use. */
    private final Map<String, ArrayDeque<WorkerConnection>> idle = new HashMap<>();

    private final Set<WorkerConnection> open = new HashSet<>();

    /**
     * @param workerIdleTimeoutUs the time after which a worker closes an idle connection
     */
    ConnectionPool(EventLoop loop, WorkerStatistics statistics, long workerIdleTimeoutUs) {
        this.loop = loop;
        this.statistics = statistics;
        this.maxIdleUs = workerIdleTimeoutUs - Math.min(IDLE_MARGIN_US, workerIdleTimeoutUs / 2);
    }

    /** Starts to close connections regularly that have been idle for too long. */
    void startSweeping() {
        loop.repeatAfter(SWEEP_INTERVAL_US, this::sweep);
    }

    private void sweep() {
        idleRisk.decay();
        List<WorkerConnection> stale =
                idle.values().stream()
                        .flatMap(ArrayDeque::stream)
                        .filter(connection -> !isFresh(connection))
                        .toList();
        stale.forEach(this::closeStale);
        idle.values().removeIf(ArrayDeque::isEmpty);
    }

    /**
     * Takes the most recently used idle connection, so that the others age and can be closed in
     * time.
     *
     * @param idempotency of the request that is to be sent; one that must not run twice needs a
     *     connection on which no late response can arrive, and which is less likely to break
     * @return null if none is suitable
     */
    WorkerConnection takeIdle(String worker, Idempotency idempotency) {
        while (true) {
            WorkerConnection candidate = pollIdle(worker, idempotency);
            if (candidate == null || candidate.isStillOpen()) {
                return candidate;
            }
        }
    }

    private WorkerConnection pollIdle(String worker, Idempotency idempotency) {
        long minIdleUs =
                idempotency == Idempotency.IDEMPOTENT ? 0 : WorkerConnection.QUIET_PERIOD_US;
        Iterator<WorkerConnection> newestFirst =
                idle.getOrDefault(worker, NO_CONNECTIONS).descendingIterator();
        List<WorkerConnection> stale = new ArrayList<>(0);
        WorkerConnection found = null;
        while (newestFirst.hasNext() && found == null) {
            WorkerConnection connection = newestFirst.next();
            long idleUs = loop.nowUs() - connection.idleSinceUs();
            if (idleUs < minIdleUs) {
                continue;
            }
            if (!idleRisk.isAcceptable(idleUs, idempotency != Idempotency.NOT_IDEMPOTENT)) {
                break; // the remaining ones have been idle for longer
            }
            newestFirst.remove();
            if (isFresh(connection)) {
                found = connection;
            } else {
                stale.add(connection);
            }
        }
        stale.forEach(this::closeStale);
        return found;
    }

    /** Takes an idle connection that was opened by the given time, if there is one. */
    Optional<WorkerConnection> takeIdleOpenedBy(String worker, long openedByUs) {
        ArrayDeque<WorkerConnection> connections = idle.getOrDefault(worker, NO_CONNECTIONS);
        Optional<WorkerConnection> found =
                connections.stream()
                        .filter(
                                connection ->
                                        connection.isOpenSince(openedByUs) && isFresh(connection))
                        .findFirst()
                        .filter(WorkerConnection::isStillOpen);
        found.ifPresent(connections::remove);
        return found;
    }

    /** Whether the worker has a connection that was opened by the given time, idle or busy. */
    boolean hasConnectionOpenedBy(String worker, long openedByUs) {
        return open.stream()
                .anyMatch(
                        connection ->
                                connection.worker().equals(worker)
                                        && connection.isOpenSince(openedByUs));
    }

    private boolean isFresh(WorkerConnection connection) {
        long idleUs = loop.nowUs() - connection.idleSinceUs();
        return idleUs < maxIdleUs && idleRisk.isAcceptable(idleUs, true);
    }

    /** Records whether a connection broke during the first request after this idle time. */
    void recordReuse(long idleUs, boolean broke) {
        idleRisk.record(idleUs, broke);
    }

    /** Adds a connection that has been established. */
    void opened(WorkerConnection connection) {
        statistics.connectionOpened();
        open.add(connection);
    }

    /** Makes a connection available for the next request. */
    void release(WorkerConnection connection) {
        idle.computeIfAbsent(connection.worker(), worker -> new ArrayDeque<>()).addLast(connection);
    }

    /** Removes a closed connection. */
    void closed(WorkerConnection connection) {
        open.remove(connection);
        idle.getOrDefault(connection.worker(), NO_CONNECTIONS).remove(connection);
    }

    /** How many connections are open. */
    int size() {
        return open.size();
    }

    /**
     * Closes the connection that has been idle for longest.
     *
     * @return whether there was one
     */
    boolean evictOldestIdle() {
        Optional<WorkerConnection> oldest =
                idle.values().stream()
                        .filter(connections -> !connections.isEmpty())
                        .map(ArrayDeque::peekFirst)
                        .min(Comparator.comparingLong(WorkerConnection::idleSinceUs));
        oldest.ifPresent(this::evict);
        return oldest.isPresent();
    }

    /**
     * Closes idle connections, those that have been idle for longest first, until at most this many
     * connections are open or none is idle.
     */
    void shrinkTo(int size) {
        List<WorkerConnection> surplus =
                idle.values().stream()
                        .flatMap(ArrayDeque::stream)
                        .sorted(Comparator.comparingLong(WorkerConnection::idleSinceUs))
                        .limit(Math.max(0, open.size() - size))
                        .toList();
        surplus.forEach(this::evict);
    }

    private void evict(WorkerConnection connection) {
        statistics.connectionEvicted();
        connection.closeNow();
    }

    private void closeStale(WorkerConnection connection) {
        statistics.idleConnectionClosed();
        connection.closeNow();
    }

    /** The workers to which a request is being written. */
    Stream<SlowPeer> slowPeers() {
        return open.stream().map(WorkerConnection::slowPeer).filter(Objects::nonNull);
    }
}
